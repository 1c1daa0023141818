package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// discoveryPeriod is how long after its start a node contacts others as soon as it learns of
	// them. Later the periodic datagrams suffice.
	discoveryPeriod = 2 * time.Second
	// maxGreetingsPerPeriod bounds the nodes that are greeted in one gossip period. When all
	// nodes start at once, the remaining ones hear from the greeted nodes soon enough.
	maxGreetingsPerPeriod = 24
)

// greet replies to a node that has just started and names the nodes that it needs to know first.
// If this node has just started itself, it also contacts the nodes that the peer named. Without
// greetings, nodes that start together take several seconds to discover each other.
func (p *peers) greet(now time.Time, state *peerpb.NodeState, isNew bool) {
	var targets []string
	p.mu.Lock()
	if isNew && p.greetings < maxGreetingsPerPeriod {
		p.greetings++
		targets = append(targets, state.Address)
	}
	if now.Sub(p.node.started) < discoveryPeriod {
		for _, address := range state.Peers[:min(len(state.Peers), greetingCoordinators)] {
			if !p.roster.HasHeardFrom(address) {
				targets = append(targets, address)
			}
		}
	}
	p.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	greeting := p.state(now)
	greeting.Crashes = p.node.suspects.greetingReports(now)
	// Only the leader answers view digests, and it receives them in the next period.
	greeting.ViewsDigests = nil
	for _, coordinator := range p.coordinators(now) {
		if len(greeting.Peers) < greetingCoordinators {
			greeting.Peers = append(greeting.Peers, coordinator.Address)
		}
	}
	p.send(trafficGossip, targets, greeting)
}

// greetingCoordinators is the number of quota coordinators (the strongest nodes) that a greeting
// names before other nodes.
const greetingCoordinators = 3
