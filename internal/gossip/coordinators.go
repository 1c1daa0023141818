package gossip

import "time"

// Coordinator is a node that may assign tenant quotas.
type Coordinator struct {
	Address string
	// LastSeen is when the last datagram from it arrived.
	LastSeen time.Time
}

// Coordinators returns the nodes that may assign quotas, in order; the first one alive does it.
// They are the strongest machines, whether or not the store answers them. This node is among them
// unless it is leaving.
func (r *Roster) Coordinators(now time.Time, leaving bool) []Coordinator {
	var coordinators []Coordinator
	selfAdded := leaving
	for _, peer := range r.summarize(now).coordinators {
		if !selfAdded && !r.precedes(peer) {
			selfAdded = true
			coordinators = append(coordinators, Coordinator{Address: r.self, LastSeen: now})
		}
		coordinators = append(coordinators, Coordinator{Address: peer.Address, LastSeen: peer.LastSeen})
	}
	if !selfAdded {
		coordinators = append(coordinators, Coordinator{Address: r.self, LastSeen: now})
	}
	return coordinators[:min(len(coordinators), coordinatorCount)]
}

// NextCoordinator returns the node that precedes this one as coordinator and was heard from within silence, or
// "" if there is none. isSelf is true if this node is next: only those that may coordinate are, since the
// others hear from coordinators too rarely to tell that they are silent.
func (r *Roster) NextCoordinator(now time.Time, leaving bool, silence time.Duration) (address string, isSelf bool) {
	for _, coordinator := range r.Coordinators(now, leaving) {
		if coordinator.Address == r.self {
			return "", true
		}
		if now.Sub(coordinator.LastSeen) < silence {
			return coordinator.Address, false
		}
	}
	return "", false
}

// CountNodes returns how many nodes may share a budget and how many of them were heard from within
// freshTimeout, this one included. The second number is accurate only on a node that every other
// node sends to in each period.
func (r *Roster) CountNodes(now time.Time) (counted, fresh int) {
	current := r.summarize(now)
	// An address that never sent a datagram may be stale: candidates count only as long as this
	// node knows fewer nodes than candidates.
	return max(current.budgetNodes-current.candidates, 1+current.candidates), current.fresh
}
