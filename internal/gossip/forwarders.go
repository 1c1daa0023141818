package gossip

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// ForwardTarget says which peers may take a request that this node cannot send to a server.
type ForwardTarget struct {
	Service string
	// Regions are the regions in which the peer may be.
	Regions locality.Regions
	// Exclude are the addresses of peers that did not take the request.
	Exclude []string
	// InFlight counts this node's requests at each peer, by address.
	InFlight map[string]int
}

// PickForwarder chooses a peer that reaches the servers of the service: of two random ones in the
// nearest region that has any, the one with fewer of this node's requests for its strength.
func (r *Roster) PickForwarder(now time.Time, target ForwardTarget) (address string, ok bool) {
	current := r.summarize(now)
	for _, peers := range [][]*Peer{current.near, current.far} {
		eligible := r.filterForwarders(now, peers, target)
		if len(eligible) == 0 {
			continue
		}
		first, second := eligible[r.random.IntN(len(eligible))], eligible[r.random.IntN(len(eligible))]
		if target.cost(second) < target.cost(first) {
			first = second
		}
		return first.Address, true
	}
	return "", false
}

// filterForwarders returns the peers that may take the request. In a small fleet, where each node
// hears of every other several times a second, those that were silent of late come last.
func (r *Roster) filterForwarders(now time.Time, peers []*Peer, target ForwardTarget) (eligible []*Peer) {
	var silent []*Peer
	for _, peer := range peers {
		switch {
		case !peer.AcceptsForwarded || peer.Leaving || slices.Contains(peer.Unreachable, target.Service):
		case slices.Contains(target.Exclude, peer.Address) || !target.Regions.Allows(r.topology.Region(peer.Zone)):
		case now.Sub(peer.LastSeen) > freshTimeout:
			silent = append(silent, peer)
		default:
			eligible = append(eligible, peer)
		}
	}
	if len(eligible) == 0 {
		return silent
	}
	return eligible
}

// cost is the share of a peer's strength that this node's requests take, with one more.
func (t ForwardTarget) cost(peer *Peer) float64 {
	return float64(t.InFlight[peer.Address]+1) / float64(max(1, peer.Strength))
}

// HasOrderingPeer reports whether a living node could lead that reaches the servers with models.
func (r *Roster) HasOrderingPeer(now time.Time) bool {
	return slices.ContainsFunc(r.summarize(now).alive, func(peer *Peer) bool {
		return !peer.CannotOrder && !peer.Leaving && !peer.StoreFailing
	})
}
