package edge

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

const (
	// askTimeout is how long a coordinator's response is awaited: twenty times the usual round
	// trip. A node without spare CPU adds tens of milliseconds.
	askTimeout = 100 * time.Millisecond
	// coordinatorSilence is the time without a message after which the next node takes over as
	// coordinator. Coordinators hear from each other in each gossip period.
	coordinatorSilence = 7 * gossipPeriod / 2
	// A coordinator that missed maxUnanswered calls in a row is not asked for unansweredPause. A
	// single late response is no reason to skip it.
	maxUnanswered   = 3
	unansweredPause = time.Second
	// coordinatorDelay is how long a starting node listens before it grants quotas. By then it
	// knows which nodes precede it, if any; otherwise, in a fleet that starts at once, every
	// node would grant. A node that was sent the fleet size listens for
	// knownSizeCoordinatorDelay.
	coordinatorDelay          = time.Second
	knownSizeCoordinatorDelay = 300 * time.Millisecond
	// maxAdmitWait is how long a request waits for its quota, or for a coordinator if this node
	// has just started. It is limited to half of the request's remaining time.
	maxAdmitWait = 700 * time.Millisecond
)

// quotas keeps the tenants of this node's callers within their quotas. It is safe for concurrent
// use.
type quotas struct {
	node *Node
	mu   sync.Mutex
	// coordinator is what this node granted as the coordinator, and share is its own part of the
	// quotas.
	coordinator *quota.Coordinator
	share       *quota.Share
	advisories  *quota.Advisories
	fleet       quota.FleetSize
	// sizeReceived is true once this node received the fleet size.
	sizeReceived bool
	pending      *pendingCalls[*peerpb.QuotaCall]
	// unresponsive holds the coordinators that missed calls.
	unresponsive map[string]missedAnswers
	// publishedClosed lists the tenants near their quota in the last advisory, publishedAt
	// is when that was sent, and publishedCount its number.
	publishedClosed string
	publishedCount  uint64
	// loggedAsCoordinator is whether this node coordinated by the last log line. Only its ticks use it.
	loggedAsCoordinator bool
	publishedAt         time.Time
	// Counters for metrics.
	granted, refused, uncoordinated, unanswered atomic.Int64
}

func newQuotas(node *Node, tolerance quota.Tolerance, isFirst bool) *quotas {
	return &quotas{
		node:         node,
		coordinator:  quota.NewCoordinator(tolerance),
		share:        quota.NewShare(tolerance, isFirst),
		advisories:   quota.NewAdvisories(),
		pending:      newPendingCalls[*peerpb.QuotaCall](),
		unresponsive: make(map[string]missedAnswers),
	}
}

var _ relay.Quotas = (*quotas)(nil)

// Admit implements relay.Quotas. A request that can be granted within maxAdmitWait is held until
// then; its caller could not succeed sooner by retrying.
func (q *quotas) Admit(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) relay.QuotaDecision {
	requestedAt := clock.Now()
	maxWait := maxAdmitWait
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline)/2)
	}
	for {
		decision := q.tryAdmit(ctx, tenant, cost, priority)
		pause := max(decision.RetryAfter, stateCheckPeriod)
		switch {
		case decision.Granted:
			q.granted.Add(1)
			return decision
		case decision.IsUnknown && q.isDiscovering():
			pause = stateCheckPeriod
		case decision.IsUnknown:
			return decision
		}
		if ctx.Err() != nil || clock.Since(requestedAt)+pause > maxWait {
			q.refused.Add(1)
			return decision
		}
		sleep(ctx, pause)
	}
}

// tryAdmit makes a single attempt.
func (q *quotas) tryAdmit(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) relay.QuotaDecision {
	now := clock.Now()
	nodes, _ := q.fleetSize(now)
	if source := q.admitLocally(now, tenant, nodes, cost); source != "" {
		q.reportUse(now, tenant, cost)
		return relay.QuotaDecision{Granted: true, DecidedBy: source}
	}
	for _, coordinator := range q.node.peers.coordinators(now) {
		answer := q.ask(ctx, coordinator.Address, &peerpb.QuotaCall{
			Kind: peerpb.QuotaCall_ASK, Tenant: tenant.Name, Cost: int64(cost), Priority: uint32(max(0, priority)),
		})
		if answer == nil {
			continue
		}
		return q.decodeDecision(tenant, cost, nodes, coordinator.Address, answer)
	}
	return q.admitUncoordinated(tenant, cost, nodes)
}

// admitLocally grants a request of a tenant that is far below its quota, or within this node's
// share. It returns the basis of the grant, or "".
func (q *quotas) admitLocally(now time.Time, tenant *routetable.Tenant, nodes int, cost float64) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.advisories.IsFarBelowQuota(now, tenant.Name) {
		q.share.RecordGrant(now, tenant.Name, tenant.Quota, nodes, cost)
		return "open"
	}
	if q.share.Take(now, tenant.Name, tenant.Quota, nodes, cost) {
		return "share"
	}
	return ""
}

// isDiscovering reports whether this node has just started and will soon know the coordinators.
func (q *quotas) isDiscovering() bool { return clock.Since(q.node.started) < discoveryPeriod }

// mayCoordinate reports whether this node knows enough of the fleet to grant quotas.
func (q *quotas) mayCoordinate(now time.Time) bool {
	q.mu.Lock()
	sizeReceived := q.sizeReceived
	q.mu.Unlock()
	age := now.Sub(q.node.started)
	return age >= coordinatorDelay || (sizeReceived && age >= knownSizeCoordinatorDelay) || len(q.node.options.Tunables.PeerSeeds) == 0
}

// decodeDecision converts a coordinator's response, and records a grant.
func (q *quotas) decodeDecision(tenant *routetable.Tenant, cost float64, nodes int, coordinator string, answer *peerpb.QuotaCall) relay.QuotaDecision {
	decision := relay.QuotaDecision{
		Granted: answer.Kind == peerpb.QuotaCall_GRANTED, DecidedBy: cmp.Or(answer.Asker, coordinator), Remaining: float64(answer.Left),
		RetryAfter: time.Duration(answer.RetryMs) * time.Millisecond,
	}
	if !decision.Granted {
		return decision
	}
	q.mu.Lock()
	q.share.RecordGrant(clock.Now(), tenant.Name, tenant.Quota, nodes, cost)
	q.mu.Unlock()
	return decision
}

// admitUncoordinated decides when no coordinator responds.
func (q *quotas) admitUncoordinated(tenant *routetable.Tenant, cost float64, nodes int) relay.QuotaDecision {
	now := clock.Now()
	q.uncoordinated.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := relay.QuotaDecision{DecidedBy: "alone", IsUnknown: true, Remaining: q.share.Level(now, tenant.Name, tenant.Quota, nodes), RetryAfter: unansweredPause}
	decision.Granted = q.share.TakeWithoutCoordinator(now, tenant.Name, tenant.Quota, nodes, cost)
	return decision
}

// Refund implements relay.Quotas.
func (q *quotas) Refund(tenant *routetable.Tenant, cost float64) {
	now := clock.Now()
	nodes, _ := q.fleetSize(now)
	q.mu.Lock()
	q.share.RecordGrant(now, tenant.Name, tenant.Quota, nodes, -cost)
	q.mu.Unlock()
	q.reportUse(now, tenant, -cost)
}

// reportUse reports to the coordinator what was used without asking.
func (q *quotas) reportUse(now time.Time, tenant *routetable.Tenant, cost float64) {
	call := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_USED, Asker: q.node.options.PeerAddress, Tenant: tenant.Name, Cost: int64(cost)}
	for _, coordinator := range q.node.peers.coordinators(now) {
		if q.isUnresponsive(now, coordinator.Address) {
			continue
		}
		if coordinator.Address == q.node.options.PeerAddress {
			q.handleCall(call)
		} else {
			q.node.peers.sendQuota(coordinator.Address, call)
		}
		return
	}
}

// ask sends a call to one coordinator; nil means no response.
func (q *quotas) ask(ctx context.Context, address string, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	now := clock.Now()
	call.Asker = q.node.options.PeerAddress
	if address == q.node.options.PeerAddress {
		return decided(q.decide(now, call))
	}
	if q.isUnresponsive(now, address) {
		return nil
	}
	answer, ok := q.pending.call(ctx, askTimeout, func(id uint64) {
		call.Id = id
		q.node.peers.sendQuota(address, call)
	})
	switch {
	case ok:
		q.mu.Lock()
		delete(q.unresponsive, address)
		q.mu.Unlock()
		return decided(answer)
	case ctx.Err() == nil:
		q.recordMissedAnswer(clock.Now(), address)
	}
	return nil
}

// decided returns the response, or nil if it contains no decision.
func decided(answer *peerpb.QuotaCall) *peerpb.QuotaCall {
	if answer.Kind == peerpb.QuotaCall_UNKNOWN {
		return nil
	}
	return answer
}

// missedAnswers counts the consecutive calls that a coordinator did not answer, with the time of
// the last.
type missedAnswers struct {
	count int
	at    time.Time
}

func (q *quotas) recordMissedAnswer(now time.Time, address string) {
	q.unanswered.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unresponsive[address] = missedAnswers{count: q.unresponsive[address].count + 1, at: now}
}

func (q *quotas) isUnresponsive(now time.Time, address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	missed := q.unresponsive[address]
	return missed.count >= maxUnanswered && now.Sub(missed.at) < unansweredPause
}
