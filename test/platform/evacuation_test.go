package platform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// evacuateBound is the bound in the settings.
	evacuateBound = 2 * time.Second
	evacuateLine  = "evacuateMs = 2000\n"
)

// lastReached is when anything last came to the server.
func (m *modelServer) lastReached() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachedAt
}

// callAlways sends commands and generations through all nodes until the test ends.
func (f *fleet) callAlways(models ...string) {
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
			n.sendRequest(sending{id: "e" + n.name + model + time.Now().Format("150405.000000"), path: path, model: model, body: "body", deadline: 3 * time.Second})
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

// TestEvacuatedZoneGetsNothing over processes: within the bound nothing comes to the
// servers of an evacuated zone any more, also not from a node that the store turns away
// or from one that starts meanwhile; what stood there alone is loaded elsewhere; with all
// zones evacuated requests are refused at once; and both zones serve again when they
// are taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	f := newFleetWith(t, fleetOptions{count: 3, seeds: `"127.0.0.1:1", "127.0.0.2:1"`, isRelayed: true, bounds: evacuateLine})
	inside := []*modelServer{
		newServerIn(t, f.store, "a", "i-commands-a", "commands", 0),
		newServerIn(t, f.store, "a", "i-models-a", "models", 200*time.Millisecond, "m1"),
	}
	outside := []*modelServer{
		newServerIn(t, f.store, "z", "i-commands-z", "commands", 0),
		newServerIn(t, f.store, "z", "i-models-z", "models", 200*time.Millisecond, "m2"),
	}
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	f.callAlways("m1", "m2")
	eventually(t, "m1 answers", func() bool { return f.nodes[2].send("/chat/x", "m1").status == http.StatusOK })
	f.nodes[2].toStore.set(everybody, fault{refuse: true})
	f.nodes[2].toStore.reset()

	f.store.put("evacuations", "a", map[string]any{})
	declared := time.Now()
	time.Sleep(evacuateBound)
	f.nodes[2].kill()
	f.nodes[2].start()
	eventually(t, "the node that starts is ready", f.nodes[2].isReady)
	eventually(t, "m1 is loaded in the other zone", func() bool { return f.nodes[2].send("/chat/x", "m1").status == http.StatusOK })
	for _, server := range inside {
		if late := server.lastReached().Sub(declared); late > evacuateBound {
			t.Errorf("%s was reached %v after the evacuation", server.id, late)
		}
	}
	f.refuseAll(outside)
	f.takeBack("a", inside)
	f.takeBack("z", outside)
	for _, n := range f.nodes {
		eventually(t, n.name+" knows of the end", func() bool { return strings.Contains(n.log(), "event=evacuation_ended node="+n.name+" zone=z") })
	}
}

// refuseAll evacuates the other zone, too.
func (f *fleet) refuseAll(outside []*modelServer) {
	f.t.Helper()
	f.store.put("evacuations", "z", map[string]any{})
	declared := time.Now()
	time.Sleep(evacuateBound)
	for _, n := range f.nodes {
		for _, model := range []string{"", "m1"} {
			path := map[string]string{"": "/command/x", "m1": "/chat/x"}[model]
			started := time.Now()
			got := n.send(path, model)
			if got.status != http.StatusServiceUnavailable || got.retryAfter == "" || !strings.Contains(got.body, "not-run") || time.Since(started) > time.Second {
				f.t.Errorf("%s %s: %+v after %v, want a refusal at once", n.name, path, got, time.Since(started))
			}
		}
	}
	for _, server := range outside {
		if late := server.lastReached().Sub(declared); late > evacuateBound {
			f.t.Errorf("%s was reached %v after the evacuation", server.id, late)
		}
	}
}

// takeBack ends the evacuation of a zone, whose servers then serve.
func (f *fleet) takeBack(zone string, servers []*modelServer) {
	f.t.Helper()
	f.store.remove("evacuations", zone)
	taken := time.Now()
	for _, server := range servers {
		eventually(f.t, server.id+" serves again", func() bool { return server.lastReached().After(taken) })
	}
}

// TestEvacuationOfAnUnknownZoneIsReported, as is one without a name, and changes nothing.
func TestEvacuationOfAnUnknownZoneIsReported(t *testing.T) {
	f := newFleetWith(t, fleetOptions{count: 1, seeds: `"127.0.0.1:1"`, bounds: evacuateLine})
	newServer(t, f.store, "i-commands", "commands", 0)
	f.store.put("evacuations", "nowhere", map[string]any{})
	f.store.put("evacuations", "", nil)
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	n := f.nodes[0]
	for _, place := range []string{"place=evacuations/nowhere", "place=evacuations/ "} {
		eventually(t, place+" is reported", func() bool { return strings.Contains(n.log(), place) })
	}
	if got := n.send("/command/x", ""); got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
}
