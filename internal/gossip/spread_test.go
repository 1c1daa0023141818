package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
)

var threeRegions = locality.NewMap(map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west", "w2": "west"})

// rosterWithNodes is the roster of a node in n1 that has heard from the given number of nodes per
// zone.
func rosterWithNodes(topology locality.Map, nodes map[string]int) *Roster {
	roster := New("self", nil, 1)
	roster.SetLocation("n1", topology)
	for zone, count := range nodes {
		for i := range count {
			observeNodeIn(roster, startTime, zone, i, 1)
		}
	}
	return roster
}

func addressIn(zone string, number int) string { return fmt.Sprintf("%s-%02d", zone, number) }

func observeNodeIn(roster *Roster, now time.Time, zone string, number int, sequence uint64) {
	observed := nodeState(addressIn(zone, number), 1, sequence)
	observed.Zone, observed.Strength = zone, 10
	roster.Observe(now, observed)
}

// deliveries counts how often the plan delivers to each node, assuming that the spreaders know the
// same nodes as this one.
func (p BroadcastPlan) deliveries(roster *Roster, now time.Time) map[string]int {
	count := make(map[string]int)
	for _, address := range p.Direct {
		count[address]++
	}
	for _, spreader := range p.Spreaders {
		count[spreader.Address]++
		for _, address := range roster.AddressesInZones(now, spreader.Zones) {
			if address != spreader.Address {
				count[address]++
			}
		}
		for _, target := range spreader.Targets {
			count[target.Address]++
			for _, address := range roster.AddressesInZones(now, []string{target.Zone}) {
				if address != target.Address {
					count[address]++
				}
			}
		}
	}
	return count
}

// TestSpreadReachesAllOnce in random fleets, including nodes that were silent for a while.
func TestSpreadReachesAllOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		nodes := make(map[string]int)
		for _, zone := range []string{"n1", "n2", "s1", "s2", "w1", "w2", "unknown"} {
			nodes[zone] = random.IntN(20)
		}
		roster := rosterWithNodes(threeRegions, nodes)
		now := startTime.Add(1200 * time.Millisecond)
		for zone, count := range nodes {
			for i := range count {
				if random.IntN(2) == 0 {
					observeNodeIn(roster, now, zone, i, 2)
				}
			}
		}
		plan := roster.PlanBroadcast(now)
		reached := plan.deliveries(roster, now)
		for _, peer := range roster.Alive(now) {
			if reached[peer.Address] != 1 {
				t.Fatalf("%s is reached %d times by %+v", peer.Address, reached[peer.Address], plan)
			}
		}
		for _, spreader := range plan.Spreaders {
			if at := spreader.Region; at != "" && threeRegions.Region(spreader.Zone) != at {
				t.Fatalf("%+v relays in a region that is not its own", spreader)
			}
		}
	}
}

// TestWhatCrossesARegionCrossesItOnce with 67 nodes in six zones of three regions.
func TestWhatCrossesARegionCrossesItOnce(t *testing.T) {
	nodes := map[string]int{"n1": 10, "n2": 11, "s1": 11, "s2": 12, "w1": 11, "w2": 11}
	roster := rosterWithNodes(threeRegions, nodes)
	plan := roster.PlanBroadcast(startTime)
	crossing := 0
	for _, address := range plan.Direct {
		if roster.DistanceTo(address) == locality.OtherRegion {
			crossing++
		}
	}
	if crossing != 0 || len(plan.Spreaders) != 2 {
		t.Errorf("%d nodes and %d spreaders of other regions are sent to, want 2 spreaders: %+v", crossing, len(plan.Spreaders), plan)
	}
}

// TestSilentSpreaderIsReplaced within a second of its last datagram, and the choice stays the same
// while others come and go.
func TestSilentSpreaderIsReplaced(t *testing.T) {
	roster := rosterWithNodes(threeRegions, map[string]int{"n1": 3, "s1": 8})
	spreader := func(now time.Time) string {
		plan := roster.PlanBroadcast(now)
		if len(plan.Spreaders) != 1 {
			t.Fatalf("spreaders %+v, want one", plan.Spreaders)
		}
		return plan.Spreaders[0].Address
	}
	first := spreader(startTime)
	now := startTime
	for sequence := uint64(2); now.Sub(startTime) < spreaderTimeout+200*time.Millisecond; sequence++ {
		now = now.Add(200 * time.Millisecond)
		for i := range 8 {
			if addressIn("s1", i) != first {
				observeNodeIn(roster, now, "s1", i, sequence)
			}
		}
		if got := spreader(now); (got == first) != (now.Sub(startTime) < spreaderTimeout) {
			t.Errorf("%v after the last datagram of %s, %s relays", now.Sub(startTime), first, got)
		}
	}
	second := spreader(now)
	observeNodeIn(roster, now, "s1", 20, 1)
	if got := spreader(now); got != second && got != addressIn("s1", 20) {
		t.Errorf("%s relays in place of %s after another node came", got, second)
	}
	if later := now.Add(spreaderTimeout + 200*time.Millisecond); len(roster.PlanBroadcast(later).Spreaders) != 0 || len(roster.PlanBroadcast(later).Direct) == 0 {
		t.Error("silent nodes are chosen to relay")
	}
}

// TestWeakAndLeavingNodesDoNotSendOn: they don't relay if a strong node is available.
func TestWeakAndLeavingNodesDoNotSendOn(t *testing.T) {
	for seed := range 20 {
		roster := rosterWithNodes(threeRegions, nil)
		strong := fmt.Sprint("s-strong-", seed)
		for i, strength := range []uint32{10, 4, 2, 10} {
			observed := nodeState(fmt.Sprint("s-", seed, "-", i), 1, 1)
			observed.Zone, observed.Strength = "s1", strength
			observed.Leaving = strength == 10
			roster.Observe(startTime, observed)
		}
		observed := nodeState(strong, 1, 1)
		observed.Zone, observed.Strength = "s1", 10
		roster.Observe(startTime, observed)
		if plan := roster.PlanBroadcast(startTime); len(plan.Spreaders) != 1 || plan.Spreaders[0].Address != strong {
			t.Fatalf("spreaders %+v, want %s", plan.Spreaders, strong)
		}
	}
}

// TestSmallFleetsSendToAll: small fleets and those without regions send to all nodes directly.
func TestSmallFleetsSendToAll(t *testing.T) {
	small := rosterWithNodes(threeRegions, map[string]int{"n1": 5, "n2": minNodesInZone - 1, "s1": minNodesInRegion - 1})
	if plan := small.PlanBroadcast(startTime); len(plan.Spreaders) != 0 || len(plan.Direct) != 5+minNodesInZone-1+minNodesInRegion-1 {
		t.Errorf("%+v", plan)
	}
	oneRegion := rosterWithNodes(locality.Map{}, map[string]int{"n1": 6, "n2": 6, "s1": 6})
	if plan := oneRegion.PlanBroadcast(startTime); len(plan.Spreaders) != 0 || len(plan.Direct) != 18 {
		t.Errorf("%+v", plan)
	}
}

// TestTargetsStayInTheRegion for the most part, and every node gets its turn.
func TestTargetsStayInTheRegion(t *testing.T) {
	nodes := map[string]int{"n1": 10, "n2": 11, "s1": 11, "s2": 12, "w1": 11, "w2": 11}
	cases := []struct {
		name     string
		topology locality.Map
		nodes    map[string]int
		far      int
	}{
		{"three regions", threeRegions, nodes, 2},
		{"no regions", locality.Map{}, nodes, 0},
		{"alone in its region", threeRegions, map[string]int{"s1": 20}, 6},
		{"few in its region", threeRegions, map[string]int{"n2": 2, "s1": 20}, 4},
	}
	for _, c := range cases {
		roster := rosterWithNodes(c.topology, c.nodes)
		seen := make(map[string]bool)
		for range 30 {
			targets := roster.Targets(startTime, 6)
			far := 0
			for _, address := range targets {
				seen[address] = true
				if roster.DistanceTo(address) == locality.OtherRegion {
					far++
				}
			}
			if far != c.far || len(targets) != 6 || len(slices.Compact(slices.Sorted(slices.Values(targets)))) != 6 {
				t.Errorf("%s: %d of %v are in other regions, want %d of 6", c.name, far, targets, c.far)
			}
		}
		if alive := len(roster.Alive(startTime)); len(seen) != alive {
			t.Errorf("%s: %d of %d nodes are sent to", c.name, len(seen), alive)
		}
	}
}

// TestNodesOfOtherRegionsLiveLonger because they are heard from less often.
func TestNodesOfOtherRegionsLiveLonger(t *testing.T) {
	roster := rosterWithNodes(threeRegions, map[string]int{"n1": 30, "s1": 30})
	count := func(after time.Duration) (near, far int) {
		for _, peer := range roster.Alive(startTime.Add(after)) {
			if roster.isInOtherRegion(peer) {
				far++
			} else {
				near++
			}
		}
		return near, far
	}
	if near, far := count(6 * time.Second); near != 0 || far != 30 {
		t.Errorf("after 6 s %d near and %d far nodes alive, want the far ones", near, far)
	}
	if near, far := count(10 * time.Second); near+far != 0 {
		t.Errorf("after 10 s %d near and %d far nodes alive, want none", near, far)
	}
}

// TestLargeOwnZoneIsSentOnTo: the number of messages that the leader sends does not grow with its
// zone.
func TestLargeOwnZoneIsSentOnTo(t *testing.T) {
	roster := rosterWithNodes(threeRegions, map[string]int{"n1": 50, "n2": 50, "s1": 50, "s2": 50})
	plan := roster.PlanBroadcast(startTime)
	if len(plan.Direct) != 0 || len(plan.Spreaders) != 3 {
		t.Errorf("%d nodes and %d spreaders are sent to, want one of each own zone and of the other region", len(plan.Direct), len(plan.Spreaders))
	}
}
