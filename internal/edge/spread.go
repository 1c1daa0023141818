package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// maxViewsSilence is how long a node hears no views of a leader that lives until it asks for
// them: who sends them on in its zone may not reach it.
const maxViewsSilence = 1500 * time.Millisecond

// planBroadcast is how what all nodes need to hear goes out from this node, with a line in
// the log where another node sends on in some region.
func (p *peers) planBroadcast(now time.Time) gossip.BroadcastPlan {
	p.mu.Lock()
	plan := p.roster.PlanBroadcast(now)
	changed := p.updateSpreaders(plan)
	p.mu.Unlock()
	for _, spreader := range changed {
		p.node.options.Logger.Info().Str("region", spreader.Region).Str("zone", spreader.Zone).
			Str("address", spreader.Address).Int("zones", len(spreader.Zones)+len(spreader.Targets)).Msg("spreader")
	}
	return plan
}

// updateSpreaders returns the spreaders that another one was before. The lock is held.
func (p *peers) updateSpreaders(plan gossip.BroadcastPlan) []gossip.Spreader {
	var changed []gossip.Spreader
	for _, spreader := range plan.Spreaders {
		scope := spreaderScope(spreader)
		if p.spreaders[scope] != spreader.Address {
			p.spreaders[scope] = spreader.Address
			changed = append(changed, spreader)
		}
	}
	return changed
}

// spreaderScope names what a spreader sends on in: a region, or a zone of this node's.
func spreaderScope(spreader gossip.Spreader) string {
	if spreader.Region != "" {
		return spreader.Region
	}
	return "zone " + spreader.Zone
}

// forward sends another node's datagram on. Who gets it takes it as that node's own.
func (p *peers) forward(now time.Time, state *peerpb.NodeState) {
	spread := state.Spread
	state.Spread = nil
	p.mu.Lock()
	plan := gossip.BroadcastPlan{Direct: p.roster.AddressesInZones(now, spread.Zones)}
	p.mu.Unlock()
	plan.Direct = exclude(plan.Direct, []string{state.Address})
	for _, target := range spread.Targets {
		plan.Spreaders = append(plan.Spreaders, gossip.Spreader{Address: target.Address, Zones: []string{target.Zone}})
	}
	p.writePlan(trafficForwarded, plan, state)
}

// applyLateViews takes the views of a datagram that a later one of its sender overtook:
// that one may have come straight, and this one over another node.
func (p *peers) applyLateViews(now time.Time, leader *peerpb.LeaderState) {
	if leader == nil || len(leader.Views) == 0 {
		return
	}
	p.node.dispatch.Do(func(core *dispatch.Core) { core.SetViews(now, leader.Term, decodeViews(leader.Views)) })
}

// areViewsOverdue reports whether a leader lives, and its views did not come for a while.
// The lock is held.
func (p *peers) areViewsOverdue(now time.Time) bool {
	leader := p.roster.Leader(now)
	term, _ := p.node.leader.leadership()
	if term != 0 || leader == nil || leader.LeaseExpiredFor > 0 {
		p.viewsDigestAt = now
		return false
	}
	// A leader of many nodes tells them the more rarely.
	period := time.Duration(len(p.roster.Alive(now))) * publishCostPerNode
	return now.Sub(p.viewsDigestAt) > max(maxViewsSilence, 3*period)
}

// planReply is to whom the answer to a node goes that asked for all views: to that node
// or, where a second one of its region or zone asks soon after, to all of that at once.
// ok is false where they were told just now. The lock is held.
func (p *peers) planReply(now time.Time, address string) (plan gossip.BroadcastPlan, ok bool) {
	if now.Sub(p.viewsSentAt[address]) < viewsRequestDelay {
		return plan, false
	}
	spreader := p.spreaderFor(now, p.roster.ZoneOf(address))
	if spreader == nil {
		p.viewsSentAt[address] = now
		return gossip.BroadcastPlan{Direct: []string{address}}, true
	}
	scope := spreaderScope(*spreader)
	previous := p.viewsRequests[scope]
	if now.Sub(previous.at) >= viewsRequestDelay {
		p.viewsRequests[scope] = viewsRequest{at: now}
		p.viewsSentAt[address] = now
		return gossip.BroadcastPlan{Direct: []string{address}}, true
	}
	if previous.isAnswered {
		return plan, false
	}
	p.viewsRequests[scope] = viewsRequest{at: now, isAnswered: true}
	return gossip.BroadcastPlan{Spreaders: []gossip.Spreader{*spreader}}, true
}

// viewsRequest is when a node of a place asked for views, and whether all nodes there were
// told since.
type viewsRequest struct {
	at         time.Time
	isAnswered bool
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
