package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// viewsSilence is how long a node hears no views of a leader that lives until it asks for
// them: who sends them on in its zone may not reach it.
const viewsSilence = 1500 * time.Millisecond

// spreadPlan is how what all nodes need to hear goes out from this node, with a line in
// the log where another node sends on in some region.
func (p *peers) spreadPlan(now time.Time) gossip.BroadcastPlan {
	p.mu.Lock()
	plan := p.roster.PlanBroadcast(now)
	changed := p.noteSpreaders(plan)
	p.mu.Unlock()
	for _, spreader := range changed {
		p.node.options.Logger.Info().Str("region", spreader.Region).Str("zone", spreader.Zone).
			Str("address", spreader.Address).Int("zones", len(spreader.Zones)+len(spreader.Targets)).Msg("spreader")
	}
	return plan
}

// noteSpreaders returns the spreaders that another one was before. The lock is held.
func (p *peers) noteSpreaders(plan gossip.BroadcastPlan) []gossip.Spreader {
	var changed []gossip.Spreader
	for _, spreader := range plan.Spreaders {
		place := spreadPlace(spreader)
		if p.spreaders[place] != spreader.Address {
			p.spreaders[place] = spreader.Address
			changed = append(changed, spreader)
		}
	}
	return changed
}

// spreadPlace names what a spreader sends on in: a region, or a zone of this node's.
func spreadPlace(spreader gossip.Spreader) string {
	if spreader.Region != "" {
		return spreader.Region
	}
	return "zone " + spreader.Zone
}

// sendOn sends another node's datagram on. Who gets it takes it as that node's own.
func (p *peers) sendOn(now time.Time, state *peerpb.NodeState) {
	spread := state.Spread
	state.Spread = nil
	p.mu.Lock()
	plan := gossip.BroadcastPlan{Direct: p.roster.AddressesInZones(now, spread.Zones)}
	p.mu.Unlock()
	plan.Direct = without(plan.Direct, []string{state.Address})
	for _, target := range spread.Targets {
		plan.Spreaders = append(plan.Spreaders, gossip.Spreader{Address: target.Address, Zones: []string{target.Zone}})
	}
	p.writeSpread(trafficSpread, plan, state)
}

// takeLateViews takes the views of a datagram that a later one of its sender overtook:
// that one may have come straight, and this one over another node.
func (p *peers) takeLateViews(now time.Time, leader *peerpb.LeaderState) {
	if leader == nil || len(leader.Views) == 0 {
		return
	}
	p.node.dispatch.Do(func(core *dispatch.Core) { core.SetViews(now, leader.Term, viewsOf(leader.Views)) })
}

// hasSilentViews reports whether a leader lives, and its views did not come for a while.
// The lock is held.
func (p *peers) hasSilentViews(now time.Time) bool {
	leader := p.roster.Leader(now)
	term, _ := p.node.leader.standing()
	if term != 0 || leader == nil || leader.LeaseExpiredFor > 0 {
		p.viewsHeard = now
		return false
	}
	// A leader of many nodes tells them the more rarely.
	period := time.Duration(len(p.roster.Alive(now))) * publishCost
	return now.Sub(p.viewsHeard) > max(viewsSilence, 3*period)
}

// answerPlan is to whom the answer to a node goes that asked for all views: to that node
// or, where a second one of its region or zone asks soon after, to all of that at once.
// ok is false where they were told just now. The lock is held.
func (p *peers) answerPlan(now time.Time, address string) (plan gossip.BroadcastPlan, ok bool) {
	if now.Sub(p.toldAll[address]) < viewsLag {
		return plan, false
	}
	spreader := p.spreaderFor(now, p.roster.ZoneOf(address))
	if spreader == nil {
		p.toldAll[address] = now
		return gossip.BroadcastPlan{Direct: []string{address}}, true
	}
	place := spreadPlace(*spreader)
	asked := p.asked[place]
	if now.Sub(asked.at) >= viewsLag {
		p.asked[place] = askedViews{at: now}
		p.toldAll[address] = now
		return gossip.BroadcastPlan{Direct: []string{address}}, true
	}
	if asked.isTold {
		return plan, false
	}
	p.asked[place] = askedViews{at: now, isTold: true}
	return gossip.BroadcastPlan{Spreaders: []gossip.Spreader{*spreader}}, true
}

// askedViews is when a node of a place asked for views, and whether all nodes there were
// told since.
type askedViews struct {
	at     time.Time
	isTold bool
}

// spreaderFor is who sends on to the nodes of a zone: in its region, or in the zone where
// that lies in this node's region; nil where this node sends itself. The lock is held.
func (p *peers) spreaderFor(now time.Time, zone string) *gossip.Spreader {
	region := p.node.options.Topology.Region(zone)
	for _, spreader := range p.roster.PlanBroadcast(now).Spreaders {
		if spreader.Region != "" && spreader.Region == region || spreader.Region == "" && spreader.Zone == zone {
			return &spreader
		}
	}
	return nil
}

func encodeSpreader(spreader gossip.Spreader) *peerpb.Spread {
	spread := &peerpb.Spread{Zones: spreader.Zones}
	for _, target := range spreader.Targets {
		spread.Targets = append(spread.Targets, &peerpb.SpreadTarget{Address: target.Address, Zone: target.Zone})
	}
	return spread
}

// ownViewDigests are digests of the leader's views as this node has them.
func (p *peers) ownViewDigests() []uint32 {
	var digests dispatch.ViewDigests
	p.node.dispatch.Do(func(core *dispatch.Core) { digests = core.ViewDigests() })
	return digests[:]
}
