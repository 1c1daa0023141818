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

// regionCalls counts requests, for their ids.
var regionCalls atomic.Int64

// callSteadily calls all nodes until stop is closed, and returns the answers' statuses.
func (f *fleet) callSteadily(path string, stop chan struct{}) (ended func() map[int]int) {
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
					got := n.sendRequest(sending{id: id, path: path, body: "body", deadline: 2 * time.Second})
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
				}
			})
		}
	}
	return func() map[int]int { group.Wait(); return statuses }
}

// ranSince counts the requests that began to run after the time.
func (m *modelServer) ranSince(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, ran := range m.ranAt {
		if ran.After(at) {
			count++
		}
	}
	return count
}

// inRegions is a configuration whose routes may run in the regions only.
func inRegions(version int, command, chat []string) map[string]any {
	told := configuration(version)
	routes := told["routes"].([]map[string]any)
	routes[0]["allowedRegions"], routes[1]["allowedRegions"] = command, chat
	return told
}

// TestRequestsRunInAllowedRegions over a fleet in two regions: the regions of a route
// change under load, models are loaded where they may run though they stand elsewhere, and
// what may run nowhere is refused as not run.
func TestRequestsRunInAllowedRegions(t *testing.T) {
	f := newFleetWith(t, fleetOptions{count: 4, seeds: `"127.0.0.1:1", "127.0.0.2:1"`, zones: []string{"n1=north", "s1=south", "n2=north", "s2=south"}})
	north, south := newServerIn(t, f.store, "n1", "i-north", "commands", 0), newServerIn(t, f.store, "s2", "i-south", "commands", 0)
	modelsNorth := newServerIn(t, f.store, "n2", "i-models-north", "models", 100*time.Millisecond)
	modelsSouth := newServerIn(t, f.store, "s1", "i-models-south", "models", 100*time.Millisecond)
	modelsSouth.mu.Lock()
	modelsSouth.models["m1"] = map[string]bool{}
	modelsSouth.mu.Unlock()
	modelsSouth.enter(f.store, "ready")
	f.store.put("config", "main", inRegions(1, nil, nil))
	f.awaitReady()
	stop := make(chan struct{})
	ended := f.callSteadily("/command/x", stop)
	eventually(t, "requests run in both regions", func() bool { return north.runCount() > 10 && south.runCount() > 10 })
	f.store.put("config", "main", inRegions(2, []string{"south"}, []string{"north"}))
	f.awaitConfig(2)
	since := time.Now().Add(20 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	if got := north.ranSince(since); got != 0 || south.ranSince(since) == 0 {
		t.Errorf("%d requests ran in the north after that was taken away, %d in the south", got, south.ranSince(since))
	}
	close(stop)
	if statuses := ended(); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("answers by status: %v, want all served", statuses)
	}
	for _, n := range f.nodes {
		eventually(t, "the model of the south is loaded in the north for "+n.name, func() bool { return n.send("/chat/x", "m1").status == http.StatusOK })
	}
	if modelsSouth.runCount() != 0 || modelsNorth.runCount() != len(f.nodes) {
		t.Errorf("%d ran in the south, %d in the north", modelsSouth.runCount(), modelsNorth.runCount())
	}
	f.store.put("config", "main", inRegions(3, []string{"east"}, []string{""}))
	f.awaitConfig(3)
	before := north.runCount() + south.runCount()
	for _, n := range f.nodes {
		for _, path := range []string{"/command/x", "/chat/x"} {
			if got := n.send(path, "m1"); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "not-run") {
				t.Errorf("%s %s: %d %q, want a refusal as not run", n.name, path, got.status, got.body)
			}
		}
	}
	if got := north.runCount() + south.runCount(); got != before {
		t.Errorf("%d requests ran that may run nowhere", got-before)
	}
	for _, finding := range []string{`allowedRegions[0]: no zone lies in`, `allowedRegions[0]: empty`, "event=region_without_servers"} {
		eventually(t, "a node names "+finding, func() bool {
			for _, n := range f.nodes {
				if strings.Contains(n.log(), finding) {
					return true
				}
			}
			return false
		})
	}
}

// awaitConfig waits until a version is in force at all nodes.
func (f *fleet) awaitConfig(version int) {
	f.t.Helper()
	for _, n := range f.nodes {
		eventually(f.t, "version "+strconv.Itoa(version)+" is in force at "+n.name, func() bool {
			return strings.Contains(n.log(), "event=config_in_force node="+n.name+" version="+strconv.Itoa(version))
		})
	}
}
