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

// note keeps a fault for the judge and shows it.
func (f *testFleet) note(kind history.FaultKind, target, detail string) {
	fault := history.Fault{At: time.Now(), Kind: kind, Target: target, Detail: detail}
	f.log = append(f.log, fault)
	f.writeFaults()
	f.Logf("injected after %s: %s %s %s", time.Since(f.begun).Round(time.Millisecond), kind, target, detail)
}

func (f *testFleet) killNode(node *testNode) {
	f.Helper()
	f.note(history.NodeKilled, node.caller(), string(node.settings.Name))
	node.kill()
}

func (f *testFleet) killEngine(engine *testEngine) {
	f.Helper()
	engine.kill()
	f.note(history.EngineKilled, engine.backend, "")
}

func (f *testFleet) pause(node *testNode) {
	f.Helper()
	f.note(history.NodePaused, node.caller(), string(node.settings.Name))
	node.signal(f.T, syscall.SIGSTOP)
}

func (f *testFleet) resume(node *testNode) {
	f.Helper()
	node.signal(f.T, syscall.SIGCONT)
	f.note(history.NodeContinued, node.caller(), string(node.settings.Name))
}

// faultsAt sets the faults of one stand-in; the zero Set ends them.
func (f *testFleet) faultsAt(url string, set standinfaults.Set) {
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

// store sets the faults of the platform.
func (f *testFleet) store(set standinfaults.Set, detail string) {
	f.Helper()
	kind := history.FaultInjected
	if detail == "" {
		kind = history.FaultCleared
	}
	f.faultsAt(f.platform, set)
	f.note(kind, "platform", detail)
}

// cut parts a zone from the platform and from the back ends of the other
// zones, both ways. The nodes' own connections stay.
func (f *testFleet) cut(zone fleet.Zone, also standinfaults.Set) {
	f.Helper()
	also.Cuts = []standinfaults.Cut{{From: zone, To: standinfaults.PlatformZone}}
	f.faultsAt(f.platform, also)
	for url, at := range f.backendURLs() {
		var cuts []standinfaults.Cut
		for _, other := range zones {
			if (at == zone) != (other == zone) {
				cuts = append(cuts, standinfaults.Cut{From: other, To: at})
			}
		}
		f.faultsAt(url, standinfaults.Set{Cuts: cuts})
	}
	f.note(history.FaultInjected, string(zone), "zone-cut")
}

// heal ends every fault of the stand-ins.
func (f *testFleet) heal() {
	f.Helper()
	f.faultsAt(f.platform, standinfaults.Set{})
	for url := range f.backendURLs() {
		f.faultsAt(url, standinfaults.Set{})
	}
	f.note(history.FaultCleared, "all stand-ins", "")
}

// backendURLs has the zone of each back end by its URL.
func (f *testFleet) backendURLs() map[string]fleet.Zone {
	urls := make(map[string]fleet.Zone)
	for _, engine := range f.engines {
		urls["http://"+engine.address] = engine.zone
	}
	for number := range f.services {
		urls["http://"+f.at(servicePort+number)] = zones[number/len(services)]
	}
	return urls
}

// awaitLoading returns the first engine that loads a model.
func (f *testFleet) awaitLoading(engines []*testEngine) *testEngine {
	f.Helper()
	var found *testEngine
	eventually(f.T, "an engine that loads a model", func() bool {
		for _, engine := range engines {
			state, heard := engine.state()
			loading := func(model fleet.LoadedModel) bool { return model.State == fleet.LoadLoading }
			if heard && slices.ContainsFunc(state.Models, loading) {
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

// loads counts the loads that the engines left took within a time.
func (f *testFleet) loads(from, to time.Time) int {
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
