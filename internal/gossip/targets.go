package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Of the nodes that a node speaks to in a period one in farShare lies in another region,
// where its own has enough: bytes between regions are the dearest, and what one node of a
// region has heard the others hear from it a period later.
const farShare = 3

// farTime is by how much longer a node of another region is taken to live, for each node
// that there is, in place of rareTime: two turns of those that speak to it so rarely.
const farTime = 150 * time.Millisecond

// turn is the rest of a round over nodes, in an order drawn anew for each round: all
// nodes come in turn, so that each is sent to within a known time.
type turn struct{ rest []string }

// next returns up to most of the living nodes, by address.
func (t *turn) next(random *rand.Rand, living []*Peer, most int) []string {
	most = min(most, len(living))
	targets := make([]string, 0, most)
	for len(targets) < most {
		if len(t.rest) == 0 {
			t.draw(random, living)
		}
		next := t.rest[0]
		t.rest = t.rest[1:]
		_, isAlive := slices.BinarySearchFunc(living, next, byAddress)
		if isAlive && !slices.Contains(targets, next) {
			targets = append(targets, next)
		}
	}
	return targets
}

// draw begins a round over all living nodes.
func (t *turn) draw(random *rand.Rand, living []*Peer) {
	for _, peer := range living {
		t.rest = append(t.rest, peer.Address)
	}
	random.Shuffle(len(t.rest), func(i, j int) { t.rest[i], t.rest[j] = t.rest[j], t.rest[i] })
}

// Targets are up to most addresses to send to, most of them in this node's region. Nodes
// that are silent and addresses without a known node are added now and then, so that cut
// parts find each other again.
func (r *Roster) Targets(now time.Time, most int) []string {
	living := r.summarize(now)
	toFar := 0
	if len(living.far) > 0 {
		toFar = most - min(len(living.near), most-max(1, most/farShare))
	}
	targets := r.near.next(r.random, living.near, most-toFar)
	targets = append(targets, r.far.next(r.random, living.far, toFar)...)
	return append(targets, r.silent(now)...)
}

// isFar reports whether the node is in another region, as far as that is known.
func (r *Roster) isFar(peer *Peer) bool {
	return peer.Zone != "" && r.places.Distance(r.zone, peer.Zone) == locality.OtherRegion
}

// windowOf is how long the node is alive after its last datagram.
func (r *Roster) windowOf(peer *Peer) time.Duration {
	window := r.aliveWindow()
	if r.isFar(peer) {
		window += time.Duration(max(0, len(r.peers)-heardByAll)) * (farTime - rareTime)
	}
	return window
}

// countedFor is how long the node counts among those that share a budget.
func (r *Roster) countedFor(peer *Peer) time.Duration { return max(countedTime, r.windowOf(peer)) }

// farTellers is the least number of nodes of a region that tell other regions of a server
// that comes, and farTellersShare the part of them that does in a large one.
const (
	farTellers      = 8
	farTellersShare = 4
)

// CrossRegionFilter says of what this node tells other regions. The nodes of its own are counted
// once for all that is told in a period.
type CrossRegionFilter struct {
	self string
	near int
}

// CrossRegionFilter counts the nodes of this region.
func (r *Roster) CrossRegionFilter() CrossRegionFilter {
	teller := CrossRegionFilter{self: r.self, near: 1}
	for _, peer := range r.order {
		if !r.isFar(peer) {
			teller.near++
		}
	}
	return teller
}

// ShouldForward reports whether this node is one of those of its region that tell others of what
// has the name, by a number that each draws for itself.
func (f CrossRegionFilter) ShouldForward(name string) bool {
	return xxhash.Sum64String(name+"/"+f.self)%uint64(f.near) < uint64(max(farTellers, f.near/farTellersShare))
}

// RegionRank is the number of living nodes of this node's region that come before it.
func (r *Roster) RegionRank(now time.Time) int {
	rank := 0
	for _, peer := range r.summarize(now).near {
		if r.precedes(peer) {
			rank++
		}
	}
	return rank
}
