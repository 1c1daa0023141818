package platform

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// lostWrites is the number of revisions that a rollback of the store loses.
const lostWrites = 60

// rollBackStore restores the store to a snapshot that is older than revisions that nodes
// have seen.
func (f *fleet) rollBackStore() {
	saved := f.store.snapshot()
	f.advanceRevisions(lostWrites)
	f.store.restore(saved)
}

// advanceRevisions raises the revision by writing an unused entry, and waits until all nodes
// have seen the last write.
func (f *fleet) advanceRevisions(count int) {
	last := int64(0)
	for range count {
		last = f.store.put("servers", "i-unused", map[string]any{"n": last})
	}
	time.Sleep(watchDelay)
}

// watchDelay is far longer than watches take to deliver a change.
const watchDelay = 1500 * time.Millisecond

// sendCommands sends commands through each node and returns how many reached the server.
func (f *fleet) sendCommands(server *modelServer) int {
	before := server.runCount()
	for _, n := range f.nodes {
		for range burst {
			if got := n.send("/command/x", ""); got.status != http.StatusOK {
				f.t.Errorf("%s: %+v, although a server runs commands", n.name, got)
			}
		}
	}
	return server.runCount() - before
}

// TestServerThatLeavesAfterStoreRollbackGetsNoNewWork: nodes kept choosing a server that
// started draining after the store had been rolled back.
func TestServerThatLeavesAfterStoreRollbackGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 3)
	draining := newServer(t, f.store, "i-commands-1", "commands", 0)
	newServer(t, f.store, "i-commands-2", "commands", 0)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	f.rollBackStore()
	draining.register(f.store, "draining")
	eventually(t, "the draining server gets no commands", func() bool { return f.sendCommands(draining) == 0 })
	if received := f.sendCommands(draining); received > 0 {
		t.Errorf("%d commands reached a draining server", received)
	}
}

// TestOrdersGoOnAfterStoreRollback: after a rollback of the store, no order was given until
// all nodes had restarted.
func TestOrdersGoOnAfterStoreRollback(t *testing.T) {
	f := newFleet(t, 3)
	server := newServer(t, f.store, "i-models-1", "models", 50*time.Millisecond)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	for number, model := range []string{"m1", "m2", "m1"} {
		eventually(t, model+" is loaded, rollbacks before: "+strconv.Itoa(number), func() bool {
			return f.nodes[number].send("/chat/x", model).status == http.StatusOK
		})
		f.rollBackStore()
	}
	last := order{}
	for _, taken := range server.ordersTaken() {
		if taken.FencingToken < last.FencingToken || taken.FencingToken == last.FencingToken && taken.Holder != last.Holder {
			t.Errorf("token %d of %s after token %d of %s", taken.FencingToken, taken.Holder, last.FencingToken, last.Holder)
		}
		last = taken
	}
}

// TestAcceptedOutlivesStoreRollback: state that nodes had accepted reverted to the restored
// snapshot, both at nodes that knew it and at nodes started afterwards.
func TestAcceptedOutlivesStoreRollback(t *testing.T) {
	for name, ignoresRollback := range map[string]bool{"watches end": false, "watches hang on": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWithOptions(t, fleetOptions{count: 3, seeds: `"127.0.0.1:1"`, bounds: evacuateLine})
			f.store.set(func() { f.store.ignoresRollback = ignoresRollback })
			draining := newServer(t, f.store, "i-commands-1", "commands", 0)
			removed := newServer(t, f.store, "i-commands-2", "commands", 0)
			evacuated := newServerIn(t, f.store, "a", "i-commands-3", "commands", 0)
			newServer(t, f.store, "i-commands-4", "commands", 0)
			f.store.put("config", "main", newConfig(1))
			f.awaitReady()
			saved := f.store.snapshot()
			draining.register(f.store, "draining")
			f.store.remove("servers", removed.id)
			f.store.put("evacuations", "a", map[string]any{})
			f.store.put("config", "main", newConfig(2, map[string]any{
				"name": "added", "host": "host.example", "pathPrefix": "/added/", "type": "safe", "service": "commands", "maxAttempts": 1,
			}))
			f.advanceRevisions(lostWrites)
			unused := []*modelServer{draining, removed, evacuated}
			eventually(t, "all changes are in force", func() bool { return f.keepsAccepted(unused...) })
			f.store.restore(saved)
			restarted := f.nodes[2]
			restarted.kill()
			restarted.setSeeds(f.nodes[0], f.nodes[1])
			restarted.start()
			eventually(t, "the restarted node is ready", restarted.isReady)
			f.advanceRevisions(2 * lostWrites)
			if !f.keepsAccepted(unused...) {
				t.Error("the restored snapshot reverted accepted changes")
			}
			draining.register(f.store, "draining")
			f.store.remove("servers", removed.id)
			f.store.put("evacuations", "a", map[string]any{})
			if !f.keepsAccepted(unused...) {
				t.Error("changes that were written again are not in force")
			}
		})
	}
}

// keepsAccepted reports whether all nodes serve the added route and send nothing to the
// given servers.
func (f *fleet) keepsAccepted(unused ...*modelServer) bool {
	before := 0
	for _, server := range unused {
		before += server.runCount()
	}
	accepted := true
	for _, n := range f.nodes {
		for range burst {
			accepted = n.send("/added/x", "").status == http.StatusOK && accepted
		}
	}
	after := 0
	for _, server := range unused {
		after += server.runCount()
	}
	return accepted && after == before
}

// setSeeds configures the given nodes as seeds, effective from the node's next start.
func (n *node) setSeeds(seeds ...*node) {
	text, err := os.ReadFile(n.settingsPath)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	var named []string
	for _, seed := range seeds {
		named = append(named, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, n.fleet.ports[0])))
	}
	settings := regexp.MustCompile(`(?m)^seeds = .*$`).ReplaceAllString(string(text), "seeds = ["+strings.Join(named, ", ")+"]")
	if err := os.WriteFile(n.settingsPath, []byte(settings), 0o600); err != nil {
		n.fleet.t.Fatal(err)
	}
}

// TestLeavingOutlivesStoreRollback: a server that had left before a rollback of the store
// counted as ready again because of the restored snapshot.
func TestLeavingOutlivesStoreRollback(t *testing.T) {
	f := newFleet(t, 3)
	draining := newServer(t, f.store, "i-commands-1", "commands", 0)
	newServer(t, f.store, "i-commands-2", "commands", 0)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	saved := f.store.snapshot()
	draining.register(f.store, "draining")
	f.advanceRevisions(lostWrites)
	eventually(t, "the draining server gets no commands", func() bool { return f.sendCommands(draining) == 0 })
	f.store.restore(saved)
	f.advanceRevisions(2 * lostWrites)
	if received := f.sendCommands(draining); received > 0 {
		t.Errorf("%d commands reached a draining server", received)
	}
}
