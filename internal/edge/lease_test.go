package edge

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	weakStrength   = 40
	strongStrength = 800
)

// newCandidate returns a weak node that could become leader at once.
func newCandidate(t *testing.T) *Node {
	t.Helper()
	node := newTestNode(t)
	node.peers.roster.SetStrength(weakStrength)
	node.handler.SetTable(routetable.New(1, nil, nil, routetable.Limits{}))
	node.hasServers.Store(true)
	return node
}

// TestFirstLeaseWaitsUntilNodesKnowEachOther guards against a weak first leader: a machine with
// a fifth of a core took the very first lease because it had not heard of any other node yet.
func TestFirstLeaseWaitsUntilNodesKnowEachOther(t *testing.T) {
	node := newCandidate(t)
	leader := node.leader
	leader.lease.ObserveAbsent(leader.started, leader.started, 0)
	if leader.isCandidate(leader.started.Add(initialLeaseDelay - time.Millisecond)) {
		t.Error("candidate for the very first lease before nodes know each other")
	}
	leader.isCandidate(leader.started.Add(initialLeaseDelay))
	if !leader.isCandidate(leader.started.Add(initialLeaseDelay + time.Second)) {
		t.Error("not a candidate although it is the only node")
	}
	leader = newCandidate(t).leader
	leader.lease.Observe(leader.started, leader.started, storelease.Record{Holder: "other", Position: storepos.At(0, 3)})
	if !leader.isCandidate(leader.started.Add(candidacyDelay + time.Millisecond)) {
		t.Error("the delay of the very first lease applies to a later one")
	}
}

// TestWeakLeaderYieldsOnce checks that a leader yields to a much stronger node and is no
// candidate for a while, and that it does not yield again soon, whether the stronger node leads
// or not.
func TestWeakLeaderYieldsOnce(t *testing.T) {
	node := newCandidate(t)
	leader := node.leader
	now := clock.Now()
	check := func(after time.Duration) bool {
		node.peers.roster.Observe(now.Add(after), &peerpb.NodeState{
			Node: "strong", Address: "126.0.0.1:1", Life: 1, Sequence: uint64(after) + 1, Strength: strongStrength,
		})
		return leader.shouldYield(now.Add(after))
	}
	yieldedAt := time.Duration(0)
	for after := time.Duration(0); after <= 20*time.Second; after += yieldCheckPeriod {
		if !check(after) {
			continue
		}
		if yieldedAt != 0 {
			t.Fatalf("yielded again after %v", after)
		}
		yieldedAt = after
	}
	if yieldedAt < yieldDelay || yieldedAt > yieldDelay+2*yieldCheckPeriod {
		t.Errorf("yielded after %v, want about %v", yieldedAt, yieldDelay)
	}
	leader.lease.Observe(now, now, storelease.Record{Holder: node.options.Name, Position: storepos.At(0, 3)})
	if leader.isCandidate(now.Add(yieldedAt + yieldStandDown - time.Millisecond)) {
		t.Error("is a candidate again right after yielding")
	}
	if !leader.isCandidate(now.Add(yieldedAt + yieldStandDown + time.Millisecond)) {
		t.Error("leaves the fleet without a leader if the stronger node does not lead")
	}
}

// TestBarsInTheLeaseRunOn guards against requests that are barred anew each time that the same lease is read, after
// their bar was over: nobody renews the lease while the store is away, or while no node leads.
func TestBarsInTheLeaseRunOn(t *testing.T) {
	node := newCandidate(t)
	fingerprint := poison.Fingerprint{1}
	record := storelease.Record{Holder: "other", Position: storepos.At(0, 3), Barred: map[string]time.Duration{fingerprint.String(): 20 * time.Second}}
	now := clock.Now()
	for _, step := range []struct {
		readAt time.Time
		want   poison.Status
	}{
		{now.Add(-30 * time.Second), poison.StatusOnTrial},
		{now, poison.StatusOnTrial},
	} {
		node.leader.receiveLease(step.readAt, step.readAt, record)
		if got := node.suspects.Status(fingerprint); got != step.want {
			t.Errorf("a lease first read %v ago, and now: status %v, want %v", now.Sub(step.readAt), got, step.want)
		}
	}
	record.Position = storepos.At(0, 4)
	node.leader.receiveLease(now, now, record)
	if got := node.suspects.Status(fingerprint); got != poison.StatusBarred {
		t.Errorf("after a renewed lease: status %v, want it barred", got)
	}
}
