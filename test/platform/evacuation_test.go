package platform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// evacuateBound is the time within which an evacuation takes effect (evacuateMs in the
	// settings).
	evacuateBound = 2 * time.Second
	evacuateLine  = "evacuateMs = 2000\n"
)

// lastContact returns when anything last reached the server.
func (m *modelServer) lastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContactAt
}

// startCallers sends commands and model requests through all nodes until the test ends.
func (f *fleet) startCallers(models ...string) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	call := func(n *node, path, model string) {
		defer callers.Done()
		caller := newTenantCaller(n)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if model == "" {
				caller.call()
				continue
			}
			n.sendRequest(callerRequest{id: "e" + n.name + model + time.Now().Format("150405.000000"), path: path, model: model, body: "body", deadline: 3 * time.Second})
		}
	}
	for _, n := range f.nodes {
		callers.Add(1 + len(models))
		go call(n, "/command/", "")
		for _, model := range models {
			go call(n, "/chat/x", model)
		}
	}
	f.t.Cleanup(func() { close(stop); callers.Wait() })
}

// TestEvacuatedZoneGetsNothing: within the bound, nothing reaches the servers of an
// evacuated zone any more, not even from a node that is cut off from the store or from one
// that starts later. Models that were loaded only there are loaded elsewhere. With all zones
// evacuated, requests are refused immediately, and both zones serve again after their
// evacuation ends.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	f := newFleetWithOptions(t, fleetOptions{count: 3, seeds: `"127.0.0.1:1", "127.0.0.2:1"`, hasProxies: true, bounds: evacuateLine})
	inside := []*modelServer{
		newServerIn(t, f.store, "a", "i-commands-a", "commands", 0),
		newServerIn(t, f.store, "a", "i-models-a", "models", 200*time.Millisecond, "m1"),
	}
	outside := []*modelServer{
		newServerIn(t, f.store, "z", "i-commands-z", "commands", 0),
		newServerIn(t, f.store, "z", "i-models-z", "models", 200*time.Millisecond, "m2"),
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	f.startCallers("m1", "m2")
	eventually(t, "m1 answers", func() bool { return f.nodes[2].send("/chat/x", "m1").status == http.StatusOK })
	f.nodes[2].storeProxy.set(anySender, fault{refuse: true})
	f.nodes[2].storeProxy.reset()

	f.store.put("evacuations", "a", map[string]any{})
	evacuatedAt := time.Now()
	time.Sleep(evacuateBound)
	f.nodes[2].kill()
	f.nodes[2].start()
	eventually(t, "the restarted node is ready", f.nodes[2].isReady)
	eventually(t, "m1 is loaded in the other zone", func() bool { return f.nodes[2].send("/chat/x", "m1").status == http.StatusOK })
	for _, server := range inside {
		if late := server.lastContact().Sub(evacuatedAt); late > evacuateBound {
			t.Errorf("%s was reached %v after the evacuation", server.id, late)
		}
	}
	f.evacuateOtherZone(outside)
	f.endEvacuation("a", inside)
	f.endEvacuation("z", outside)
	for _, n := range f.nodes {
		eventually(t, n.name+" logs the end of the evacuation", func() bool { return strings.Contains(n.log(), "event=evacuation_ended node="+n.name+" zone=z") })
	}
}

// evacuateOtherZone also evacuates the remaining zone and checks that all requests are
// refused.
func (f *fleet) evacuateOtherZone(outside []*modelServer) {
	f.t.Helper()
	f.store.put("evacuations", "z", map[string]any{})
	evacuatedAt := time.Now()
	time.Sleep(evacuateBound)
	for _, n := range f.nodes {
		for _, model := range []string{"", "m1"} {
			path := map[string]string{"": "/command/x", "m1": "/chat/x"}[model]
			started := time.Now()
			got := n.send(path, model)
			if got.status != http.StatusServiceUnavailable || got.retryAfter == "" || !strings.Contains(got.body, "not-run") || time.Since(started) > time.Second {
				f.t.Errorf("%s %s: %+v after %v, want an immediate refusal", n.name, path, got, time.Since(started))
			}
		}
	}
	for _, server := range outside {
		if late := server.lastContact().Sub(evacuatedAt); late > evacuateBound {
			f.t.Errorf("%s was reached %v after the evacuation", server.id, late)
		}
	}
}

// endEvacuation ends a zone's evacuation and waits until its servers serve again.
func (f *fleet) endEvacuation(zone string, servers []*modelServer) {
	f.t.Helper()
	f.store.remove("evacuations", zone)
	endedAt := time.Now()
	for _, server := range servers {
		eventually(f.t, server.id+" serves again", func() bool { return server.lastContact().After(endedAt) })
	}
}

// TestEvacuationOfAnUnknownZoneIsReported: evacuations of an unknown zone or without a name
// are logged and have no effect.
func TestEvacuationOfAnUnknownZoneIsReported(t *testing.T) {
	f := newFleetWithOptions(t, fleetOptions{count: 1, seeds: `"127.0.0.1:1"`, bounds: evacuateLine})
	newServer(t, f.store, "i-commands", "commands", 0)
	f.store.put("evacuations", "nowhere", map[string]any{})
	f.store.put("evacuations", "", nil)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	n := f.nodes[0]
	for _, place := range []string{"place=evacuations/nowhere", "place=evacuations/ "} {
		eventually(t, place+" is reported", func() bool { return strings.Contains(n.log(), place) })
	}
	if got := n.send("/command/x", ""); got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
}
