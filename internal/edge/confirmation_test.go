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

// newFollower returns a weak node among strong ones, with a configuration and servers.
func newFollower(t testing.TB, strong int) *Node {
	t.Helper()
	node := newTestNode(t)
	node.firstRead = 0
	node.peers.roster.SetStrength(weakStrength)
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	node.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}}, Position: storepos.At(0, 2)})
	for i := range strong {
		node.peers.roster.Observe(clock.Now(), &peerpb.NodeState{
			Node: fmt.Sprint("strong-", i), Address: fmt.Sprintf("126.0.0.%d:1", i+1), Life: 1, Sequence: 1, Strength: strongStrength,
		})
	}
	return node
}

// receiveState delivers a datagram of a strong node.
func receiveState(node *Node, sequence uint64, version int64, configAge, serversAge uint32) {
	digest, at := node.directory.digestAndPosition()
	node.peers.handleState(&peerpb.NodeState{
		Node: "strong-0", Address: "126.0.0.1:1", Life: 1, Sequence: sequence, Strength: strongStrength,
		ConfigVersion: version, ConfigAgeMs: configAge, ServersDigest: digest, ServersRevision: at.Revision, ServersAgeMs: serversAge,
	})
}

// TestConfirmedNodeLeavesTheStoreAlone guards against needless load on the store: without
// confirmations from peers, each of hundreds of nodes kept querying it for what a few had just
// read.
func TestConfirmedNodeLeavesTheStoreAlone(t *testing.T) {
	node := newFollower(t, 3)
	queries := func(after time.Duration) bool {
		now := clock.Now().Add(after)
		return node.shouldQueryStore(now, &node.configConfirmed) || node.shouldQueryStore(now, &node.serversConfirmed)
	}
	if !queries(defaultApplyWithin) {
		t.Error("a node whose data was never confirmed does not query the store")
	}
	receiveState(node, 2, 7, 101, 101)
	if queries(0) || queries(node.fractionOfBound(confirmedFraction)-200*time.Millisecond) {
		t.Error("a node queries the store for data confirmed 100 ms ago")
	}
	if !queries(node.fractionOfBound(confirmedFraction + takeoverFraction)) {
		t.Error("a node that receives no more confirmations does not query the store")
	}
	if limit := node.fractionOfBound(confirmedFraction + takeoverFraction); limit >= defaultApplyWithin {
		t.Errorf("a node may rely on unconfirmed data for %v, longer than the bound of %v", limit, defaultApplyWithin)
	}
}

// TestWhoIsBehindIsNotConfirmed checks that a peer with different data does not confirm this
// node's data.
func TestWhoIsBehindIsNotConfirmed(t *testing.T) {
	node := newFollower(t, 3)
	receiveState(node, 2, 8, 1, 1)
	if _, known := node.configConfirmed.age(clock.Now()); known {
		t.Error("a peer with a newer configuration confirmed the older one")
	}
	select {
	case wanted := <-node.snapshots.pending:
		if wanted.address != "126.0.0.1:1" || !node.snapshots.isNeeded(wanted) {
			t.Errorf("%+v is asked, want the peer with the newer version", wanted)
		}
		node.handler.SetTable(routetable.New(8, nil, nil, routetable.Limits{}))
		if node.snapshots.isNeeded(wanted) {
			t.Error("the peer is asked for a configuration that has arrived meanwhile")
		}
		node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	default:
		t.Error("the peer is not asked for the newer configuration")
	}
	node.peers.handleState(&peerpb.NodeState{
		Node: "strong-0", Address: "126.0.0.1:1", Life: 1, Sequence: 3, ConfigVersion: 7, ServersDigest: 99, ServersRevision: 1, ServersAgeMs: 1,
	})
	if age, _ := node.serversConfirmed.age(clock.Now()); age > time.Second {
		t.Errorf("age %v after the first datagram, which had the same servers", age)
	}
	node.serversConfirmed.confirmedAt = time.Time{}
	node.peers.handleState(&peerpb.NodeState{
		Node: "strong-0", Address: "126.0.0.1:1", Life: 1, Sequence: 4, ConfigVersion: 7, ServersDigest: 99, ServersRevision: 1, ServersAgeMs: 1,
	})
	if _, known := node.serversConfirmed.age(clock.Now()); known {
		t.Error("a peer with other servers confirmed those known here")
	}
}

// TestStartingNodeIsNoSentinel guards against a burst of store calls at startup: 295 nodes that
// started together knew no other node, each considered itself one of the first, and they made
// 1,400 calls in four seconds.
func TestStartingNodeIsNoSentinel(t *testing.T) {
	node := newFollower(t, 0)
	node.configConfirmed.confirm(node.started)
	if node.shouldQueryStore(node.started.Add(time.Second), &node.configConfirmed) {
		t.Error("a node that started a second ago and has fresh data acts as a sentinel")
	}
	node.configConfirmed.confirm(node.started.Add(sentinelDelay))
	if !node.shouldQueryStore(node.started.Add(sentinelDelay), &node.configConfirmed) {
		t.Error("a single node does not watch the store")
	}
}

// TestWatchCutShortConfirmsItsBeginning checks that only a watch that waited to its end confirms
// that nothing changed until then.
func TestWatchCutShortConfirmsItsBeginning(t *testing.T) {
	asked := clock.Now()
	for answered, want := range map[time.Duration]time.Duration{
		300 * time.Millisecond: 0, time.Second: time.Second, 3 * time.Second: time.Second,
	} {
		if got := confirmedUntil(asked, time.Second, asked.Add(answered)).Sub(asked); got != want {
			t.Errorf("response after %v: confirmed up to %v, want %v", answered, got, want)
		}
	}
}

// TestFirstNodesStepInFirst checks that without confirmations the nodes query the store one
// after another, all of them within the bound.
func TestFirstNodesStepInFirst(t *testing.T) {
	weak, first := newFollower(t, 40), newFollower(t, 0)
	now := clock.Now()
	if early, late := first.takeoverDelay(now), weak.takeoverDelay(now); early != 0 || late <= 0 || late > weak.fractionOfBound(takeoverFraction) {
		t.Errorf("the first node takes over after %v, the last after %v", early, late)
	}
}

// TestAgeOnTheWire checks that the encoding distinguishes an unknown age from a zero one.
func TestAgeOnTheWire(t *testing.T) {
	now := clock.Now()
	var confirmed, received confirmation
	if confirmed.encodedAge(now) != 0 {
		t.Error("an age is encoded for data that was never confirmed")
	}
	confirmed.confirm(now)
	if got := confirmed.encodedAge(now.Add(250 * time.Millisecond)); got != 251 {
		t.Errorf("encoded age %d, want 251", got)
	}
	received.receiveAge(now, 0)
	if _, ok := received.age(now); ok {
		t.Error("an unknown age counted as a confirmation")
	}
	received.receiveAge(now, 251)
	received.receiveAge(now, 900)
	if age, _ := received.age(now); age != 250*time.Millisecond {
		t.Errorf("age %v, want the lowest received, 250ms", age)
	}
}

// TestCallerMakesAStartingNodeAskAtOnce guards against rejected requests after a power failure
// of all nodes: each node waited for its turn to query the store and rejected its callers
// meanwhile.
func TestCallerMakesAStartingNodeAskAtOnce(t *testing.T) {
	node := newTestNode(t)
	node.firstRead = time.Hour
	if node.shouldQueryStore(clock.Now(), &node.configConfirmed) {
		t.Fatal("a node without a waiting caller does not wait for its turn")
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
		t.Error("a node with a waiting caller does not query the store")
	}
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}}, storepos.At(0, 2))
	<-ended
	node.configConfirmed.confirm(clock.Now())
	if node.shouldQueryStore(clock.Now(), &node.configConfirmed) {
		t.Error("a node keeps querying the store for confirmed data")
	}
	failing := newTestNode(t)
	failing.storeFailing.Store(true)
	failing.awaitRequiredState(context.Background())
}
