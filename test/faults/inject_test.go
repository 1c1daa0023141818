package faults

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	standinfaults "github.com/spanlanding/spanlanding/internal/standin/faults"
)

// recordFault adds a fault to the fault log that the checks read, and logs it.
func (f *testFleet) recordFault(kind history.FaultKind, target, detail string) {
	fault := history.Fault{At: time.Now(), Kind: kind, Target: target, Detail: detail}
	f.injected = append(f.injected, fault)
	f.writeFaults()
	f.Logf("injected after %s: %s %s %s", time.Since(f.loadStarted).Round(time.Millisecond), kind, target, detail)
}

func (f *testFleet) killNode(node *testNode) {
	f.Helper()
	f.recordFault(history.NodeKilled, node.caller(), string(node.settings.Name))
	node.kill()
}

func (f *testFleet) killEngine(engine *testEngine) {
	f.Helper()
	engine.kill()
	f.recordFault(history.EngineKilled, engine.backend, "")
}

func (f *testFleet) pauseNode(node *testNode) {
	f.Helper()
	f.recordFault(history.NodePaused, node.caller(), string(node.settings.Name))
	node.signal(f.T, syscall.SIGSTOP)
}

func (f *testFleet) resumeNode(node *testNode) {
	f.Helper()
	node.signal(f.T, syscall.SIGCONT)
	f.recordFault(history.NodeContinued, node.caller(), string(node.settings.Name))
}

// setFaults sets the faults of a stand-in; the zero Set clears them.
func (f *testFleet) setFaults(url string, set standinfaults.Set) {
	f.Helper()
	body, err := json.Marshal(set)
	if err != nil {
		f.Fatal(err)
	}
	response, err := client.Post(url+standinfaults.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.Fatalf("faults at %s: %s", url, response.Status)
	}
}

// setStoreFaults sets the faults of the platform; an empty detail records them as cleared.
func (f *testFleet) setStoreFaults(set standinfaults.Set, detail string) {
	f.Helper()
	kind := history.FaultInjected
	if detail == "" {
		kind = history.FaultCleared
	}
	f.setFaults(f.platform, set)
	f.recordFault(kind, "platform", detail)
}

// cutZone separates a zone from the platform and from the back ends of the other zones
// in both directions. Connections between nodes are unaffected.
func (f *testFleet) cutZone(zone fleet.Zone, platformFaults standinfaults.Set) {
	f.Helper()
	platformFaults.Cuts = []standinfaults.Cut{{From: zone, To: standinfaults.PlatformZone}}
	f.setFaults(f.platform, platformFaults)
	for url, backendZone := range f.backendURLs() {
		var cuts []standinfaults.Cut
		for _, other := range zones {
			if (backendZone == zone) != (other == zone) {
				cuts = append(cuts, standinfaults.Cut{From: other, To: backendZone})
			}
		}
		f.setFaults(url, standinfaults.Set{Cuts: cuts})
	}
	f.recordFault(history.FaultInjected, string(zone), "zone-cut")
}

// clearFaults clears the faults of all stand-ins.
func (f *testFleet) clearFaults() {
	f.Helper()
	f.setFaults(f.platform, standinfaults.Set{})
	for url := range f.backendURLs() {
		f.setFaults(url, standinfaults.Set{})
	}
	f.recordFault(history.FaultCleared, "all stand-ins", "")
}

// backendURLs maps the URL of each back end to its zone.
func (f *testFleet) backendURLs() map[string]fleet.Zone {
	urls := make(map[string]fleet.Zone)
	for _, engine := range f.engines {
		urls["http://"+engine.address] = engine.zone
	}
	for number := range f.services {
		urls["http://"+f.hostPort(servicePort+number)] = zones[number/len(services)]
	}
	return urls
}

// awaitLoading returns the first engine seen loading a model.
func (f *testFleet) awaitLoading(engines []*testEngine) *testEngine {
	f.Helper()
	var found *testEngine
	eventually(f.T, "engine loading a model", func() bool {
		for _, engine := range engines {
			state, ok := engine.state()
			loading := func(model fleet.LoadedModel) bool { return model.State == fleet.LoadLoading }
			if ok && slices.ContainsFunc(state.Models, loading) {
				found = engine
				return true
			}
		}
		return false
	})
	return found
}

// enginesOf lists the engines of a zone.
func (f *testFleet) enginesOf(zone fleet.Zone) []*testEngine {
	return slices.DeleteFunc(slices.Clone(f.engines), func(engine *testEngine) bool { return engine.zone != zone })
}

// countLoads counts the loads that the reachable engines started in a time range.
func (f *testFleet) countLoads(from, to time.Time) int {
	count := 0
	for _, engine := range f.engines {
		var book books.Book
		if !get("http://"+engine.address+"/lab/books", &book) {
			continue
		}
		for _, residency := range book.Residencies {
			if residency.From.After(from) && residency.From.Before(to) {
				count++
			}
		}
	}
	return count
}
