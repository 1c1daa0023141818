package traffic

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

func TestBothEndsCountTheSameBytesAndMessages(t *testing.T) {
	clientRegistry, serverRegistry := prometheus.NewRegistry(), prometheus.NewRegistry()
	clientSide := NewCounters(clientRegistry).Channel("peer")
	serverSide := NewCounters(serverRegistry).Channel("peer")
	server := httptest.NewUnstartedServer(serverSide.InstrumentHandler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	})))
	server.Listener = serverSide.InstrumentListener(server.Listener)
	server.Start()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
	clientSide.InstrumentClient(client)
	for range 3 {
		response, err := client.Post(server.URL+"/twirp/service/Publish", "text/plain", strings.NewReader("0123456789"))
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(response.Body)
		if err != nil || string(answer) != "0123456789" {
			t.Fatalf("answer %q, %v", answer, err)
		}
		_ = response.Body.Close()
	}
	client.CloseIdleConnections()
	server.Close()
	atClient, atServer := sumByDirection(t, clientRegistry), sumByDirection(t, serverRegistry)
	want := map[string]float64{MetricMessages: 3, MetricCallBytes: 30}
	for _, metric := range []string{MetricBytes, MetricMessages, MetricCallBytes} {
		for direction, opposite := range map[string]string{DirectionSent: DirectionReceived, DirectionReceived: DirectionSent} {
			clientValue, serverValue := atClient[metric+direction], atServer[metric+opposite]
			if clientValue != serverValue || clientValue == 0 || want[metric] != 0 && clientValue != want[metric] {
				t.Errorf("%s %s: %v at the client, %v at the server, want %v", metric, direction, clientValue, serverValue, want[metric])
			}
		}
	}
}

// sumByDirection returns the sum of each metric by direction, keyed by the metric's
// name followed by the direction.
func sumByDirection(t *testing.T, gatherer prometheus.Gatherer) map[string]float64 {
	t.Helper()
	families, err := gatherer.Gather()
	if err != nil {
		t.Fatal(err)
	}
	totals := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == LabelDirection {
					totals[family.GetName()+label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return totals
}

func TestNamesOfObjectsAreNoCalls(t *testing.T) {
	for urlPath, want := range map[string]string{
		"/v1/objects/Model/a":              "objects",
		"/v1/watch":                        "watch",
		"/twirp/spanlanding.peer.X/Digest": "Digest",
	} {
		if got := callName(urlPath); got != want {
			t.Errorf("%s: %s, want %s", urlPath, got, want)
		}
	}
}
