package node

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestFiguresOfARealNode checks the metrics of a node that leads its zone and has loaded a
// model.
func TestFiguresOfARealNode(t *testing.T) {
	running := startRealFleet(t)
	eventually(t, "an answer", func() bool { return running.ask(t, chatBody).status == 200 })
	t.Run("values", func(t *testing.T) { checkMetrics(t, running) })
	t.Run("documented", func(t *testing.T) { checkMetricsInDocs(t, running) })
}

func checkMetrics(t *testing.T, running *realFleet) {
	gathered := func() map[string]float64 { return metricValues(t, running.node.metrics) }
	eventually(t, "the table shows the load", func() bool { return gathered()["spanlanding_node_replicas{ready}"] == 1 })
	values := gathered()
	for name, want := range map[string]float64{
		"spanlanding_node_ready{}":                        1,
		"spanlanding_node_draining{}":                     0,
		"spanlanding_node_leading{}":                      1,
		"spanlanding_node_members{alive,real}":            1,
		"spanlanding_node_engines{false}":                 1,
		"spanlanding_node_engines{true}":                  0,
		"spanlanding_node_accelerator_bytes{models}":      1 << 30,
		"spanlanding_node_accelerator_bytes{kv-reserve}":  1 << 30,
		"spanlanding_node_accelerator_bytes{free}":        6 << 30,
		"spanlanding_node_replicas{loading}":              0,
		"spanlanding_node_keeper_records{}":               0,
		"spanlanding_node_config_version{}":               float64(running.node.configVersion()),
		"spanlanding_gateway_tokens_total{}":              4,
		"spanlanding_node_replicas{unloading}":            0,
		"spanlanding_gateway_dropped_chunks_total{late}":  0,
		"spanlanding_gateway_waiting_requests{}":          0,
		"spanlanding_gateway_running_requests{}":          0,
		"spanlanding_node_orders_total{load,stale-fence}": 0,
	} {
		if got := values[name]; got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	// On a slow machine these can take several attempts.
	for _, name := range []string{
		"spanlanding_node_leadership_changes_total{}", "spanlanding_node_engine_claims_total{granted}",
		"spanlanding_node_orders_total{load,accepted}", "spanlanding_node_config_changes_total{}",
	} {
		if values[name] < 1 {
			t.Errorf("%s is %v", name, values[name])
		}
	}
	for _, name := range []string{"spanlanding_node_config_age_seconds{}", "spanlanding_node_table_age_seconds{real}"} {
		if age, found := values[name]; !found || age < 0 {
			t.Errorf("%s is %v", name, age)
		}
	}
}

// checkMetricsInDocs checks that the documented metrics and those that the node exports are
// the same.
func checkMetricsInDocs(t *testing.T, running *realFleet) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "### Metrics")
	section, _, _ = strings.Cut(section, "\n### ")
	offered := make(map[string]bool)
	for name := range metricValues(t, running.node.metrics) {
		name, _, _ = strings.Cut(name, "{")
		offered[name] = true
	}
	for name := range offered {
		if !strings.Contains(section, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not list %s", name)
		}
	}
	for _, word := range strings.Split(section, "`") {
		if strings.HasPrefix(word, "spanlanding_") && !offered[word] {
			t.Errorf("docs/OPERATIONS.md lists %s, which a node does not export", word)
		}
	}
}

// metricValues returns the values of the project's metrics by name{label values}.
func metricValues(t *testing.T, gatherer prometheus.Gatherer) map[string]float64 {
	t.Helper()
	families, err := gatherer.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "spanlanding_") {
			continue
		}
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetValue())
			}
			value := metric.GetGauge().GetValue() + metric.GetCounter().GetValue() + float64(metric.GetHistogram().GetSampleCount())
			values[family.GetName()+"{"+strings.Join(labels, ",")+"}"] = value
		}
	}
	return values
}
