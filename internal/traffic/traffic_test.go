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
	clientFigures, serverFigures := prometheus.NewRegistry(), prometheus.NewRegistry()
	clientSide := NewCounters(clientFigures).Channel("peer")
	serverSide := NewCounters(serverFigures).Channel("peer")
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
	atClient, atServer := sums(t, clientFigures), sums(t, serverFigures)
	want := map[string]float64{MetricMessages: 3, MetricCallBytes: 30}
	for _, metric := range []string{MetricBytes, MetricMessages, MetricCallBytes} {
		for direction, opposite := range map[string]string{DirectionSent: DirectionReceived, DirectionReceived: DirectionSent} {
			one, same := atClient[metric+direction], atServer[metric+opposite]
			if one != same || one == 0 || want[metric] != 0 && one != want[metric] {
				t.Errorf("%s %s: %v at the client, %v at the server, want %v", metric, direction, one, same, want[metric])
			}
		}
	}
}

// sums adds up each metric by direction.
func sums(t *testing.T, gatherer prometheus.Gatherer) map[string]float64 {
	t.Helper()
	families, err := gatherer.Gather()
	if err != nil {
		t.Fatal(err)
	}
	added := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == LabelDirection {
					added[family.GetName()+label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return added
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
