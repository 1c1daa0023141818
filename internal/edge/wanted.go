package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// standbyPeriod is the time between two tellings of what is wanted to nodes that may
	// lead next, in fleets where bytes between regions, or many nodes, make it dear.
	standbyPeriod = time.Second
	// toldLeaderAge is how long a count is told the leader after its last change there:
	// in three datagrams. A leader that is new here is told all of wantedAge for as long.
	toldLeaderAge = 3*gossipPeriod + gossipPeriod/2
)

// deciders are the leader and the nodes that may lead next, as far as they are to be told
// now what is wanted. The lock is held.
func (p *peers) deciders(now time.Time, nodes int) (leader, standbys []string) {
	standbys = p.roster.LeaderCandidates(now)
	if known := p.roster.Leader(now); known != nil {
		leader, standbys = standbys[:1:1], standbys[1:]
	}
	if nodes <= manyNodes && !p.node.options.Topology.HasMultipleRegions() {
		return leader, standbys
	}
	if now.Sub(p.standbysTold) < standbyPeriod {
		return leader, nil
	}
	p.standbysTold = now
	return leader, standbys
}

// leaderAge is how long after its last change a count is told the leader.
func (p *peers) leaderAge(now time.Time, leader []string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(leader) > 0 && leader[0] != p.toldLeader {
		p.toldLeader, p.toldLeaderFrom = leader[0], now
	}
	if now.Sub(p.toldLeaderFrom) < wantedAge {
		return wantedAge
	}
	return toldLeaderAge
}

// wanted is what callers of this node ask for, as far as that changed lately. Only nodes that lead, or may next,
// are told: with hundreds of nodes it is most of a datagram.
func (p *peers) wanted(now time.Time, age time.Duration) []*peerpb.WantedCount {
	var wanted []*peerpb.WantedCount
	p.node.dispatch.Do(func(core *dispatch.Core) {
		for _, count := range core.Demand(now.Add(-age)) {
			wanted = append(wanted, &peerpb.WantedCount{
				Service: count.Requirements.Service, Model: count.Requirements.Model, Adapter: count.Requirements.Adapter,
				Asked: uint64(count.Requests), Waiting: uint32(core.WaitingForCopies(now, count)), PromptTokens: uint64(count.PromptTokens),
				GoalMs: uint32(count.LatencyGoal.Milliseconds()), Regions: count.Requirements.Regions.Names(),
			})
		}
	})
	return wanted
}

// tellWanted sends the leader at once what waits here.
func (p *peers) tellWanted() {
	now := clock.Now()
	p.mu.Lock()
	leader := p.roster.Leader(now)
	early := now.Sub(p.lastWant) < wantedPause
	if !early {
		p.lastWant = now
	}
	p.mu.Unlock()
	p.node.leader.post(func() {})
	if leader != nil && !early {
		state := p.state(now)
		state.Wanted, state.TellsWanted = p.wanted(now, p.leaderAge(now, []string{leader.Address})), true
		p.send(trafficWanted, []string{leader.Address}, state)
	}
}
