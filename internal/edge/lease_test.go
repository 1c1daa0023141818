package edge

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	weakStrength   = 40
	strongStrength = 800
)

// newCandidate is a weak node that could become leader at once.
func newCandidate(t *testing.T) *Node {
	t.Helper()
	node := newTestNode(t)
	node.peers.roster.SetStrength(weakStrength)
	node.handler.SetTable(routetable.New(1, nil, nil, routetable.Limits{}))
	node.hasServers.Store(true)
	return node
}

// TestFirstLeaseWaitsUntilNodesKnowEachOther: a machine with a fifth of a core
// took the very first lease, as it had heard of no other node yet.
func TestFirstLeaseWaitsUntilNodesKnowEachOther(t *testing.T) {
	node := newCandidate(t)
	leader := node.leader
	leader.lease.ObserveAbsent(leader.started, leader.started, 0)
	if leader.isCandidate(leader.started.Add(initialLeaseDelay - time.Millisecond)) {
		t.Error("a candidate for a lease that nobody ever had, before nodes know each other")
	}
	leader.isCandidate(leader.started.Add(initialLeaseDelay))
	if !leader.isCandidate(leader.started.Add(initialLeaseDelay + time.Second)) {
		t.Error("no candidate though it is alone")
	}
	leader = newCandidate(t).leader
	leader.lease.Observe(leader.started, leader.started, storelease.Record{Holder: "other", Position: storepos.At(0, 3)})
	if !leader.isCandidate(leader.started.Add(candidacyDelay + time.Millisecond)) {
		t.Error("the wait for the very first lease holds up a later one")
	}
}

// TestWeakLeaderYieldsOnce to a node that is much stronger, and is no candidate
// for a while then; it does not yield again soon, whether that one leads or not.
func TestWeakLeaderYieldsOnce(t *testing.T) {
	node := newCandidate(t)
	leader := node.leader
	now := clock.Now()
	look := func(after time.Duration) bool {
		node.peers.roster.Observe(now.Add(after), &peerpb.NodeState{
			Node: "strong", Address: "126.0.0.1:1", Life: 1, Sequence: uint64(after) + 1, Strength: strongStrength,
		})
		return leader.shouldYield(now.Add(after))
	}
	yieldedAt := time.Duration(0)
	for after := time.Duration(0); after <= 20*time.Second; after += yieldCheckPeriod {
		if !look(after) {
			continue
		}
		if yieldedAt != 0 {
			t.Fatalf("yields again after %v", after)
		}
		yieldedAt = after
	}
	if yieldedAt < yieldDelay || yieldedAt > yieldDelay+2*yieldCheckPeriod {
		t.Errorf("yields after %v, want about %v", yieldedAt, yieldDelay)
	}
	leader.lease.Observe(now, now, storelease.Record{Holder: node.options.Name, Position: storepos.At(0, 3)})
	if leader.isCandidate(now.Add(yieldedAt + yieldStandDown - time.Millisecond)) {
		t.Error("takes the lease back at once")
	}
	if !leader.isCandidate(now.Add(yieldedAt + yieldStandDown + time.Millisecond)) {
		t.Error("leaves the fleet without a leader where the stronger one does not lead")
	}
}
