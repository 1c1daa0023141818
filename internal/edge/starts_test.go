package edge

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// startOf returns the start of server a that the node would send to, or 0 for none.
func startOf(node *Node) (born int64) {
	node.dispatch.Do(func(core *dispatch.Core) {
		if choice, ok := core.Pick(clock.Now(), dispatch.Request{Service: "s"}); ok {
			born = choice.Attempt.Start().StartedAtMs
			core.End(clock.Now(), choice.Attempt, dispatch.OutcomeAbandoned)
		}
	})
	return born
}

// TestLaterStartClearsWhatTheOneBeforeTold checks that a later start, however it becomes known,
// discards what the earlier one reported, and that an earlier start does not replace it.
func TestLaterStartClearsWhatTheOneBeforeTold(t *testing.T) {
	server := func(born, revision int64) inventory.Server {
		return inventory.Server{ID: "a", StartedAtMs: born, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, revision)}
	}
	ways := map[string]func(node *Node, entry inventory.Server){
		"the store's list": func(node *Node, entry inventory.Server) {
			node.applyServerList(clock.Now(), []inventory.Server{entry}, entry.Position)
		},
		"a watch": func(node *Node, entry inventory.Server) {
			node.applyServerEvents([]inventory.Change{{Server: entry}}, entry.Position)
		},
		"a peer's list": func(node *Node, entry inventory.Server) {
			node.applyPeerServerList(inventory.PeerList{Servers: decodeEntries(encodeEntries([]inventory.Server{entry}), 0), Position: entry.Position})
		},
		"a peer's announcement": func(node *Node, entry inventory.Server) {
			node.receivePeerChanges(clock.Now(), decodeChanges([]*peerpb.ServerNews{{
				Server: entry.ID, Born: entry.StartedAtMs, Service: entry.Service, Address: entry.Address, Zone: entry.Zone, Revision: entry.Position.Revision,
			}}))
		},
	}
	for name, tell := range ways {
		node := newTestNode(t)
		node.applyServerList(clock.Now(), []inventory.Server{server(7, 3)}, storepos.At(0, 3))
		node.hints.receiveFromCall(inventory.Start{ID: "a", StartedAtMs: 7}, inventory.Hint{Draining: true}, hintFromAnswer)
		if got := startOf(node); got != 0 {
			t.Errorf("%s: start %d is used although it is draining", name, got)
		}
		tell(node, server(6, 2))
		if got := startOf(node); got != 0 {
			t.Errorf("%s: an earlier start that was reported late is used", name)
		}
		tell(node, server(8, 9))
		if got := startOf(node); got != 8 {
			t.Errorf("%s: start %d is used, want the later one", name, got)
		}
		node.hints.receiveFromPeer(clock.Now(), []*peerpb.ServerWord{{Server: "a", Born: 7, Leaving: true}})
		if got := startOf(node); got != 8 {
			t.Errorf("%s: a peer's late hint on the earlier start affects the later one", name)
		}
		node.hints.receiveFromPeer(clock.Now(), []*peerpb.ServerWord{{Server: "a", Born: 8, RestMs: 60000}, {Server: "", Born: 8, Leaving: true}, {Server: "a", Born: -1, Leaving: true}})
		if got := startOf(node); got != 8 {
			t.Errorf("%s: a peer's backoff, or an invalid hint, affects this node", name)
		}
	}
}

// TestViewOfALaterStartIsTakenForOne checks that a leader's view may reveal a later start, since
// the leader may learn of it from the server first.
func TestViewOfALaterStartIsTakenForOne(t *testing.T) {
	node := newTestNode(t)
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", StartedAtMs: 7, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, 3)}}, storepos.At(0, 3))
	applyView := func(born int64) {
		node.dispatch.Do(func(core *dispatch.Core) {
			core.SetViews(clock.Now(), 5, decodeViews([]*peerpb.ServerView{{Server: "a", Born: born, Held: []*peerpb.HeldModel{{Model: "m"}}}}, 1))
		})
	}
	for _, step := range []struct{ received, want int64 }{{0, 7}, {6, 7}, {8, 8}, {7, 8}} {
		applyView(step.received)
		if got := startOf(node); got != step.want {
			t.Errorf("a view of start %d: start %d is used, want %d", step.received, got, step.want)
		}
	}
}

// TestLeavingOfALaterStartIsToldOn checks that draining is announced for each start of a server,
// even if it was announced for the previous one.
func TestLeavingOfALaterStartIsToldOn(t *testing.T) {
	node := newTestNode(t)
	revision := int64(3)
	change := func(born int64, draining bool) {
		revision++
		node.applyServerEvents([]inventory.Change{{Server: inventory.Server{
			ID: "a", StartedAtMs: born, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, revision), Draining: draining,
		}}}, storepos.At(0, revision))
	}
	node.applyServerList(clock.Now(), nil, storepos.At(0, revision))
	for born := int64(1); born <= 3; born++ {
		change(born, false)
		change(born, true)
		changes := node.directory.takeDue(clock.Now().Add(time.Millisecond))
		if len(changes) != 1 || changes[0].Server.StartedAtMs != born || !changes[0].Server.Draining {
			t.Errorf("start %d is draining: announced %+v", born, changes)
		}
	}
}

// TestPeersNameOnlyServersThatCanBeUsed checks that invalid servers are dropped: a peer of
// another build may have accepted entries that this one cannot use, and forwards them.
func TestPeersNameOnlyServersThatCanBeUsed(t *testing.T) {
	good := &peerpb.ServerEntry{Server: "a", Born: 7, Service: "s", Address: "127.0.0.1:1", Zone: "z", Revision: 3}
	for name, change := range map[string]func(entry *peerpb.ServerEntry){
		"no name": func(e *peerpb.ServerEntry) { e.Server = "" }, "no service": func(e *peerpb.ServerEntry) { e.Service = "" },
		"no zone": func(e *peerpb.ServerEntry) { e.Zone = "" }, "no address": func(e *peerpb.ServerEntry) { e.Address = "" },
		"an invalid address": func(e *peerpb.ServerEntry) { e.Address = "here" }, "a negative start": func(e *peerpb.ServerEntry) { e.Born = -1 },
		"a negative revision": func(e *peerpb.ServerEntry) { e.Revision = -1 },
	} {
		bad := &peerpb.ServerEntry{Server: "b", Born: 7, Service: "s", Address: "127.0.0.1:2", Zone: "z", Revision: 4}
		change(bad)
		if got := decodeEntries([]*peerpb.ServerEntry{bad, good}, 0); len(got) != 1 || got[0].ID != "a" {
			t.Errorf("list, %s: %+v", name, got)
		}
		changes := []*peerpb.ServerNews{
			{Server: bad.Server, Born: bad.Born, Service: bad.Service, Address: bad.Address, Zone: bad.Zone, Revision: bad.Revision},
			{Server: "gone", Going: true, Revision: 9},
		}
		if got := decodeChanges(changes); len(got) != 1 || got[0].Server.ID != "gone" {
			t.Errorf("changes, %s: %+v", name, got)
		}
	}
}
