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

// shareChanges lets one node hear the other's news of this period.
func shareChanges(from, to *Node) {
	to.receivePeerChanges(clock.Now(), from.directory.takeDue(clock.Now()))
}

// TestServerThatWentAndCameBackTakesWork: where a server's entry went and came back
// between two answers of the store, the node that watched told all others that the
// server is gone as of the answer's revision, above that of the entry: nobody sent
// to it any more until its entry changed, which that of a plain server does only as
// it leaves.
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
					t.Errorf("%s: takes work %v, want %v", name, got, step.want)
				}
				if got := node.directory.table.IsAvailable("a"); got != step.want {
					t.Errorf("%s: in the directory it takes work: %v, want %v", name, got, step.want)
				}
			}
		})
	}
}

// TestWordThatAServerIsGoneEndsWithItsNewerEntry in whichever order a node hears.
func TestWordThatAServerIsGoneEndsWithItsNewerEntry(t *testing.T) {
	word := gossip.ServerChange{Server: inventory.Server{ID: "a", Draining: true, Position: storepos.At(0, 7)}}
	back := gossip.ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 8)}}
	for _, order := range [][]gossip.ServerChange{{word, back}, {back, word}} {
		node := newFollower(t, 0)
		for _, item := range order {
			node.receivePeerChanges(clock.Now(), []gossip.ServerChange{item})
		}
		if !isAvailable(node, "a") {
			t.Errorf("heard %v: the server takes no work", order)
		}
	}
}

// TestPeersWordGoesBeforeAHeldEntry: a node that holds an entry back as lapsed, since
// it saw the store fail, sent on to a server of which peers had told that it is gone,
// 8 ms longer than it may. Then it sent to it no more when it was back, and did not
// notice, as its directory still had it: the directory and the choice of servers go
// by the same words.
func TestPeersWordGoesBeforeAHeldEntry(t *testing.T) {
	back := inventory.Server{ID: "a", Position: storepos.At(0, 10)}
	returns := map[string]func(node *Node){
		"by the store": func(node *Node) { node.applyServerEvents([]inventory.Change{{Server: back}}, storepos.At(0, 10)) },
		"by a peer's word": func(node *Node) {
			node.receivePeerChanges(clock.Now(), []gossip.ServerChange{{Server: back}})
		},
		"by a peer's list": func(node *Node) { node.applyPeerServerList([]inventory.Server{back}, storepos.At(0, 11)) },
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
			t.Fatal("a lapsed entry is not held back")
		}
		node.receivePeerChanges(clock.Now(), []gossip.ServerChange{{Server: inventory.Server{ID: "a", Draining: true, Position: storepos.At(0, 8)}}})
		if isAvailable(node, "a") || node.directory.table.IsAvailable("a") {
			t.Error("the server takes work though a peer knows that it is gone")
		}
		if digest, _ := node.directory.digestAndPosition(); digest == before {
			t.Error("peers cannot tell that this node sends nothing to the server")
		}
		comesBack(node)
		if !isAvailable(node, "a") || !node.directory.table.IsAvailable("a") {
			t.Errorf("%s: the server takes no work though its entry came back", name)
		}
	}
}
