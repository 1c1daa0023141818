package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// One in crossRegionShare of the nodes that a node sends to in a period is in another region, if
// its own region has enough nodes: traffic between regions is the most expensive, and what one node
// of a region received the others receive from it a period later.
const crossRegionShare = 3

// crossRegionTimeoutPerNode replaces livenessTimeoutPerNode for nodes of other regions: two rounds
// of those that send to them so rarely.
const crossRegionTimeoutPerNode = 150 * time.Millisecond

// targetRound is the rest of a round over all nodes, shuffled anew for each round: every node gets
// its turn, so each is sent to within a bounded time.
type targetRound struct{ pending []string }

// next returns up to limit of the living nodes, which are sorted by address.
func (t *targetRound) next(random *rand.Rand, alive []*Peer, limit int) []string {
	limit = min(limit, len(alive))
	targets := make([]string, 0, limit)
	for len(targets) < limit {
		if len(t.pending) == 0 {
			t.refill(random, alive)
		}
		next := t.pending[0]
		t.pending = t.pending[1:]
		_, isAlive := slices.BinarySearchFunc(alive, next, compareAddress)
		if isAlive && !slices.Contains(targets, next) {
			targets = append(targets, next)
		}
	}
	return targets
}

// refill starts a round over all living nodes.
func (t *targetRound) refill(random *rand.Rand, alive []*Peer) {
	for _, peer := range alive {
		t.pending = append(t.pending, peer.Address)
	}
	random.Shuffle(len(t.pending), func(i, j int) { t.pending[i], t.pending[j] = t.pending[j], t.pending[i] })
}

// Targets returns up to limit addresses to send to, most of them in this node's region. A few
// silent nodes and candidate addresses are added, so that partitions find each other again after a
// split.
func (r *Roster) Targets(now time.Time, limit int) []string {
	current := r.summarize(now)
	farLimit := 0
	if len(current.far) > 0 {
		farLimit = limit - min(len(current.near), limit-max(1, limit/crossRegionShare))
	}
	targets := r.nearRound.next(r.random, current.near, limit-farLimit)
	targets = append(targets, r.farRound.next(r.random, current.far, farLimit)...)
	return append(targets, r.silentTargets(now)...)
}

// isInOtherRegion reports whether the node is known to be in another region.
func (r *Roster) isInOtherRegion(peer *Peer) bool {
	return peer.Zone != "" && r.topology.Distance(r.zone, peer.Zone) == locality.OtherRegion
}

// livenessTimeoutOf returns how long the node counts as alive after its last datagram.
func (r *Roster) livenessTimeoutOf(peer *Peer) time.Duration {
	timeout := r.regionLivenessTimeout()
	if r.isInOtherRegion(peer) {
		timeout += time.Duration(max(0, len(r.peers)-fullFanoutNodes)) * (crossRegionTimeoutPerNode - livenessTimeoutPerNode)
	}
	return timeout
}

// budgetTimeoutOf returns how long the node counts among those that share a budget.
func (r *Roster) budgetTimeoutOf(peer *Peer) time.Duration {
	return max(budgetTimeout, r.livenessTimeoutOf(peer))
}

// minCrossRegionForwarders is the least number of nodes of a region that forward an added server to
// other regions; in a large region one in crossRegionForwarderShare nodes does.
const (
	minCrossRegionForwarders  = 8
	crossRegionForwarderShare = 4
)

// CrossRegionFilter selects the changes that this node forwards to other regions. The nodes of its
// own region are counted once for all changes of a period.
type CrossRegionFilter struct {
	self      string
	nearNodes int
}

// CrossRegionFilter counts the nodes of this region.
func (r *Roster) CrossRegionFilter() CrossRegionFilter {
	filter := CrossRegionFilter{self: r.self, nearNodes: 1}
	for _, peer := range r.peersByAddress {
		if !r.isInOtherRegion(peer) {
			filter.nearNodes++
		}
	}
	return filter
}

// ShouldForward reports whether this node is one of those of its region that forward the change
// with the name, by a hash that differs from node to node.
func (f CrossRegionFilter) ShouldForward(name string) bool {
	return xxhash.Sum64String(name+"/"+f.self)%uint64(f.nearNodes) < uint64(max(minCrossRegionForwarders, f.nearNodes/crossRegionForwarderShare))
}

// RegionRank returns the number of living nodes of this node's region that precede it.
func (r *Roster) RegionRank(now time.Time) int {
	rank := 0
	for _, peer := range r.summarize(now).near {
		if r.precedes(peer) {
			rank++
		}
	}
	return rank
}
