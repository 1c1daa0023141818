package policy

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// shortRun measures two hours of the morning after a warm-up of five hours of the
// night, and returns the values by policy and metric.
func shortRun(t *testing.T, policies ...string) map[string]map[string]float64 {
	t.Helper()
	file := experiment.File{
		Runner: Name, Duration: 2 * time.Hour, Seeds: []uint64{1},
		Matrix:  experiment.Matrix{Profile: []string{"holmgaard"}, Policy: policies},
		Options: map[string]string{optionLearn: "5h"},
	}
	const parallelRuns = 2
	result, err := experiment.Execute(t.Context(), file, experiment.Registry{Name: experiment.RunnerFunc(Run)},
		experiment.Options{Parallel: parallelRuns})
	if err != nil {
		t.Fatal(err)
	}
	figures := make(map[string]map[string]float64)
	for _, row := range result.Rows() {
		if figures[row.Policy] == nil {
			figures[row.Policy] = make(map[string]float64)
		}
		figures[row.Policy][row.Metric] = row.Value
	}
	return figures
}

func TestPoliciesAreInTheOrderThatMustHold(t *testing.T) {
	figures := shortRun(t, "fixed-1m", "fixed-10m", neverUnloadName, ownName, clairvoyantName)
	atMost := func(metric string, names ...string) {
		for index := 1; index < len(names); index++ {
			less, more := figures[names[index-1]][metric], figures[names[index]][metric]
			if less > more {
				t.Errorf("%s: %s has %.4g, %s has %.4g", metric, names[index-1], less, names[index], more)
			}
		}
	}
	atMost("idle memory", "fixed-1m", "fixed-10m", neverUnloadName)
	atMost("cold", neverUnloadName, "fixed-10m", "fixed-1m")
	atMost("loads", neverUnloadName, "fixed-10m", "fixed-1m")
	for _, name := range []string{"fixed-1m", "fixed-10m", neverUnloadName, ownName} {
		atMost("idle memory", clairvoyantName, name)
	}
	for _, name := range []string{"fixed-1m", "fixed-10m"} {
		atMost("first wait mean", clairvoyantName, name)
	}
	for name, values := range figures {
		if values["requests"] == 0 || values["requests"] != figures[neverUnloadName]["requests"] {
			t.Errorf("%s recorded %v requests, expected the same number for every policy", name, values["requests"])
		}
	}
}

func TestSameSeedGivesTheSameTable(t *testing.T) {
	table := func(seed uint64) []byte {
		measured, err := Run(t.Context(), experiment.Parameters{
			Cell: experiment.Cell{Policy: ownName, Profile: "fjordkurv"}, Seed: seed,
			Duration: time.Hour, Options: map[string]string{optionLearn: "1h"},
		})
		if err != nil {
			t.Fatal(err)
		}
		result := experiment.Result{Runs: []experiment.Run{{Measurements: measured}}}
		var text bytes.Buffer
		if err := experiment.WriteCSV(&text, result.Rows()); err != nil {
			t.Fatal(err)
		}
		return text.Bytes()
	}
	first := table(1)
	if difference := cmp.Diff(string(first), string(table(1))); difference != "" {
		t.Error(difference)
	}
	if bytes.Equal(first, table(2)) {
		t.Error("two seeds gave the same table")
	}
}

func TestTraceWakesModelsInBurstsAtManyNodes(t *testing.T) {
	shape, err := FindShape("holmgaard")
	if err != nil {
		t.Fatal(err)
	}
	trace := NewTrace(shape, 1, 0, 24*time.Hour)
	if !slices.IsSortedFunc(trace.requests, func(a, b request) int { return int(a.at - b.at) }) {
		t.Error("the requests are not sorted by time")
	}
	nodes := make(map[int]map[int]bool)
	bursts := 0
	for _, request := range trace.requests {
		if request.first {
			nodes[request.model] = make(map[int]bool)
		}
		nodes[request.model][request.node] = true
		if request.first {
			continue
		}
		if len(nodes[request.model]) == 3 {
			bursts++
		}
	}
	if bursts < 100 {
		t.Errorf("%d requests reached a third node, expected at least 100", bursts)
	}
}

func TestUnknownPoliciesAreRefused(t *testing.T) {
	shape, _ := FindShape("fjordkurv")
	for _, name := range []string{"", "own-2", "own-x", "fixed-", "own-without-luck", "best"} {
		if _, err := parseSetup(name, shape); err == nil {
			t.Errorf("unknown policy %q was accepted", name)
		}
	}
}

func TestCheckpointsDropFromHostToDiskAndOut(t *testing.T) {
	var cache checkpointCache
	for model := range 5 {
		cache.add(model, 48*gib, fleet.TierMemory)
	}
	want := []fleet.Tier{fleet.TierRemote, fleet.TierRemote, fleet.TierDisk, fleet.TierDisk, fleet.TierMemory}
	for model, tier := range want {
		if got := cache.tier(model); got != tier {
			t.Errorf("model %d has tier %s, expected %s", model, got, tier)
		}
	}
}
