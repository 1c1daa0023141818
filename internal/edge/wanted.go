package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// standbyDemandPeriod is the interval at which demand is sent to potential next leaders in
	// fleets with several regions or many nodes, where the traffic is expensive.
	standbyDemandPeriod = time.Second
	// leaderDemandWindow is how long after its last change a count is sent to the leader, which
	// covers three datagrams. A leader that is new to this node is sent all counts of
	// demandWindow for as long.
	leaderDemandWindow = 3*gossipPeriod + gossipPeriod/2
)

// demandTargets returns the leader and the potential next leaders that demand is to be sent to
// now. p.mu must be held.
func (p *peers) demandTargets(now time.Time, nodes int) (leader, standbys []string) {
	standbys = p.roster.LeaderCandidates(now)
	if current := p.roster.Leader(now); current != nil {
		leader, standbys = standbys[:1:1], standbys[1:]
	}
	if nodes <= largeFleetNodes && !p.node.options.Topology.HasMultipleRegions() {
		return leader, standbys
	}
	if now.Sub(p.standbysSentAt) < standbyDemandPeriod {
		return leader, nil
	}
	p.standbysSentAt = now
	return leader, standbys
}

// demandWindowFor returns how long after its last change a count is sent to the leader.
func (p *peers) demandWindowFor(now time.Time, leader []string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(leader) > 0 && leader[0] != p.demandLeader {
		p.demandLeader, p.demandLeaderSince = leader[0], now
	}
	if now.Sub(p.demandLeaderSince) < demandWindow {
		return demandWindow
	}
	return leaderDemandWindow
}

// setDemand sets the demand of a datagram.
func (p *peers) setDemand(state *peerpb.NodeState, now time.Time, window time.Duration) {
	state.TellsWanted = true
	state.Wanted, state.WantedAtVersion = nil, nil
	for _, count := range p.recentDemand(now, window) {
		if count.SoftwareVersion != "" {
			state.WantedAtVersion = append(state.WantedAtVersion, count)
		} else {
			state.Wanted = append(state.Wanted, count)
		}
	}
}

// recentDemand returns the demand of this node's callers that changed within the window. It is
// sent only to the leader and potential next leaders: with hundreds of nodes it makes up most of
// a datagram.
func (p *peers) recentDemand(now time.Time, window time.Duration) []*peerpb.WantedCount {
	var demand []*peerpb.WantedCount
	p.node.dispatch.Do(func(core *dispatch.Core) {
		for _, count := range core.Demand(now.Add(-window)) {
			demand = append(demand, &peerpb.WantedCount{
				Service: count.Requirements.Service, Model: count.Requirements.Model, Adapter: count.Requirements.Adapter,
				Asked: uint64(count.Requests), Waiting: uint32(core.WaitingForCopies(now, count)), PromptTokens: uint64(count.PromptTokens),
				GoalMs: uint32(count.LatencyGoal.Milliseconds()), Regions: count.Requirements.Regions.Names(),
				SoftwareVersion: count.Requirements.SoftwareVersion,
			})
		}
	})
	return demand
}

// sendWaitingDemand immediately notifies the leader of requests that wait here.
func (p *peers) sendWaitingDemand() {
	now := clock.Now()
	p.mu.Lock()
	leader := p.roster.Leader(now)
	tooEarly := now.Sub(p.lastDemandSent) < minDemandInterval
	if !tooEarly {
		p.lastDemandSent = now
	}
	p.mu.Unlock()
	p.node.leader.post(func() {})
	if leader != nil && !tooEarly {
		state := p.state(now)
		p.setDemand(state, now, p.demandWindowFor(now, []string{leader.Address}))
		p.send(trafficDemand, []string{leader.Address}, state)
	}
}
