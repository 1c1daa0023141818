package gossip

import (
	"slices"
	"time"
)

// A summary is reused for summaryTTL plus summaryTTLPerNode for each node. It is read for every
// datagram, some fifty times a second, while it changes only with the liveness of nodes, which is
// known to within a second at best, and later the more nodes there are.
const (
	summaryTTL        = 250 * time.Millisecond
	summaryTTLPerNode = 250 * time.Microsecond
)

// summary is computed over all nodes at once. The zero value counts as expired.
type summary struct {
	computedAt time.Time
	// alive are the nodes heard from recently, sorted by address.
	alive []*Peer
	// near are those of them in this node's region, far those in others.
	near, far []*Peer
	// leaders are those of them that hold the lease or held it recently.
	leaders []*Peer
	// budgetNodes is the number of nodes that may share a budget, this one included.
	budgetNodes int
	// candidates is how many of budgetNodes are addresses that never sent a datagram.
	candidates int
	// rank is the number of nodes that precede this one as candidates for leader.
	rank int
	// sentinelRank is the number of nodes that precede this one in watching the store for all.
	sentinelRank int
	// maxStrength is the greatest strength of a node that could lead.
	maxStrength uint32
	// nextLeaders are the nodes next in line to lead, without this one.
	nextLeaders []*Peer
	// fresh is the number of nodes heard from within freshTimeout, this one included.
	fresh int
	// coordinators are the nodes that may assign quotas, in order, without this one.
	coordinators []*Peer
}

// summaryInputs are the fields of a peer that a summary depends on.
type summaryInputs struct {
	term         int64
	storeFailing bool
	leaving      bool
	strength     uint32
	zone         string
	cannotOrder  bool
}

func (p *Peer) summaryInputs() summaryInputs {
	return summaryInputs{term: p.Term, storeFailing: p.StoreFailing, leaving: p.Leaving, strength: p.Strength, zone: p.Zone, cannotOrder: p.CannotOrder}
}

// summarize returns the summary as of now, cached if recent enough.
func (r *Roster) summarize(now time.Time) *summary {
	ttl := summaryTTL + time.Duration(len(r.peersByAddress))*summaryTTLPerNode
	if age := now.Sub(r.summary.computedAt); !r.summary.computedAt.IsZero() && age >= 0 && age < ttl {
		return &r.summary
	}
	computed := summary{computedAt: now, budgetNodes: 1 + len(r.candidates), candidates: len(r.candidates), fresh: 1}
	for _, peer := range r.peersByAddress {
		age := now.Sub(peer.LastSeen)
		window := r.livenessTimeoutOf(peer)
		if age < max(budgetTimeout, window) {
			computed.budgetNodes++
		}
		if age < freshTimeout {
			computed.fresh++
		}
		if age < window {
			computed.add(r, peer)
		}
	}
	r.summary = computed
	return &r.summary
}

// add includes a living node.
func (s *summary) add(roster *Roster, peer *Peer) {
	s.alive = append(s.alive, peer)
	if roster.isInOtherRegion(peer) {
		s.far = append(s.far, peer)
	} else {
		s.near = append(s.near, peer)
	}
	if peer.Term > 0 {
		s.leaders = append(s.leaders, peer)
	}
	if peer.Leaving {
		return
	}
	s.coordinators = insertByStrength(s.coordinators, peer, coordinatorCount)
	precedes := roster.precedes(peer)
	// Nodes that reach no server leave the lease to those that do, if there are any.
	mayLead := !peer.CannotOrder || roster.cannotOrder
	if precedes && mayLead {
		s.rank++
	}
	if peer.StoreFailing {
		return
	}
	if precedes || peer.Term > 0 {
		s.sentinelRank++
	}
	if !mayLead {
		return
	}
	s.maxStrength = max(s.maxStrength, peer.Strength)
	s.nextLeaders = insertByStrength(s.nextLeaders, peer, standbys+1)
}

const (
	// standbys is the number of nodes besides the leader that receive all the information a leader
	// does, so that one of them can take over at once.
	standbys = 2
	// freshTimeout is how long after its last datagram a node that sends in each period counts as
	// reachable: four periods.
	freshTimeout = 800 * time.Millisecond
	// coordinatorCount is the number of nodes that may assign quotas, one taking over from the
	// other.
	coordinatorCount = 3
)

// insertByStrength inserts a node into a list of the strongest, of which limit are kept. Nodes
// arrive sorted by address, so of two equally strong ones the lower address stays first.
func insertByStrength(strongest []*Peer, peer *Peer, limit int) []*Peer {
	at := len(strongest)
	for at > 0 && strongest[at-1].Strength < peer.Strength {
		at--
	}
	if at >= limit {
		return strongest
	}
	strongest = slices.Insert(strongest, at, peer)
	return strongest[:min(len(strongest), limit)]
}
