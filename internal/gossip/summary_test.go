package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func peerOf(address string, strength uint32, sequence uint64) *peerpb.NodeState {
	told := state(address, 1, sequence)
	told.Strength = strength
	return told
}

// TestDecidersAreTheLeaderAndTheNextOnes: only they are told all that nodes want.
func TestDecidersAreTheLeaderAndTheNextOnes(t *testing.T) {
	roster := New("m", nil, 1)
	for i, strength := range []uint32{40, 800, 40, 800, 800, 800} {
		roster.Observe(begin, peerOf(fmt.Sprint("n", i), strength, 1))
	}
	if diff := cmp.Diff([]string{"n1", "n3"}, roster.LeaderCandidates(begin)); diff != "" {
		t.Errorf("without a leader: %s", diff)
	}
	leading := peerOf("n3", 800, 2)
	leading.Leader = &peerpb.LeaderState{Term: 4}
	roster.Observe(begin, leading)
	if diff := cmp.Diff([]string{"n3", "n1", "n4"}, roster.LeaderCandidates(begin)); diff != "" {
		t.Errorf("with a leader: %s", diff)
	}
	leaving := peerOf("n1", 800, 2)
	leaving.Leaving = true
	roster.Observe(begin, leaving)
	if diff := cmp.Diff([]string{"n3", "n4", "n5"}, roster.LeaderCandidates(begin)); diff != "" {
		t.Errorf("a node that leaves: %s", diff)
	}
}

// TestSummaryFollowsWhatIsHeard: it is used for a while, but not once a node came
// back or says something else of itself.
func TestSummaryFollowsWhatIsHeard(t *testing.T) {
	roster := New("m", nil, 1)
	roster.SetStrength(40)
	roster.Observe(begin, peerOf("a", 40, 1))
	if rank := roster.Rank(begin); rank != 1 {
		t.Fatalf("rank %d, want 1", rank)
	}
	now := begin.Add(time.Millisecond)
	roster.Observe(now, peerOf("b", 800, 1))
	if rank := roster.Rank(now); rank != 2 || !roster.HasMuchStrongerPeer(now) {
		t.Errorf("rank %d, want 2, at once after a node came", rank)
	}
	failing := peerOf("b", 800, 2)
	failing.StoreFailing = true
	roster.Observe(now, failing)
	if roster.HasMuchStrongerPeer(now) {
		t.Error("a node cut from the store still counts as one that could lead")
	}
	later := begin.Add(aliveTime + summaryAge)
	if alive := roster.Alive(later); len(alive) != 0 {
		t.Errorf("%d alive after silence", len(alive))
	}
	roster.Observe(later, peerOf("a", 40, 2))
	if alive := roster.Alive(later); len(alive) != 1 {
		t.Errorf("%d alive at once after a silent node spoke, want 1", len(alive))
	}
}

// TestTargetsOfNodesThatJustFellSilent: a summary may still name them.
func TestTargetsOfNodesThatJustFellSilent(t *testing.T) {
	roster := New("m", nil, 1)
	for i := range 4 {
		roster.Observe(begin, state(fmt.Sprint("n", i), 1, 1))
	}
	roster.Alive(begin.Add(aliveTime - summaryAge/2))
	if targets := roster.Targets(begin.Add(aliveTime+summaryAge/4), 8); len(targets) < 4 {
		t.Errorf("targets %v, want all four", targets)
	}
}

// TestHintsEnd: an address that a peer named and where nobody answers is tried for a
// while; a seed for good.
func TestHintsEnd(t *testing.T) {
	roster := New("m", []string{"seed"}, 1)
	roster.AddCandidates(begin, []string{"m", "gone"})
	if targets := roster.Targets(begin, 8); len(targets) != 2 {
		t.Errorf("targets %v, want the seed and the address named", targets)
	}
	if targets := roster.Targets(begin.Add(hintTries+time.Second), 8); len(targets) != 1 || targets[0] != "seed" {
		t.Errorf("targets %v after a while, want the seed", targets)
	}
}
