package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// standbyDemandPeriod is the time between two tellings of what is wanted to nodes that may
	// lead next, in fleets where bytes between regions, or many nodes, make it dear.
	standbyDemandPeriod = time.Second
	// leaderDemandWindow is how long a count is told the leader after its last change there:
	// in three datagrams. A leader that is new here is told all of wantedAge for as long.
	leaderDemandWindow = 3*gossipPeriod + gossipPeriod/2
)

// demandTargets are the leader and the nodes that may lead next, as far as they are to be told
// now what is wanted. The lock is held.
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

// demandWindowFor is how long after its last change a count is told the leader.
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

// recentDemand is what callers of this node ask for, as far as that changed lately. Only nodes that lead, or may next,
// are told: with hundreds of nodes it is most of a datagram.
func (p *peers) recentDemand(now time.Time, window time.Duration) []*peerpb.WantedCount {
	var demand []*peerpb.WantedCount
	p.node.dispatch.Do(func(core *dispatch.Core) {
		for _, count := range core.Demand(now.Add(-window)) {
			demand = append(demand, &peerpb.WantedCount{
				Service: count.Requirements.Service, Model: count.Requirements.Model, Adapter: count.Requirements.Adapter,
				Asked: uint64(count.Requests), Waiting: uint32(core.WaitingForCopies(now, count)), PromptTokens: uint64(count.PromptTokens),
				GoalMs: uint32(count.LatencyGoal.Milliseconds()), Regions: count.Requirements.Regions.Names(),
			})
		}
	})
	return demand
}

// sendWaitingDemand sends the leader at once what waits here.
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
		state.Wanted, state.TellsWanted = p.recentDemand(now, p.demandWindowFor(now, []string{leader.Address})), true
		p.send(trafficDemand, []string{leader.Address}, state)
	}
}
