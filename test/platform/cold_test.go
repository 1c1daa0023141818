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

// Bounds of the settings that all fleets have, and what a cold server bears in this test.
const (
	coldOverage = 1.5
	coldSlack   = 5
	coldPerS    = 12
	coldTime    = 2500 * time.Millisecond
	// mostWhileCold is what one server may receive in any second from all nodes.
	mostWhileCold = coldPerS*coldOverage + coldSlack
)

// withColdServers limits the cold servers of the models' service.
func withColdServers(version int) map[string]any {
	told := configuration(version)
	services := told["services"].([]map[string]any)
	services[1]["coldStartS"], services[1]["coldPerS"] = coldTime.Seconds(), coldPerS
	return told
}

// enterCold enters a server that holds m1, and is cold for the time.
func (m *modelServer) enterCold(s *store, left time.Duration) {
	m.mu.Lock()
	m.models["m1"] = make(map[string]bool)
	m.mu.Unlock()
	m.cameAt, m.coldUntil = time.Now(), time.Now().Add(left)
	m.enter(s, "ready")
}

// worstSecond is the most that the server received in any second between two moments. Its
// lock is held.
func (m *modelServer) worstSecond(from, to time.Time) int {
	var arrivals []time.Time
	for _, at := range m.ranAt {
		if at.After(from) && at.Before(to) {
			arrivals = append(arrivals, at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	worst, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// TestZoneComesBackCold: all servers of a model go and come back cold while callers press at
// all nodes. What each receives stays below the bound, summed over the nodes; some is
// served meanwhile, and all of it once they are warm.
func TestZoneComesBackCold(t *testing.T) {
	f := newFleet(t, 3)
	newServer(t, f.store, "i-commands", "commands", 0)
	before := []*modelServer{newServer(t, f.store, "i-1", "models", 0), newServer(t, f.store, "i-2", "models", 0)}
	for _, m := range before {
		m.enterCold(f.store, 0)
	}
	f.store.put("config", "main", withColdServers(1))
	f.awaitReady()
	eventually(t, "the model is served", func() bool { return f.nodes[0].send("/chat/x", "m1").status == http.StatusOK })
	stop := f.press(4)
	time.Sleep(1500 * time.Millisecond)

	cameBack := time.Now()
	var after []*modelServer
	for i, m := range before {
		f.store.remove("servers", m.id)
		back := newServer(t, f.store, m.id+"-back", "models", 0)
		back.enterCold(f.store, coldTime-time.Duration(i)*100*time.Millisecond)
		after = append(after, back)
	}
	isCold := cameBack.Add(coldTime - 100*time.Millisecond)
	time.Sleep(time.Until(isCold))
	for _, m := range after {
		m.mu.Lock()
		worst := m.worstSecond(cameBack, isCold)
		m.mu.Unlock()
		t.Logf("%s: %d requests in the worst second while cold", m.id, worst)
		if worst > mostWhileCold || worst == 0 {
			t.Errorf("%s received %d requests in a second while it was cold, want some and %.0f at the most", m.id, worst, float64(mostWhileCold))
		}
	}
	time.Sleep(2500 * time.Millisecond)
	stop()
	warm := time.Now().Add(-time.Second)
	for _, m := range append(before, after...) {
		from, to := warm, time.Now()
		if slices.Contains(before, m) {
			from, to = cameBack.Add(-time.Second), cameBack
		}
		m.mu.Lock()
		worst := m.worstSecond(from, to)
		m.mu.Unlock()
		if worst <= mostWhileCold {
			t.Errorf("%s received %d requests in a second while it was warm: callers do not press", m.id, worst)
		}
	}
}

// press lets some callers at each node ask for the model one request after the other.
func (f *fleet) press(callers int) (stop func()) {
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
						n.sendRequest(sending{id: id, path: "/chat/x", model: "m1", body: "body", deadline: 8 * time.Second})
					}
				}
			})
		}
	}
	return func() { close(done); group.Wait() }
}
