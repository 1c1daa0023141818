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

// publishViews sends all nodes the leader's changed views, and a digest of everything published
// by which they detect missing views. It reports whether more views are to be sent soon.
func (p *peers) publishViews(term int64, expiredFor time.Duration, views []dispatch.View, loads []dispatch.PeerLoad) (more bool) {
	now := clock.Now()
	plan := p.planBroadcast(now)
	changed, more := p.changedViews(views)
	p.sendViews(trafficViews, plan, term, expiredFor, changed, loads)
	return more
}

// maxBurstBytes bounds the views sent to one node at once. A receiver's socket buffer holds 200
// KB of unread datagrams and counts each at twice its size: of a thousand views at once, as at
// the start of a term, a third was lost and requested again in full.
const maxBurstBytes = 48 << 10

// changedViews returns the changed views to send now. more is set if further ones exceed the
// burst limit.
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

// pruneViews drops the publication state of the servers for which keep returns false.
func (p *peers) pruneViews(keep func(serverID string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published.prune(keep)
}

// sendViews sends views in as many datagrams as they need, at least one.
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

// publishedDigest returns the digest of all published views.
func (p *peers) publishedDigest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published.digest
}

// replyViews sends a requesting node the views that differ. A node that has all of them is sent
// the digest only. Views are built only for the differing servers: building all 3,000 for each
// of 300 requesting nodes allocated 56 MB a second on the leader.
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

// firstBurst returns as many views as fit into one burst, by whole buckets first. A node that
// lacks more asks again, and then no longer for these.
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

// publishedDigests returns the bucket digests of the published views.
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
		// A replaced leader that has not noticed it says nothing about the new leader's views.
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

// fillViews moves as many views into a datagram as fit and returns the rest.
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

// shouldRequestViews reports whether this node requests the leader's views.
func (p *peers) shouldRequestViews(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.areViewsOverdue(now) || !p.viewsDifferSince.IsZero() && now.Sub(p.viewsDifferSince) > viewsRequestDelay
}
