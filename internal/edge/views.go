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

// publishViews sends all nodes what changed of the leader's views, and a digest of
// all told by which they see whether they have missed some. It reports whether there are
// more to tell soon.
func (p *peers) publishViews(term int64, expiredFor time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) (more bool) {
	now := clock.Now()
	plan := p.planBroadcast(now)
	changed, more := p.changedViews(views)
	p.sendViews(trafficViews, plan, term, expiredFor, changed, loads)
	return more
}

// maxBurstBytes bounds the views sent to one node at once. A receiver's socket holds 200 KB
// of what its node has not read, and counts twice what a datagram takes: of a thousand
// views at once, as at the start of a term, a third was lost, and asked for again whole.
const maxBurstBytes = 48 << 10

// changedViews are the views to tell now of those that changed; rest is set where there
// are more than go out at once.
func (p *peers) changedViews(views []dispatch.View) (changed []dispatch.View, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := maxBurstBytes
	for _, view := range views {
		if p.published.has(view.ServerID, view.Digest) {
			continue
		}
		if remaining -= proto.Size(encodeView(view)); remaining < 0 && len(changed) > 0 {
			return changed, true
		}
		p.published.record(view.ServerID, view.Digest)
		changed = append(changed, view)
	}
	return changed, false
}

// pruneViews drops what was told of servers that are gone, or of all.
func (p *peers) pruneViews(keep func(serverID string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published.prune(keep)
}

// sendViews sends views in as many datagrams as they need, one at the least.
func (p *peers) sendViews(kind trafficKind, plan gossip.BroadcastPlan, term int64, expiredFor time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) {
	encoded := make([]*peerpb.ServerView, 0, len(views))
	for _, view := range views {
		encoded = append(encoded, encodeView(view))
	}
	digest := p.publishedDigest()
	for first := true; first || len(encoded) > 0; first = false {
		state := p.state(clock.Now())
		leasePosition := p.node.leader.leasePosition()
		state.Leader = &peerpb.LeaderState{
			Term: term, LapsedMs: uint32(expiredFor.Milliseconds()), LeaseEra: leasePosition.Era, LeaseRevision: leasePosition.Revision,
			OrderInMs: uint32(p.node.leader.untilFirstOrder().Milliseconds()),
		}
		if first {
			state.Leader.Loads = encodeLoads(loads)
		}
		encoded = fillViews(state.Leader, encoded)
		if len(encoded) == 0 {
			state.Leader.ViewsDigest = digest
		}
		p.broadcast(kind, plan, state)
	}
}

// publishedDigest is a digest of all views told.
func (p *peers) publishedDigest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published.digest
}

// replyViews sends the views that differ to a node that asked for them; one that has
// all, and only did not hear so, is told that they still hold. Views are made of those servers
// alone: all 3,000 for each of 300 nodes that asked took 56 MB a second of a leader.
func (p *peers) replyViews(asker *peerpb.NodeState, term int64, expiredFor time.Duration, views func(wanted func(serverID string) bool) []dispatch.View) {
	now := clock.Now()
	published := p.publishedDigests()
	differs, count := published.Differs(asker.ViewsDigests)
	if count == 0 {
		p.sendViews(trafficViewReplies, gossip.BroadcastPlan{Direct: []string{asker.Address}}, term, expiredFor, nil, nil)
		return
	}
	p.mu.Lock()
	plan, ok := p.planReply(now, asker.Address)
	p.mu.Unlock()
	if !ok {
		return
	}
	reply := firstBurst(views(func(serverID string) bool { return differs[dispatch.ViewBucket(serverID)] }))
	p.node.options.Logger.Info().Str("peer", asker.Address).Int("buckets", count).Int("views", len(reply)).
		Bool("region", len(plan.Spreaders) > 0).Msg("views_answered")
	p.sendViews(trafficViewReplies, plan, term, expiredFor, reply, nil)
}

// firstBurst are as many views as go out at once, whole buckets first: who lacks more asks
// again, and no more for these.
func firstBurst(views []dispatch.View) []dispatch.View {
	slices.SortStableFunc(views, func(a, b dispatch.View) int {
		return dispatch.ViewBucket(a.ServerID) - dispatch.ViewBucket(b.ServerID)
	})
	remaining := maxBurstBytes
	for i, view := range views {
		if remaining -= proto.Size(encodeView(view)); remaining < 0 && i > 0 {
			return views[:i]
		}
	}
	return views
}

// publishedDigests are digests of the views told.
func (p *peers) publishedDigests() dispatch.ViewDigests {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published.buckets
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
	p.viewsDigestAt = now
	switch {
	case same:
		p.viewsDifferSince = time.Time{}
	case p.viewsDifferSince.IsZero():
		p.viewsDifferSince = now
	}
}

// fillViews moves as many views into a datagram as it may hold.
func fillViews(leader *peerpb.LeaderState, views []*peerpb.ServerView) []*peerpb.ServerView {
	size := 0
	for len(views) > 0 {
		size += proto.Size(views[0])
		if size > maxViewsBytes && len(leader.Views) > 0 {
			break
		}
		leader.Views = append(leader.Views, views[0])
		views = views[1:]
	}
	return views
}

// shouldRequestViews reports whether this node asks the leader for all views.
func (p *peers) shouldRequestViews(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.areViewsOverdue(now) || !p.viewsDifferSince.IsZero() && now.Sub(p.viewsDifferSince) > viewsRequestDelay
}
