package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// maxViewsSilence is how long a node waits for views from a live leader before it requests them;
// the node that relays them in its zone may be unable to reach it.
const maxViewsSilence = 1500 * time.Millisecond

// planBroadcast plans a broadcast from this node to all nodes. It logs each spreader that
// changed.
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

// updateSpreaders records the spreaders and returns those that changed. p.mu must be held.
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

// spreaderScope names the area that a spreader serves: a region, or a zone of this node's
// region.
func spreaderScope(spreader gossip.Spreader) string {
	if spreader.Region != "" {
		return spreader.Region
	}
	return "zone " + spreader.Zone
}

// relay sends on another node's datagram. Receivers treat it as sent by that node.
func (p *peers) relay(now time.Time, state *peerpb.NodeState) {
	spread := state.Spread
	state.Spread = nil
	p.mu.Lock()
	plan := gossip.BroadcastPlan{Direct: p.roster.AddressesInZones(now, spread.Zones)}
	p.mu.Unlock()
	plan.Direct = exclude(plan.Direct, []string{state.Address})
	for _, target := range spread.Targets {
		plan.Spreaders = append(plan.Spreaders, gossip.Spreader{Address: target.Address, Zones: []string{target.Zone}})
	}
	p.writePlan(trafficRelayed, plan, state)
}

// applyLateViews applies the views of a datagram that a later one from the same sender overtook:
// the later one may have come directly, and this one through a spreader.
func (p *peers) applyLateViews(now time.Time, leader *peerpb.LeaderState, datagram uint64) {
	if leader == nil || len(leader.Views) == 0 {
		return
	}
	p.node.dispatch.Do(func(core *dispatch.Core) { core.SetViews(now, leader.Term, decodeViews(leader.Views, datagram)) })
}

// areViewsOverdue reports whether there is a live leader whose views have not arrived for too
// long. p.mu must be held.
func (p *peers) areViewsOverdue(now time.Time) bool {
	leader := p.roster.Leader(now)
	term, _ := p.node.leader.leadership()
	if term != 0 || leader == nil || leader.LeaseExpiredFor > 0 {
		p.viewsDigestAt = now
		return false
	}
	// With more nodes the leader publishes less often.
	period := time.Duration(len(p.roster.Alive(now))) * publishCostPerNode
	return now.Sub(p.viewsDigestAt) > max(maxViewsSilence, 3*period)
}

// planReply plans the reply to a node that requested all views: to that node alone or, if
// another node of its region or zone asks shortly afterwards, to all nodes there at once. ok is
// false if they were sent just now. p.mu must be held.
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

// viewsRequest records when a node of a region or zone requested views, and whether all nodes
// there were sent them since.
type viewsRequest struct {
	at         time.Time
	isAnswered bool
}

// spreaderFor returns the spreader for the nodes of a zone: that of its region, or of the zone
// itself if it is in this node's region; nil if this node sends directly. p.mu must be held.
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

// ownViewDigests returns the digests of the leader's views as this node has them.
func (p *peers) ownViewDigests() []uint32 {
	var digests dispatch.ViewDigests
	p.node.dispatch.Do(func(core *dispatch.Core) { digests = core.ViewDigests() })
	return digests[:]
}
