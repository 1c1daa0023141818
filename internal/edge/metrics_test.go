package edge

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storecall"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// countersOf returns the counters on the metrics address.
func countersOf(t *rapid.T, node *Node) map[string]float64 {
	recorder := httptest.NewRecorder()
	node.metrics.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	counters, isCounter := make(map[string]float64), false
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, "#") {
			isCounter = strings.HasSuffix(line, " counter\n")
			continue
		}
		at := strings.LastIndexByte(line, ' ')
		value, err := strconv.ParseFloat(strings.TrimSpace(line[at+1:]), 64)
		if err != nil {
			t.Fatal(err)
		}
		if isCounter {
			counters[line[:at]] = value
		}
	}
	return counters
}

// TestCountersNeverFall guards against rates that a monitoring system takes for a restart, as a counter is reduced by
// what is given back, returned, or of an earlier era.
func TestCountersNeverFall(t *testing.T) {
	tenant := &routetable.Tenant{Name: "t", Quota: routetable.Quota{PerSecond: 10, Burst: 100}}
	start := inventory.Start{ID: "a"}
	node := newTestNode(t)
	rapid.Check(t, func(t *rapid.T) {
		steps := map[string]func(){
			"refund": func() { node.quotas.Refund(tenant, 1) },
			"grant": func() {
				_, _ = node.quotas.tryAdmit(t.Context(), tenant, 1, 0), node.admissions.Admit(t.Context(), start, relay.AdmissionRequest{})
			},
			"give back": func() {
				node.admissions.ReturnGrant(start, relay.AdmissionDecision{Granted: true, GrantedBy: node.options.PeerAddress})
			},
			"limit": func() {
				node.hints.receiveFromCall(start, inventory.Hint{Limit: inventory.NewRateLimit(1), SentAt: clock.Now()}, hintFromAnswer)
			},
			"crash": func() {
				node.suspects.ReportCrash(relay.Crash{Request: poison.Fingerprint{1}, ServerID: "a", RanFor: time.Second})
			},
			"success": func() { node.suspects.ReportSuccess(&poison.Fingerprint{1}, nil) },
			"call": func() {
				node.RecordStoreCall(storecall.Call{Method: "GET", Kind: "servers", Status: 200, Era: strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "era"))})
			},
			"list": func() {
				at := storepos.At(rapid.Int64Range(1, 3).Draw(t, "era of the list"), rapid.Int64Range(1, 9).Draw(t, "revision"))
				node.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{{ID: "a", Position: at}}, Position: at})
			},
			"datagram": func() { node.peers.handleDatagram([]byte{0xff}) },
			"state":    func() { node.peers.tick() },
		}
		known := countersOf(t, node)
		for _, name := range rapid.SliceOfN(rapid.SampledFrom(slices.Sorted(maps.Keys(steps))), 1, 20).Draw(t, "steps") {
			steps[name]()
			counters := countersOf(t, node)
			for counter, value := range known {
				if counters[counter] < value {
					t.Fatalf("%s: %v behind %v after %s", counter, counters[counter], value, name)
				}
			}
			known = counters
		}
	})
}
