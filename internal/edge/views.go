package edge

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// tellViews sends all nodes what changed of the leader's views, and a digest of
// all by which they see whether they have missed some.
func (p *peers) tellViews(term int64, lapsed time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) {
	now := clock.Now()
	plan := p.spreadPlan(now)
	p.mu.Lock()
	var changed []dispatch.View
	for _, view := range views {
		if p.told[view.ServerID] != view.Digest {
			p.told[view.ServerID] = view.Digest
			changed = append(changed, view)
		}
	}
	p.mu.Unlock()
	p.sendViews(trafficViews, plan, term, lapsed, changed, loads)
}

// forgetViews drops what was told of servers that are gone, or of all.
func (p *peers) forgetViews(keep func(serverID string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.told {
		if !keep(id) {
			delete(p.told, id)
		}
	}
}

// sendViews sends views in as many datagrams as they need, one at the least.
func (p *peers) sendViews(what traffic, plan gossip.Spread, term int64, lapsed time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) {
	encoded := make([]*peerpb.ServerView, 0, len(views))
	for _, view := range views {
		encoded = append(encoded, encodeView(view))
	}
	all := p.toldDigest()
	for first := true; first || len(encoded) > 0; first = false {
		state := p.state(clock.Now())
		state.Leader = &peerpb.LeaderState{
			Term: term, LapsedMs: uint32(lapsed.Milliseconds()), LeaseRevision: p.node.leader.leaseRevision(),
			OrderInMs: uint32(p.node.leader.orderIn().Milliseconds()),
		}
		if first {
			state.Leader.Loads = encodeLoads(loads)
		}
		encoded = fillViews(state.Leader, encoded)
		if len(encoded) == 0 {
			state.Leader.ViewsDigest = all
		}
		p.sendSpread(what, plan, state)
	}
}

// toldDigest is a digest of all views told.
func (p *peers) toldDigest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := uint64(0)
	for _, digest := range p.told {
		all ^= digest
	}
	return all
}

// answerViews sends all views to a node that asked for them; one that has them, and only
// did not hear so, is told that they still hold.
func (p *peers) answerViews(asker *peerpb.NodeState, term int64, lapsed time.Duration, views func() []dispatch.View) {
	now := clock.Now()
	if asker.ViewsDigest != 0 && asker.ViewsDigest == p.toldDigest() {
		p.sendViews(trafficAnswers, gossip.Spread{Direct: []string{asker.Address}}, term, lapsed, nil, nil)
		return
	}
	p.mu.Lock()
	plan, ok := p.answerPlan(now, asker.Address)
	p.mu.Unlock()
	if ok {
		p.sendViews(trafficAnswers, plan, term, lapsed, views(), nil)
	}
}

// confirmViews compares the views of this node with the leader's digest.
func (p *peers) confirmViews(now time.Time, leader *peerpb.LeaderState) {
	if leader.ViewsDigest == 0 {
		return
	}
	same := false
	p.node.dispatch.Do(func(core *dispatch.Core) { same = core.ConfirmViews(now, leader.Term, leader.ViewsDigest) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.viewsHeard = now
	switch {
	case same:
		p.staleSince = time.Time{}
	case p.staleSince.IsZero():
		p.staleSince = now
	}
}

// fillViews moves as many views into a datagram as it may hold.
func fillViews(leader *peerpb.LeaderState, views []*peerpb.ServerView) []*peerpb.ServerView {
	size := 0
	for len(views) > 0 {
		size += proto.Size(views[0])
		if size > datagramBytes && len(leader.Views) > 0 {
			break
		}
		leader.Views = append(leader.Views, views[0])
		views = views[1:]
	}
	return views
}

// wantsViews reports whether this node asks the leader for all views.
func (p *peers) wantsViews(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasSilentViews(now) || !p.staleSince.IsZero() && now.Sub(p.staleSince) > viewsLag
}
