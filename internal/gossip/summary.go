package gossip

import (
	"slices"
	"time"
)

// summaryAge, and summaryShare for each node, are how long what was worked out of
// all nodes is used again. Nodes ask for it with each datagram, some fifty times a
// second, while it changes with the liveness of nodes, which is known to a second
// at best, and the later the more nodes there are.
const (
	summaryAge   = 250 * time.Millisecond
	summaryShare = 250 * time.Microsecond
)

// summary is what is worked out of all nodes at once. The zero value is out of
// date.
type summary struct {
	at time.Time
	// alive are the nodes that were heard from lately, by address.
	alive []*Peer
	// near are those of them in this node's region, and far those in others.
	near, far []*Peer
	// leaders are those of them that hold, or lately held, the lease.
	leaders []*Peer
	// counted is the number of nodes that may share a budget, this one included.
	counted int
	// hinted are addresses among them that nobody was heard from at yet.
	hinted int
	// rank is the number of nodes that come before this one as candidates.
	rank int
	// watching is the number of nodes that come before this one in watching the
	// store for all.
	watching int
	// strongest is the greatest strength of a node that could lead.
	strongest uint32
	// first are the nodes that lead next, beside this one.
	first []*Peer
	// fresh is the number of nodes heard from within freshTime, this one included.
	fresh int
	// coordinators are the nodes that give quotas, in their order, beside this one.
	coordinators []*Peer
}

// standing is what of a node counts in a summary.
type standing struct {
	term         int64
	storeFailing bool
	leaving      bool
	strength     uint32
	zone         string
}

func (p *Peer) standing() standing {
	return standing{term: p.Term, storeFailing: p.StoreFailing, leaving: p.Leaving, strength: p.Strength, zone: p.Zone}
}

// summarize returns the summary as of now.
func (r *Roster) summarize(now time.Time) *summary {
	kept := summaryAge + time.Duration(len(r.order))*summaryShare
	if age := now.Sub(r.summary.at); !r.summary.at.IsZero() && age >= 0 && age < kept {
		return &r.summary
	}
	made := summary{at: now, counted: 1 + len(r.hints), hinted: len(r.hints), fresh: 1}
	for _, peer := range r.order {
		age := now.Sub(peer.LastSeen)
		window := r.windowOf(peer)
		if age < max(countedTime, window) {
			made.counted++
		}
		if age < freshTime {
			made.fresh++
		}
		if age < window {
			made.add(r, peer)
		}
	}
	r.summary = made
	return &r.summary
}

// add takes a living node.
func (s *summary) add(roster *Roster, peer *Peer) {
	s.alive = append(s.alive, peer)
	if roster.isFar(peer) {
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
	if precedes {
		s.rank++
	}
	if peer.StoreFailing {
		return
	}
	if precedes || peer.Term > 0 {
		s.watching++
	}
	s.strongest = max(s.strongest, peer.Strength)
	s.first = insertByStrength(s.first, peer, standbys+1)
}

const (
	// standbys is the number of nodes beside the leader that are told all that a
	// leader is, so that one of them can go on at once.
	standbys = 2
	// freshTime is how long after its last word a node counts as one that can be
	// heard, where it speaks in each period: four of these.
	freshTime = 800 * time.Millisecond
	// coordinatorCount is the number of nodes that may give quotas, one after the other.
	coordinatorCount = 3
)

// insertByStrength puts a node into a list of the strongest, of which most are kept;
// nodes come by address, and the first of two that are as strong stays before the other.
func insertByStrength(strongest []*Peer, peer *Peer, most int) []*Peer {
	at := len(strongest)
	for at > 0 && strongest[at-1].Strength < peer.Strength {
		at--
	}
	if at >= most {
		return strongest
	}
	strongest = slices.Insert(strongest, at, peer)
	return strongest[:min(len(strongest), most)]
}
