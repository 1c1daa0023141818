package edge

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newFollower is a weak node beside strong ones, which knows a configuration and
// servers.
func newFollower(t testing.TB, strong int) *Node {
	t.Helper()
	node := newTestNode(t)
	node.firstRead = 0
	node.peers.roster.SetStrength(weakStrength)
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	node.applyPeerServerList([]inventory.Server{{ID: "a", Position: storepos.At(0, 1)}}, storepos.At(0, 2))
	for i := range strong {
		node.peers.roster.Observe(clock.Now(), &peerpb.NodeState{
			Node: fmt.Sprint("strong-", i), Address: fmt.Sprintf("126.0.0.%d:1", i+1), Life: 1, Sequence: 1, Strength: strongStrength,
		})
	}
	return node
}

// receiveState takes a datagram of a strong node.
func receiveState(node *Node, sequence uint64, version int64, configAge, serversAge uint32) {
	digest, at := node.directory.digestAndPosition()
	node.peers.handleState(&peerpb.NodeState{
		Node: "strong-0", Address: "126.0.0.1:1", Life: 1, Sequence: sequence, Strength: strongStrength,
		ConfigVersion: version, ConfigAgeMs: configAge, ServersDigest: digest, ServersRevision: at.Revision, ServersAgeMs: serversAge,
	})
}

// TestConfirmedNodeLeavesTheStoreAlone: each of hundreds of nodes asked the store
// again and again for what a few had asked just before.
func TestConfirmedNodeLeavesTheStoreAlone(t *testing.T) {
	node := newFollower(t, 3)
	asks := func(after time.Duration) bool {
		now := clock.Now().Add(after)
		return node.shouldQueryStore(now, &node.configConfirmed) || node.shouldQueryStore(now, &node.serversConfirmed)
	}
	if !asks(defaultApplyWithin) {
		t.Error("a node to which nobody ever confirmed what it knows does not ask the store")
	}
	receiveState(node, 2, 7, 101, 101)
	if asks(0) || asks(node.fractionOfBound(confirmedFraction)-200*time.Millisecond) {
		t.Error("a node asks the store for what was confirmed 100 ms ago")
	}
	if !asks(node.fractionOfBound(confirmedFraction + takeoverFraction)) {
		t.Error("a node that hears no confirmation any more does not ask the store")
	}
	if limit := node.fractionOfBound(confirmedFraction + takeoverFraction); limit >= defaultApplyWithin {
		t.Errorf("a node may act for %v on what nobody confirmed, longer than the bound of %v", limit, defaultApplyWithin)
	}
}

// TestWhoIsBehindIsNotConfirmed until it has what the peer has.
func TestWhoIsBehindIsNotConfirmed(t *testing.T) {
	node := newFollower(t, 3)
	receiveState(node, 2, 8, 1, 1)
	if _, known := node.configConfirmed.age(clock.Now()); known {
		t.Error("a peer that has a newer configuration confirms the older one")
	}
	select {
	case wanted := <-node.snapshots.pending:
		if wanted.address != "126.0.0.1:1" || !node.snapshots.isNeeded(wanted) {
			t.Errorf("%+v is asked, want the peer that told", wanted)
		}
		node.handler.SetTable(routetable.New(8, nil, nil, routetable.Limits{}))
		if node.snapshots.isNeeded(wanted) {
			t.Error("the peer is asked for a configuration that has come meanwhile")
		}
		node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	default:
		t.Error("the peer is not asked for the newer configuration")
	}
	node.peers.handleState(&peerpb.NodeState{
		Node: "strong-0", Address: "126.0.0.1:1", Life: 1, Sequence: 3, ConfigVersion: 7, ServersDigest: 99, ServersRevision: 1, ServersAgeMs: 1,
	})
	if age, _ := node.serversConfirmed.age(clock.Now()); age > time.Second {
		t.Errorf("age %v after the first datagram, which told of the same servers", age)
	}
	node.serversConfirmed.confirmedAt = time.Time{}
	node.peers.handleState(&peerpb.NodeState{
		Node: "strong-0", Address: "126.0.0.1:1", Life: 1, Sequence: 4, ConfigVersion: 7, ServersDigest: 99, ServersRevision: 1, ServersAgeMs: 1,
	})
	if _, known := node.serversConfirmed.age(clock.Now()); known {
		t.Error("a peer that knows other servers confirms those known here")
	}
}

// TestStartingNodeIsNoSentinel: 295 nodes that started together knew no other yet,
// each took itself for one of the first, and they made 1,400 calls in four seconds.
func TestStartingNodeIsNoSentinel(t *testing.T) {
	node := newFollower(t, 0)
	node.configConfirmed.confirm(node.started)
	if node.shouldQueryStore(node.started.Add(time.Second), &node.configConfirmed) {
		t.Error("a node that started a second ago, and has just read, watches the store for others")
	}
	node.configConfirmed.confirm(node.started.Add(sentinelDelay))
	if !node.shouldQueryStore(node.started.Add(sentinelDelay), &node.configConfirmed) {
		t.Error("a node that is alone does not watch the store")
	}
}

// TestWatchCutShortConfirmsItsBeginning: only a wait that went to its end says that
// nothing changed until then.
func TestWatchCutShortConfirmsItsBeginning(t *testing.T) {
	asked := clock.Now()
	for answered, want := range map[time.Duration]time.Duration{
		300 * time.Millisecond: 0, time.Second: time.Second, 3 * time.Second: time.Second,
	} {
		if got := confirmedUntil(asked, time.Second, asked.Add(answered)).Sub(asked); got != want {
			t.Errorf("answered after %v: confirmed up to %v, want %v", answered, got, want)
		}
	}
}

// TestFirstNodesStepInFirst: where nobody confirms, nodes ask one after the other,
// and all of them within the bound.
func TestFirstNodesStepInFirst(t *testing.T) {
	weak, first := newFollower(t, 40), newFollower(t, 0)
	now := clock.Now()
	if early, late := first.takeoverDelay(now), weak.takeoverDelay(now); early != 0 || late <= 0 || late > weak.fractionOfBound(takeoverFraction) {
		t.Errorf("the first steps in after %v, the last after %v", early, late)
	}
}

// TestAgeOnTheWire keeps "not known" apart from "just now".
func TestAgeOnTheWire(t *testing.T) {
	now := clock.Now()
	var known, heard confirmation
	if known.encodedAge(now) != 0 {
		t.Error("an age is told of what was never confirmed")
	}
	known.confirm(now)
	if got := known.encodedAge(now.Add(250 * time.Millisecond)); got != 251 {
		t.Errorf("told %d, want 251", got)
	}
	heard.receiveAge(now, 0)
	if _, ok := heard.age(now); ok {
		t.Error("an age that is not known confirms")
	}
	heard.receiveAge(now, 251)
	heard.receiveAge(now, 900)
	if age, _ := heard.age(now); age != 250*time.Millisecond {
		t.Errorf("age %v, want the least of those heard, 250ms", age)
	}
}

// TestCallerMakesAStartingNodeAskAtOnce: after a loss of power of all nodes each waited
// for its turn to ask the store, and sent its callers away meanwhile.
func TestCallerMakesAStartingNodeAskAtOnce(t *testing.T) {
	node := newTestNode(t)
	node.firstRead = time.Hour
	if node.shouldQueryStore(clock.Now(), &node.configConfirmed) {
		t.Fatal("a node that nobody asked does not wait for its turn")
	}
	ended := make(chan struct{})
	go func() {
		node.awaitRequiredState(context.Background())
		close(ended)
	}()
	for !node.callerWaiting.Load() {
		runtime.Gosched()
	}
	if !node.shouldQueryStore(clock.Now(), &node.configConfirmed) || !node.shouldQueryStore(clock.Now(), &node.serversConfirmed) {
		t.Error("a node that a caller waits for does not ask the store")
	}
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}}, storepos.At(0, 2))
	<-ended
	node.configConfirmed.confirm(clock.Now())
	if node.shouldQueryStore(clock.Now(), &node.configConfirmed) {
		t.Error("a node goes on asking the store for what was confirmed to it")
	}
	failing := newTestNode(t)
	failing.storeFailing.Store(true)
	failing.awaitRequiredState(context.Background())
}
