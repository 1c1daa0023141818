package edge

import (
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
	// askTimeout is how long a coordinator's answer is waited for: twenty times the way there
	// and back. Nodes whose processor is used up take tens of milliseconds each.
	askTimeout = 100 * time.Millisecond
	// coordinatorSilence is after how long without a word the next node gives in a coordinator's
	// place; coordinators hear each other in each period.
	coordinatorSilence = 7 * gossipPeriod / 2
	// A coordinator that left maxUnanswered questions in a row without an answer is not asked
	// for unansweredTime: one late answer says little of it.
	maxUnanswered   = 3
	unansweredPause = time.Second
	// coordinatorDelay is how long a node that has just started listens before it gives: by
	// then it knows who is before it, or that there is nobody. Where all nodes start at
	// once, each would give. One that was told how large the fleet is listens for
	// givesToldAfter.
	coordinatorDelay          = time.Second
	knownSizeCoordinatorDelay = 300 * time.Millisecond
	// maxAdmitWait is how long a request waits for its quota, or for a node that gives
	// where this one has just started; at the most half of the time that it has left.
	maxAdmitWait = 700 * time.Millisecond
)

// quotas keeps the tenants of this node's callers below their quotas. It is safe for
// concurrent use.
type quotas struct {
	node *Node
	mu   sync.Mutex
	// coordinator is what this node gave as the coordinator, and share its own part.
	coordinator *quota.Coordinator
	share       *quota.Share
	advisories  *quota.Advisories
	fleet       quota.FleetSize
	// sizeReceived is set once this node was told how large the fleet is.
	sizeReceived bool
	pending      *pendingCalls[*peerpb.QuotaCall]
	// unresponsive are coordinators that did not answer.
	unresponsive map[string]missedAnswers
	// publishedClosed are the closed tenants that this node last publishedClosed as the coordinator, and toldAt when.
	publishedClosed string
	publishedAt     time.Time
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

// Admit implements relay.Quotas. A request that is to be granted within admitPatience is
// kept until then: its caller would come back for it no sooner.
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

// tryAdmit asks once.
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

// admitLocally grants a request of a tenant that is far below its quota, or within the
// share of this node; it returns by what, or nothing.
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

// isDiscovering reports whether this node has just started, and will soon know who gives.
func (q *quotas) isDiscovering() bool { return clock.Since(q.node.started) < discoveryPeriod }

// mayCoordinate reports whether this node knows enough of the others to give.
func (q *quotas) mayCoordinate(now time.Time) bool {
	q.mu.Lock()
	sizeReceived := q.sizeReceived
	q.mu.Unlock()
	age := now.Sub(q.node.started)
	return age >= coordinatorDelay || (sizeReceived && age >= knownSizeCoordinatorDelay) || len(q.node.options.Tunables.PeerSeeds) == 0
}

// decodeDecision takes a coordinator's advisory.
func (q *quotas) decodeDecision(tenant *routetable.Tenant, cost float64, nodes int, coordinator string, answer *peerpb.QuotaCall) relay.QuotaDecision {
	decision := relay.QuotaDecision{
		Granted: answer.Kind == peerpb.QuotaCall_GRANTED, DecidedBy: coordinator, Remaining: float64(answer.Left),
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

// admitUncoordinated decides where no coordinator answers.
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

// reportUse tells the coordinator what was used without asking.
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

// ask puts a question to one coordinator; nil is no answer.
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

// decided is the answer, or nil for one that cannot say.
func decided(answer *peerpb.QuotaCall) *peerpb.QuotaCall {
	if answer.Kind == peerpb.QuotaCall_UNKNOWN {
		return nil
	}
	return answer
}

// missedAnswers is the questions in a row that a coordinator did not answer, and the last of them.
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
