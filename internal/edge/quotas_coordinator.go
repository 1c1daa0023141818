package edge

import (
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// take takes a call of another node.
func (q *quotas) take(call *peerpb.QuotaCall) {
	now := clock.Now()
	switch call.Kind {
	case peerpb.QuotaCall_ASK, peerpb.QuotaCall_USED:
		if better := q.better(now); better != "" && !call.Forwarded {
			call.Forwarded = true
			q.node.peers.sendQuota(better, call)
			return
		}
		answer := q.decide(now, call)
		if call.Kind == peerpb.QuotaCall_ASK {
			q.node.peers.sendQuota(call.Asker, answer)
		}
	case peerpb.QuotaCall_ADVISORY:
		q.mu.Lock()
		q.advisories.Observe(now, call.Asker, call.Closed)
		q.mu.Unlock()
	default:
		q.asked.answered(call.Id, call)
	}
}

// decide answers as the coordinator.
func (q *quotas) decide(now time.Time, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	if call.Server != "" {
		return q.node.admissions.decide(now, call)
	}
	answer := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_UNKNOWN, Id: call.Id, Tenant: call.Tenant}
	tenant, ok := q.tenant(call.Tenant)
	if !ok || !q.mayGive(now) || q.better(now) != "" {
		return answer
	}
	_, reach := q.fleetSize(now)
	if reach < quota.MinReach {
		return answer
	}
	defer q.speak(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if call.Kind == peerpb.QuotaCall_USED {
		q.coordinator.RecordUse(now, tenant.Name, tenant.Quota, reach, float64(call.Cost))
		return answer
	}
	verdict := q.coordinator.Acquire(now, tenant.Name, tenant.Quota, reach, float64(call.Cost), int(call.Priority))
	answer.Kind, answer.Left = peerpb.QuotaCall_REFUSED, int64(verdict.Remaining)
	answer.RetryMs = uint32(min(verdict.RetryAfter, longestAge).Milliseconds())
	if verdict.Granted {
		answer.Kind = peerpb.QuotaCall_GRANTED
	}
	return answer
}

// advisoryPeriod is the time between two advisories of a coordinator to all, advisoryShare, which counts
// for each node, bounds what that costs in large fleets to a thousand datagrams a
// second; beyond some four hundred nodes advisories are older than they are believed, and
// the tenants' requests are asked for.
const (
	advisoryPeriod = gossipPeriod
	advisoryShare  = time.Millisecond
)

// speak lets all nodes know which tenants are near their quota: in each period, and at
// once where that changed.
func (q *quotas) speak(now time.Time) {
	if !q.node.hasQuotas() || !q.mayGive(now) || q.better(now) != "" {
		return
	}
	if _, reach := q.fleetSize(now); reach < quota.MinReach {
		return
	}
	period := max(advisoryPeriod, q.node.nodes()*advisoryShare)
	q.mu.Lock()
	closed := q.coordinator.NearQuota()
	slices.Sort(closed)
	joined := strings.Join(closed, ",")
	due := joined != q.told || now.Sub(q.toldAt) >= period-gossipPeriod/4
	if due {
		q.told, q.toldAt = joined, now
		q.advisories.Observe(now, q.node.options.PeerAddress, closed)
	}
	q.mu.Unlock()
	if due {
		q.node.peers.tellAll(&peerpb.QuotaCall{Kind: peerpb.QuotaCall_ADVISORY, Asker: q.node.options.PeerAddress, Closed: closed})
	}
}

func (q *quotas) tenant(name string) (*routetable.Tenant, bool) {
	table := q.node.handler.Table()
	if table == nil {
		return nil, false
	}
	return table.Tenant(name)
}

// better is the node that gives before this one and was heard from lately; empty where
// this node is the coordinator.
func (q *quotas) better(now time.Time) string {
	for _, coordinator := range q.node.peers.coordinators(now) {
		if coordinator.Address == q.node.options.PeerAddress {
			return ""
		}
		if now.Sub(coordinator.LastSeen) < coordinatorSilence {
			return coordinator.Address
		}
	}
	return ""
}

// observe is called in each period: a coordinator that stood still has to notice.
func (q *quotas) observe(now time.Time) {
	isCoordinator := q.better(now) == ""
	q.mu.Lock()
	q.coordinator.Observe(now)
	q.keep(now, isCoordinator)
	q.mu.Unlock()
	q.speak(now)
}

// keep opens the accounts of all tenants, so that they are full when callers come. The
// lock is held.
func (q *quotas) keep(now time.Time, isCoordinator bool) {
	table := q.node.handler.Table()
	if table == nil || !table.HasQuotas() {
		return
	}
	counted, fresh := q.node.peers.standing(now)
	nodes, reach := q.fleet.Observe(now, counted, fresh)
	for _, tenant := range table.Tenants() {
		if !tenant.Quota.IsLimited() {
			continue
		}
		q.share.Level(now, tenant.Name, tenant.Quota, nodes)
		if isCoordinator {
			q.coordinator.OpenAccount(now, tenant.Name, tenant.Quota, reach)
		}
	}
}

// sweep drops what is not needed: the buckets of tenants that are gone and, where
// another node gives, what this one gave before.
func (q *quotas) sweep(now time.Time) {
	isCoordinator := q.better(now) == ""
	q.mu.Lock()
	defer q.mu.Unlock()
	keep := func(name string) bool { _, ok := q.tenant(name); return ok }
	q.share.Prune(keep)
	if isCoordinator {
		q.coordinator.Prune(keep)
	} else {
		q.coordinator.Forget()
	}
}
