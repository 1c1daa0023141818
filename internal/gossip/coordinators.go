package gossip

import "time"

// Coordinator is a node that may give the tenants' quotas.
type Coordinator struct {
	Address string
	// LastSeen is when it was last heard from.
	LastSeen time.Time
}

// Coordinators are the nodes that give quotas, the first that lives doing it: the strongest
// machines, whether or not the store answers them. This node is among them unless it
// is leaving.
func (r *Roster) Coordinators(now time.Time, leaving bool) []Coordinator {
	var coordinators []Coordinator
	placed := leaving
	for _, peer := range r.summarize(now).coordinators {
		if !placed && !r.precedes(peer) {
			placed = true
			coordinators = append(coordinators, Coordinator{Address: r.self, LastSeen: now})
		}
		coordinators = append(coordinators, Coordinator{Address: peer.Address, LastSeen: peer.LastSeen})
	}
	if !placed {
		coordinators = append(coordinators, Coordinator{Address: r.self, LastSeen: now})
	}
	return coordinators[:min(len(coordinators), coordinatorCount)]
}

// CountNodes is the number of nodes that may share a budget, and of those among them that
// were heard from lately, this one included. The latter is right at a node that all
// speak to in each period.
func (r *Roster) CountNodes(now time.Time) (counted, fresh int) {
	known := r.summarize(now)
	// An address that nobody was heard from at may be stale: it counts only where a
	// node knows hardly anybody yet.
	return max(known.counted-known.hinted, 1+known.hinted), known.fresh
}
