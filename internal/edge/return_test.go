package edge

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func isAvailable(node *Node, server string) (available bool) {
	node.dispatch.Do(func(core *dispatch.Core) { available = core.IsAvailable(server) })
	return available
}

// shareChanges delivers the changes that one node announces in this period to another.
func shareChanges(from, to *Node) {
	to.receivePeerChanges(clock.Now(), from.directory.takeDue(clock.Now()))
}

// TestServerThatWentAndCameBackTakesWork guards against lost servers. If an entry disappeared
// and came back between two responses of the store, the watching node announced the removal with
// the response's revision, above that of the entry. No node used the server until its entry
// changed, which the entry of a plain server does only when it leaves.
func TestServerThatWentAndCameBackTakesWork(t *testing.T) {
	back := inventory.Server{ID: "a", Position: storepos.At(0, 8)}
	steps := []struct {
		name   string
		events []inventory.Change
		at     int64
		want   bool
	}{
		{"went and came back", []inventory.Change{removal("a"), {Server: back}}, 9, true},
		{"went, came back and went", []inventory.Change{removal("a"), {Server: back}, removal("a")}, 10, false},
		{"left, lapsed and came back", []inventory.Change{
			{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5), Draining: true}}, removal("a"), {Server: back},
		}, 9, true},
		{"went", []inventory.Change{removal("a")}, 9, false},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			watcher, other := newFollower(t, 0), newFollower(t, 0)
			watcher.applyServerEvents(step.events, storepos.At(0, step.at))
			shareChanges(watcher, other)
			shareChanges(other, watcher)
			for name, node := range map[string]*Node{"watcher": watcher, "other": other} {
				if got := isAvailable(node, "a"); got != step.want {
					t.Errorf("%s: available: %v, want %v", name, got, step.want)
				}
				if got := node.directory.table.IsAvailable("a"); got != step.want {
					t.Errorf("%s: available in the directory: %v, want %v", name, got, step.want)
				}
			}
		})
	}
}

// TestWordThatAServerIsGoneEndsWithItsNewerEntry checks that a newer entry overrides a removal
// in whichever order they arrive.
func TestWordThatAServerIsGoneEndsWithItsNewerEntry(t *testing.T) {
	removal := gossip.ServerChange{Server: inventory.Server{ID: "a", Draining: true, Position: storepos.At(0, 7)}}
	back := gossip.ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 8)}}
	for _, order := range [][]gossip.ServerChange{{removal, back}, {back, removal}} {
		node := newFollower(t, 0)
		for _, item := range order {
			node.receivePeerChanges(clock.Now(), []gossip.ServerChange{item})
		}
		if !isAvailable(node, "a") {
			t.Errorf("received %v: the server is not available", order)
		}
	}
}

// TestPeersWordGoesBeforeAHeldEntry guards against the directory and the dispatcher disagreeing.
// A node that retained an expired entry after a store failure kept using a server 8 ms longer
// than allowed after peers had announced its removal. Later it did not use the server after its
// return, and did not notice because its directory still contained it. Both must apply the same
// announcements.
func TestPeersWordGoesBeforeAHeldEntry(t *testing.T) {
	back := inventory.Server{ID: "a", Position: storepos.At(0, 10)}
	returns := map[string]func(node *Node){
		"by the store": func(node *Node) { node.applyServerEvents([]inventory.Change{{Server: back}}, storepos.At(0, 10)) },
		"by a peer's announcement": func(node *Node) {
			node.receivePeerChanges(clock.Now(), []gossip.ServerChange{{Server: back}})
		},
		"by a peer's list": func(node *Node) {
			node.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{back}, Position: storepos.At(0, 11)})
		},
		"unchanged, by the store's list": func(node *Node) {
			node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}}, storepos.At(0, 11))
		},
	}
	for name, comesBack := range returns {
		node := newFollower(t, 0)
		before, _ := node.directory.digestAndPosition()
		node.expiryGrace.begin(clock.Now())
		node.applyServerList(clock.Now(), nil, storepos.At(0, 9))
		if !isAvailable(node, "a") {
			t.Fatal("an expired entry is not retained")
		}
		node.receivePeerChanges(clock.Now(), []gossip.ServerChange{{Server: inventory.Server{ID: "a", Draining: true, Position: storepos.At(0, 8)}}})
		if isAvailable(node, "a") || node.directory.table.IsAvailable("a") {
			t.Error("the server is available although a peer announced its removal")
		}
		if digest, _ := node.directory.digestAndPosition(); digest == before {
			t.Error("the digest does not show that the server is unavailable here")
		}
		comesBack(node)
		if !isAvailable(node, "a") || !node.directory.table.IsAvailable("a") {
			t.Errorf("%s: the server is not available although its entry came back", name)
		}
	}
}
