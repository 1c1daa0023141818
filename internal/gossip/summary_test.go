package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func peerState(address string, strength uint32, sequence uint64) *peerpb.NodeState {
	observed := nodeState(address, 1, sequence)
	observed.Strength = strength
	return observed
}

// TestLeaderCandidatesAreTheLeaderAndTheNextOnes: only these nodes receive the requests of all
// nodes.
func TestLeaderCandidatesAreTheLeaderAndTheNextOnes(t *testing.T) {
	roster := New("m", nil, 1)
	for i, strength := range []uint32{40, 800, 40, 800, 800, 800} {
		roster.Observe(startTime, peerState(fmt.Sprint("n", i), strength, 1))
	}
	if diff := cmp.Diff([]string{"n1", "n3"}, roster.LeaderCandidates(startTime)); diff != "" {
		t.Errorf("without a leader: %s", diff)
	}
	leading := peerState("n3", 800, 2)
	leading.Leader = &peerpb.LeaderState{Term: 4}
	roster.Observe(startTime, leading)
	if diff := cmp.Diff([]string{"n3", "n1", "n4"}, roster.LeaderCandidates(startTime)); diff != "" {
		t.Errorf("with a leader: %s", diff)
	}
	leaving := peerState("n1", 800, 2)
	leaving.Leaving = true
	roster.Observe(startTime, leaving)
	if diff := cmp.Diff([]string{"n3", "n4", "n5"}, roster.LeaderCandidates(startTime)); diff != "" {
		t.Errorf("with a leaving node: %s", diff)
	}
}

// TestSummaryFollowsWhatIsHeard: a cached summary is dropped once a node comes back or reports a
// changed state.
func TestSummaryFollowsWhatIsHeard(t *testing.T) {
	roster := New("m", nil, 1)
	roster.SetStrength(40)
	roster.Observe(startTime, peerState("a", 40, 1))
	if rank := roster.Rank(startTime); rank != 1 {
		t.Fatalf("rank %d, want 1", rank)
	}
	now := startTime.Add(time.Millisecond)
	roster.Observe(now, peerState("b", 800, 1))
	if rank := roster.Rank(now); rank != 2 || !roster.HasMuchStrongerPeer(now) {
		t.Errorf("rank %d, want 2, right after a node appeared", rank)
	}
	failing := peerState("b", 800, 2)
	failing.StoreFailing = true
	roster.Observe(now, failing)
	if roster.HasMuchStrongerPeer(now) {
		t.Error("a node cut off from the store still counts as one that could lead")
	}
	later := startTime.Add(baseLivenessTimeout + summaryTTL)
	if alive := roster.Alive(later); len(alive) != 0 {
		t.Errorf("%d alive after silence", len(alive))
	}
	roster.Observe(later, peerState("a", 40, 2))
	if alive := roster.Alive(later); len(alive) != 1 {
		t.Errorf("%d alive right after a silent node's datagram, want 1", len(alive))
	}
}

// TestTargetsOfNodesThatJustFellSilent: a cached summary may still list them.
func TestTargetsOfNodesThatJustFellSilent(t *testing.T) {
	roster := New("m", nil, 1)
	for i := range 4 {
		roster.Observe(startTime, nodeState(fmt.Sprint("n", i), 1, 1))
	}
	roster.Alive(startTime.Add(baseLivenessTimeout - summaryTTL/2))
	if targets := roster.Targets(startTime.Add(baseLivenessTimeout+summaryTTL/4), 8); len(targets) < 4 {
		t.Errorf("targets %v, want all four", targets)
	}
}

// TestCandidatesExpire: an address named by a peer at which no node answers is tried for a while; a
// seed is tried indefinitely.
func TestCandidatesExpire(t *testing.T) {
	roster := New("m", []string{"seed"}, 1)
	roster.AddCandidates(startTime, []string{"m", "gone"})
	if targets := roster.Targets(startTime, 8); len(targets) != 2 {
		t.Errorf("targets %v, want the seed and the address named", targets)
	}
	if targets := roster.Targets(startTime.Add(candidateRetention+time.Second), 8); len(targets) != 1 || targets[0] != "seed" {
		t.Errorf("targets %v after a while, want the seed", targets)
	}
}
