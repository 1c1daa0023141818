package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// meetsFor is how long after its start a node goes to meet others as it hears of
	// them; later the periodic datagrams do.
	meetsFor = 2 * time.Second
	// greetingsPerPeriod bounds the nodes that are greeted in one period: where all
	// start at once, the others hear soon enough from those.
	greetingsPerPeriod = 24
)

// greet answers a node that has just started, and names the nodes that it needs to know
// first; and goes to meet at once those that a peer named, where this one has started.
// Without that nodes which start together know each other only after some seconds.
func (p *peers) greet(now time.Time, state *peerpb.NodeState, isNew bool) {
	var meet []string
	p.mu.Lock()
	if isNew && p.greetings < greetingsPerPeriod {
		p.greetings++
		meet = append(meet, state.Address)
	}
	if now.Sub(p.node.started) < meetsFor {
		for _, address := range state.Peers[:min(len(state.Peers), coordinatorsNamed)] {
			if !p.roster.HasHeardFrom(address) {
				meet = append(meet, address)
			}
		}
	}
	p.mu.Unlock()
	if len(meet) == 0 {
		return
	}
	greeting := p.state(now)
	greeting.Crashes = p.node.suspects.greeting(now)
	// Only the leader answers to these, and hears them in the next period.
	greeting.ViewsDigests = nil
	for _, coordinator := range p.coordinators(now) {
		if len(greeting.Peers) < coordinatorsNamed {
			greeting.Peers = append(greeting.Peers, coordinator.Address)
		}
	}
	p.send(trafficGossip, meet, greeting)
}

// coordinatorsNamed is the number of nodes that a greeting names before others: those that
// give quotas, which are the strongest.
const coordinatorsNamed = 3
