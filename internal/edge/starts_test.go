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

// startOf is the start of server a that the node would send to; 0 where it would not.
func startOf(node *Node) (born int64) {
	node.dispatch.Do(func(core *dispatch.Core) {
		if choice, ok := core.Pick(clock.Now(), dispatch.Request{Service: "s"}); ok {
			born = choice.Attempt.Start().StartedAtMs
			core.End(clock.Now(), choice.Attempt, dispatch.OutcomeAbandoned)
		}
	})
	return born
}

// TestLaterStartClearsWhatTheOneBeforeTold: by whatever way it is told, and not the other way.
func TestLaterStartClearsWhatTheOneBeforeTold(t *testing.T) {
	server := func(born, revision int64) inventory.Server {
		return inventory.Server{ID: "a", StartedAtMs: born, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, revision)}
	}
	ways := map[string]func(node *Node, told inventory.Server){
		"the store's list": func(node *Node, told inventory.Server) {
			node.applyServerList(clock.Now(), []inventory.Server{told}, told.Position)
		},
		"a watch": func(node *Node, told inventory.Server) {
			node.applyServerEvents([]inventory.Change{{Server: told}}, told.Position)
		},
		"a peer's list": func(node *Node, told inventory.Server) {
			node.applyPeerServerList(decodeEntries(encodeEntries([]inventory.Server{told}), 0), told.Position)
		},
		"a peer's news": func(node *Node, told inventory.Server) {
			node.receivePeerChanges(clock.Now(), decodeChanges([]*peerpb.ServerNews{{
				Server: told.ID, Born: told.StartedAtMs, Service: told.Service, Address: told.Address, Zone: told.Zone, Revision: told.Position.Revision,
			}}))
		},
	}
	for name, tell := range ways {
		node := newTestNode(t)
		node.applyServerList(clock.Now(), []inventory.Server{server(7, 3)}, storepos.At(0, 3))
		node.hints.receiveFromCall(inventory.Start{ID: "a", StartedAtMs: 7}, inventory.Hint{Draining: true}, hintFromAnswer)
		if got := startOf(node); got != 0 {
			t.Errorf("%s: start %d is sent to, which leaves", name, got)
		}
		tell(node, server(6, 2))
		if got := startOf(node); got != 0 {
			t.Errorf("%s: an earlier start, told late, is sent to", name)
		}
		tell(node, server(8, 9))
		if got := startOf(node); got != 8 {
			t.Errorf("%s: start %d is sent to, want the later one", name, got)
		}
		node.hints.receiveFromPeer(clock.Now(), []*peerpb.ServerWord{{Server: "a", Born: 7, Leaving: true}})
		if got := startOf(node); got != 8 {
			t.Errorf("%s: a peer's late word on the start before binds the later one", name)
		}
		node.hints.receiveFromPeer(clock.Now(), []*peerpb.ServerWord{{Server: "a", Born: 8, RestMs: 60000}, {Server: "", Born: 8, Leaving: true}, {Server: "a", Born: -1, Leaving: true}})
		if got := startOf(node); got != 8 {
			t.Errorf("%s: a rest that a peer was asked for, or a word of nobody, binds this node", name)
		}
	}
}

// TestViewOfALaterStartIsTakenForOne: the leader may hear of it from the server itself, first.
func TestViewOfALaterStartIsTakenForOne(t *testing.T) {
	node := newTestNode(t)
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", StartedAtMs: 7, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, 3)}}, storepos.At(0, 3))
	view := func(born int64) {
		node.dispatch.Do(func(core *dispatch.Core) {
			core.SetViews(clock.Now(), 5, decodeViews([]*peerpb.ServerView{{Server: "a", Born: born, Held: []*peerpb.HeldModel{{Model: "m"}}}}))
		})
	}
	for _, step := range []struct{ told, want int64 }{{0, 7}, {6, 7}, {8, 8}, {7, 8}} {
		view(step.told)
		if got := startOf(node); got != step.want {
			t.Errorf("a view of start %d: start %d is sent to, want %d", step.told, got, step.want)
		}
	}
}

// TestLeavingOfALaterStartIsToldOn: that of the one before was news, too.
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
		told := node.directory.takeDue(clock.Now().Add(time.Millisecond))
		if len(told) != 1 || told[0].Server.StartedAtMs != born || !told[0].Server.Draining {
			t.Errorf("start %d leaves: told %+v", born, told)
		}
	}
}

// TestPeersNameOnlyServersThatCanBeUsed: a peer of another build may have taken entries that this
// one cannot read, and tells them on.
func TestPeersNameOnlyServersThatCanBeUsed(t *testing.T) {
	good := &peerpb.ServerEntry{Server: "a", Born: 7, Service: "s", Address: "127.0.0.1:1", Zone: "z", Revision: 3}
	for name, change := range map[string]func(entry *peerpb.ServerEntry){
		"no name": func(e *peerpb.ServerEntry) { e.Server = "" }, "no service": func(e *peerpb.ServerEntry) { e.Service = "" },
		"no zone": func(e *peerpb.ServerEntry) { e.Zone = "" }, "no address": func(e *peerpb.ServerEntry) { e.Address = "" },
		"an address that is none": func(e *peerpb.ServerEntry) { e.Address = "here" }, "a start before all": func(e *peerpb.ServerEntry) { e.Born = -1 },
		"a revision before all": func(e *peerpb.ServerEntry) { e.Revision = -1 },
	} {
		bad := &peerpb.ServerEntry{Server: "b", Born: 7, Service: "s", Address: "127.0.0.1:2", Zone: "z", Revision: 4}
		change(bad)
		if got := decodeEntries([]*peerpb.ServerEntry{bad, good}, 0); len(got) != 1 || got[0].ID != "a" {
			t.Errorf("a list, %s: %+v", name, got)
		}
		news := []*peerpb.ServerNews{
			{Server: bad.Server, Born: bad.Born, Service: bad.Service, Address: bad.Address, Zone: bad.Zone, Revision: bad.Revision},
			{Server: "gone", Going: true, Revision: 9},
		}
		if got := decodeChanges(news); len(got) != 1 || got[0].Server.ID != "gone" {
			t.Errorf("news, %s: %+v", name, got)
		}
	}
}
