package platform

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Settings shared by all fleets, and the cold-start limits of this test.
const (
	coldOverage  = 1.5
	coldSlack    = 5
	coldPerS     = 12
	coldDuration = 2500 * time.Millisecond
	// maxColdRate is the maximum number of requests in any second that one server may receive
	// from all nodes together.
	maxColdRate = coldPerS*coldOverage + coldSlack
)

// coldStartConfig returns a configuration with cold-start limits for the model service.
func coldStartConfig(version int) map[string]any {
	config := newConfig(version)
	services := config["services"].([]map[string]any)
	services[1]["coldStartS"], services[1]["coldPerS"] = coldDuration.Seconds(), coldPerS
	return config
}

// registerCold registers a server that holds m1 and is cold for the given time.
func (m *modelServer) registerCold(s *store, left time.Duration) {
	m.mu.Lock()
	m.models["m1"] = make(map[string]bool)
	m.mu.Unlock()
	m.coldSince, m.coldUntil = time.Now(), time.Now().Add(left)
	m.register(s, "ready")
}

// busiestSecond returns the maximum number of requests that started in any second between
// the two times. m.mu is held.
func (m *modelServer) busiestSecond(from, to time.Time) int {
	var arrivals []time.Time
	for _, at := range m.startedAt {
		if at.After(from) && at.Before(to) {
			arrivals = append(arrivals, at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	busiest, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}

// TestZoneComesBackCold: all servers of a model disappear and come back cold under full
// load. Each must receive some requests, but no more than its limit summed over all nodes;
// once warm, the limit ends.
func TestZoneComesBackCold(t *testing.T) {
	f := newFleet(t, 3)
	newServer(t, f.store, "i-commands", "commands", 0)
	before := []*modelServer{newServer(t, f.store, "i-1", "models", 0), newServer(t, f.store, "i-2", "models", 0)}
	for _, m := range before {
		m.registerCold(f.store, 0)
	}
	f.store.put("config", "main", coldStartConfig(1))
	f.awaitReady()
	eventually(t, "the model is served", func() bool { return f.nodes[0].send("/chat/x", "m1").status == http.StatusOK })
	stop := f.startModelLoad(4)
	time.Sleep(1500 * time.Millisecond)

	replacedAt := time.Now()
	var after []*modelServer
	for i, m := range before {
		f.store.remove("servers", m.id)
		replacement := newServer(t, f.store, m.id+"-back", "models", 0)
		replacement.registerCold(f.store, coldDuration-time.Duration(i)*100*time.Millisecond)
		after = append(after, replacement)
	}
	coldEnd := replacedAt.Add(coldDuration - 100*time.Millisecond)
	time.Sleep(time.Until(coldEnd))
	for _, m := range after {
		m.mu.Lock()
		busiest := m.busiestSecond(replacedAt, coldEnd)
		m.mu.Unlock()
		t.Logf("%s: %d requests in the busiest second while cold", m.id, busiest)
		if busiest > maxColdRate || busiest == 0 {
			t.Errorf("%s received %d requests in a second while it was cold, want some and %.0f at the most", m.id, busiest, float64(maxColdRate))
		}
	}
	time.Sleep(2500 * time.Millisecond)
	stop()
	warm := time.Now().Add(-time.Second)
	for _, m := range append(before, after...) {
		from, to := warm, time.Now()
		if slices.Contains(before, m) {
			from, to = replacedAt.Add(-time.Second), replacedAt
		}
		m.mu.Lock()
		worst := m.busiestSecond(from, to)
		m.mu.Unlock()
		if worst <= maxColdRate {
			t.Errorf("%s received %d requests in a second while it was warm: the load is too low for this test", m.id, worst)
		}
	}
}

// startModelLoad starts callers at each node that send requests for m1 back to back.
func (f *fleet) startModelLoad(callers int) (stop func()) {
	done := make(chan struct{})
	var number atomic.Int64
	var group sync.WaitGroup
	for _, n := range f.nodes {
		for range callers {
			group.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						id := "p" + strconv.FormatInt(number.Add(1), 10)
						n.sendRequest(callerRequest{id: id, path: "/chat/x", model: "m1", body: "body", deadline: 8 * time.Second})
					}
				}
			})
		}
	}
	return func() { close(done); group.Wait() }
}
