package edge

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// tellViews sends all nodes what changed of the leader's views, and a digest of
// all told by which they see whether they have missed some. It reports whether there are
// more to tell soon.
func (p *peers) tellViews(term int64, lapsed time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) (rest bool) {
	now := clock.Now()
	plan := p.spreadPlan(now)
	changed, rest := p.changedViews(views)
	p.sendViews(trafficViews, plan, term, lapsed, changed, loads)
	return rest
}

// burstBytes bounds the views sent to one node at once. A receiver's socket holds 200 KB
// of what its node has not read, and counts twice what a datagram takes: of a thousand
// views at once, as at the start of a term, a third was lost, and asked for again whole.
const burstBytes = 48 << 10

// changedViews are the views to tell now of those that changed; rest is set where there
// are more than go out at once.
func (p *peers) changedViews(views []dispatch.View) (changed []dispatch.View, rest bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := burstBytes
	for _, view := range views {
		if p.told.has(view.ServerID, view.Digest) {
			continue
		}
		if room -= proto.Size(encodeView(view)); room < 0 && len(changed) > 0 {
			return changed, true
		}
		p.told.tell(view.ServerID, view.Digest)
		changed = append(changed, view)
	}
	return changed, false
}

// forgetViews drops what was told of servers that are gone, or of all.
func (p *peers) forgetViews(keep func(serverID string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told.forget(keep)
}

// sendViews sends views in as many datagrams as they need, one at the least.
func (p *peers) sendViews(what traffic, plan gossip.BroadcastPlan, term int64, lapsed time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) {
	encoded := make([]*peerpb.ServerView, 0, len(views))
	for _, view := range views {
		encoded = append(encoded, encodeView(view))
	}
	all := p.toldDigest()
	for first := true; first || len(encoded) > 0; first = false {
		state := p.state(clock.Now())
		leaseAt := p.node.leader.leaseAt()
		state.Leader = &peerpb.LeaderState{
			Term: term, LapsedMs: uint32(lapsed.Milliseconds()), LeaseEra: leaseAt.Era, LeaseRevision: leaseAt.Revision,
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
	return p.told.all
}

// answerViews sends the views that differ to a node that asked for them; one that has
// all, and only did not hear so, is told that they still hold. Views are made of those servers
// alone: all 3,000 for each of 300 nodes that asked took 56 MB a second of a leader.
func (p *peers) answerViews(asker *peerpb.NodeState, term int64, lapsed time.Duration, views func(wanted func(serverID string) bool) []dispatch.View) {
	now := clock.Now()
	told := p.toldDigests()
	differs, count := told.Differs(asker.ViewsDigests)
	if count == 0 {
		p.sendViews(trafficAnswers, gossip.BroadcastPlan{Direct: []string{asker.Address}}, term, lapsed, nil, nil)
		return
	}
	p.mu.Lock()
	plan, ok := p.answerPlan(now, asker.Address)
	p.mu.Unlock()
	if !ok {
		return
	}
	wanted := atOnce(views(func(serverID string) bool { return differs[dispatch.ViewBucket(serverID)] }))
	p.node.options.Logger.Info().Str("peer", asker.Address).Int("buckets", count).Int("views", len(wanted)).
		Bool("region", len(plan.Spreaders) > 0).Msg("views_answered")
	p.sendViews(trafficAnswers, plan, term, lapsed, wanted, nil)
}

// atOnce are as many views as go out at once, whole buckets first: who lacks more asks
// again, and no more for these.
func atOnce(views []dispatch.View) []dispatch.View {
	slices.SortStableFunc(views, func(a, b dispatch.View) int {
		return dispatch.ViewBucket(a.ServerID) - dispatch.ViewBucket(b.ServerID)
	})
	room := burstBytes
	for i, view := range views {
		if room -= proto.Size(encodeView(view)); room < 0 && i > 0 {
			return views[:i]
		}
	}
	return views
}

// toldDigests are digests of the views told.
func (p *peers) toldDigests() dispatch.ViewDigests {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told.buckets
}

// confirmViews compares the views of this node with the leader's digest.
func (p *peers) confirmViews(now time.Time, leader *peerpb.LeaderState) {
	if leader.ViewsDigest == 0 {
		return
	}
	same, isOld := false, false
	p.node.dispatch.Do(func(core *dispatch.Core) {
		isOld = core.IsOldTerm(leader.Term)
		same = core.ConfirmViews(now, leader.Term, leader.ViewsDigest)
	})
	if isOld {
		// A leader that was replaced and does not know it says nothing of the views of
		// the new one.
		return
	}
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
