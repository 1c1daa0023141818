package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// discoveryPeriod is how long after its start a node goes to meet others as it hears of
	// them; later the periodic datagrams do.
	discoveryPeriod = 2 * time.Second
	// maxGreetingsPerPeriod bounds the nodes that are greeted in one period: where all
	// start at once, the others hear soon enough from those.
	maxGreetingsPerPeriod = 24
)

// greet answers a node that has just started, and names the nodes that it needs to know
// first; and goes to meet at once those that a peer named, where this one has started.
// Without that nodes which start together know each other only after some seconds.
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
	// Only the leader answers to these, and hears them in the next period.
	greeting.ViewsDigests = nil
	for _, coordinator := range p.coordinators(now) {
		if len(greeting.Peers) < greetingCoordinators {
			greeting.Peers = append(greeting.Peers, coordinator.Address)
		}
	}
	p.send(trafficGossip, targets, greeting)
}

// greetingCoordinators is the number of nodes that a greeting names before others: those that
// give quotas, which are the strongest.
const greetingCoordinators = 3
