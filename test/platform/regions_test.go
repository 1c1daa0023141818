package platform

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// regionCalls numbers the requests, for their IDs.
var regionCalls atomic.Int64

// callSteadily sends requests to all nodes until stop is closed, and counts the responses by
// status.
func (f *fleet) callSteadily(path string, stop chan struct{}) (wait func() map[int]int) {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, n := range f.nodes {
		for range 3 {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					id := "c" + strconv.FormatInt(regionCalls.Add(1), 10)
					got := n.sendRequest(callerRequest{id: id, path: path, body: "body", deadline: 2 * time.Second})
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
				}
			})
		}
	}
	return func() map[int]int { group.Wait(); return statuses }
}

// runsSince counts the requests that started to run after the given time.
func (m *modelServer) runsSince(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, ran := range m.startedAt {
		if ran.After(at) {
			count++
		}
	}
	return count
}

// regionConfig returns a configuration that limits each route to the given regions.
func regionConfig(version int, command, chat []string) map[string]any {
	config := newConfig(version)
	routes := config["routes"].([]map[string]any)
	routes[0]["allowedRegions"], routes[1]["allowedRegions"] = command, chat
	return config
}

// TestRequestsRunInAllowedRegions: in a fleet of two regions, a route's allowed regions
// change under load. Models are loaded in an allowed region although they are loaded
// elsewhere, and a request without any allowed region is refused as not run.
func TestRequestsRunInAllowedRegions(t *testing.T) {
	f := newFleetWithOptions(t, fleetOptions{count: 4, seeds: `"127.0.0.1:1", "127.0.0.2:1"`, zones: []string{"n1=north", "s1=south", "n2=north", "s2=south"}})
	north, south := newServerIn(t, f.store, "n1", "i-north", "commands", 0), newServerIn(t, f.store, "s2", "i-south", "commands", 0)
	modelsNorth := newServerIn(t, f.store, "n2", "i-models-north", "models", 100*time.Millisecond)
	modelsSouth := newServerIn(t, f.store, "s1", "i-models-south", "models", 100*time.Millisecond)
	modelsSouth.mu.Lock()
	modelsSouth.models["m1"] = map[string]bool{}
	modelsSouth.mu.Unlock()
	modelsSouth.register(f.store, "ready")
	f.store.put("config", "main", regionConfig(1, nil, nil))
	f.awaitReady()
	stop := make(chan struct{})
	wait := f.callSteadily("/command/x", stop)
	eventually(t, "requests run in both regions", func() bool { return north.runCount() > 10 && south.runCount() > 10 })
	f.store.put("config", "main", regionConfig(2, []string{"south"}, []string{"north"}))
	f.awaitConfig(2)
	since := time.Now().Add(20 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	if got := north.runsSince(since); got != 0 || south.runsSince(since) == 0 {
		t.Errorf("after the north was disallowed, %d requests ran there and %d in the south", got, south.runsSince(since))
	}
	close(stop)
	if statuses := wait(); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("answers by status: %v, want only 200", statuses)
	}
	for _, n := range f.nodes {
		eventually(t, "the model of the south is loaded in the north for "+n.name, func() bool { return n.send("/chat/x", "m1").status == http.StatusOK })
	}
	if modelsSouth.runCount() != 0 || modelsNorth.runCount() != len(f.nodes) {
		t.Errorf("%d model requests ran in the south and %d in the north, want all in the north", modelsSouth.runCount(), modelsNorth.runCount())
	}
	f.store.put("config", "main", regionConfig(3, []string{"east"}, []string{""}))
	f.awaitConfig(3)
	before := north.runCount() + south.runCount()
	for _, n := range f.nodes {
		for _, path := range []string{"/command/x", "/chat/x"} {
			if got := n.send(path, "m1"); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "not-run") {
				t.Errorf("%s %s: %d %q, want 503 with not-run", n.name, path, got.status, got.body)
			}
		}
	}
	if got := north.runCount() + south.runCount(); got != before {
		t.Errorf("%d requests ran without an allowed region", got-before)
	}
	for _, finding := range []string{`allowedRegions[0]: no zone lies in`, `allowedRegions[0]: empty`, "event=region_without_servers"} {
		eventually(t, "a node logs "+finding, func() bool {
			for _, n := range f.nodes {
				if strings.Contains(n.log(), finding) {
					return true
				}
			}
			return false
		})
	}
}

// awaitConfig waits until the version is in force at all nodes.
func (f *fleet) awaitConfig(version int) {
	f.t.Helper()
	for _, n := range f.nodes {
		eventually(f.t, "version "+strconv.Itoa(version)+" is in force at "+n.name, func() bool {
			return strings.Contains(n.log(), "event=config_in_force node="+n.name+" version="+strconv.Itoa(version))
		})
	}
}
