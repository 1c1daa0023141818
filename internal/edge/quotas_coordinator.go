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

// handleCall handles a quota call from another node.
func (q *quotas) handleCall(call *peerpb.QuotaCall) {
	now := clock.Now()
	switch call.Kind {
	case peerpb.QuotaCall_ASK, peerpb.QuotaCall_USED:
		if preferred, _ := q.preferredCoordinator(now); preferred != "" && !call.Forwarded {
			call.Forwarded = true
			q.node.peers.sendQuota(preferred, call)
			return
		}
		answer := q.decide(now, call)
		if call.Kind == peerpb.QuotaCall_ASK {
			q.node.peers.sendQuota(call.Asker, answer)
		}
	case peerpb.QuotaCall_ADVISORY:
		q.mu.Lock()
		q.advisories.Observe(now, call.Asker, call.Id, call.Closed)
		q.mu.Unlock()
	default:
		q.pending.resolve(call.Id, call)
	}
}

// decide answers a call as the coordinator.
func (q *quotas) decide(now time.Time, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	if call.Server != "" {
		return q.node.admissions.decide(now, call)
	}
	answer := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_UNKNOWN, Id: call.Id, Tenant: call.Tenant, Asker: q.node.options.PeerAddress}
	tenant, ok := q.tenant(call.Tenant)
	if !ok || !q.mayCoordinate(now) || !q.isCoordinator(now) {
		return answer
	}
	_, reach := q.fleetSize(now)
	if reach < quota.MinReach {
		return answer
	}
	defer q.publishAdvisory(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if call.Kind == peerpb.QuotaCall_USED {
		q.coordinator.RecordUse(now, tenant.Name, tenant.Quota, reach, float64(call.Cost))
		return answer
	}
	decision := q.coordinator.Acquire(now, tenant.Name, tenant.Quota, reach, float64(call.Cost), int(call.Priority))
	answer.Kind, answer.Left = peerpb.QuotaCall_REFUSED, int64(decision.Remaining)
	answer.RetryMs = uint32(min(decision.RetryAfter, maxWireAge).Milliseconds())
	if decision.Granted {
		answer.Kind = peerpb.QuotaCall_GRANTED
	}
	return answer
}

// advisoryPeriod is the interval between a coordinator's advisories to all nodes.
// advisoryPeriodPerNode limits the cost in large fleets to a thousand datagrams a second. Beyond
// about four hundred nodes advisories are older than their validity, and nodes ask for each
// request of a tenant.
const (
	advisoryPeriod        = gossipPeriod
	advisoryPeriodPerNode = time.Millisecond
)

// publishAdvisory announces to all nodes which tenants are near their quota: in each period, and
// immediately when the set changes.
func (q *quotas) publishAdvisory(now time.Time) {
	if !q.node.hasQuotas() || !q.mayCoordinate(now) || !q.isCoordinator(now) {
		return
	}
	if _, reach := q.fleetSize(now); reach < quota.MinReach {
		return
	}
	period := max(advisoryPeriod, q.node.nodeFactor()*advisoryPeriodPerNode)
	q.mu.Lock()
	closed := q.coordinator.NearQuota(q.limitedTenants())
	slices.Sort(closed)
	joined := strings.Join(closed, ",")
	due := joined != q.publishedClosed || now.Sub(q.publishedAt) >= period-gossipPeriod/4
	if due {
		q.publishedClosed, q.publishedAt = joined, now
		q.publishedCount++
		q.advisories.Observe(now, q.node.options.PeerAddress, q.publishedCount, closed)
	}
	number := q.publishedCount
	q.mu.Unlock()
	if due {
		q.node.peers.broadcastQuota(&peerpb.QuotaCall{Kind: peerpb.QuotaCall_ADVISORY, Id: number, Asker: q.node.options.PeerAddress, Closed: closed})
	}
}

// limitedTenants returns the names of the tenants that have a quota.
func (q *quotas) limitedTenants() []string {
	table := q.node.handler.Table()
	if table == nil {
		return nil
	}
	var names []string
	for _, tenant := range table.Tenants() {
		if tenant.Quota.IsLimited() {
			names = append(names, tenant.Name)
		}
	}
	return names
}

func (q *quotas) tenant(name string) (*routetable.Tenant, bool) {
	table := q.node.handler.Table()
	if table == nil {
		return nil, false
	}
	return table.Tenant(name)
}

// preferredCoordinator returns the node that precedes this one as coordinator and was heard from
// recently, or "" if there is none. isSelf is true if this node is next.
func (q *quotas) preferredCoordinator(now time.Time) (address string, isSelf bool) {
	peers := q.node.peers
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return peers.roster.NextCoordinator(now, q.node.stopping.Load(), coordinatorSilence)
}

// isCoordinator reports whether this node is the coordinator.
func (q *quotas) isCoordinator(now time.Time) bool {
	_, isSelf := q.preferredCoordinator(now)
	return isSelf
}

// observe is called in each period, so that a coordinator notices when it was suspended.
func (q *quotas) observe(now time.Time) {
	isCoordinator := q.isCoordinator(now)
	q.logCoordinator(now, isCoordinator)
	q.mu.Lock()
	q.coordinator.Observe(now)
	q.openAccounts(now, isCoordinator)
	q.mu.Unlock()
	q.publishAdvisory(now)
}

// logCoordinator logs that this node begins or ceases to coordinate quotas.
func (q *quotas) logCoordinator(now time.Time, isCoordinator bool) {
	if !q.node.hasQuotas() || isCoordinator == q.loggedAsCoordinator {
		return
	}
	q.loggedAsCoordinator = isCoordinator
	nodes, reach := q.fleetSize(now)
	q.node.options.Logger.Info().Bool("self", isCoordinator).
		Int("nodes", nodes).Float64("reach", reach).Bool("stopping", q.node.stopping.Load()).Msg("quota_coordinator")
}

// openAccounts opens the accounts of all tenants, so that they are full when requests arrive.
// q.mu must be held.
func (q *quotas) openAccounts(now time.Time, isCoordinator bool) {
	table := q.node.handler.Table()
	if table == nil || !table.HasQuotas() {
		return
	}
	known, reachable := q.node.peers.countNodes(now)
	nodes, reach := q.fleet.Observe(now, known, reachable)
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

// sweep drops obsolete state: the accounts of removed tenants and, if another node coordinates,
// what this one granted before.
func (q *quotas) sweep(now time.Time) {
	isCoordinator := q.isCoordinator(now)
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
