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
	// A coordinator that left mostUnanswered questions in a row without an answer is not asked
	// for unansweredTime: one late answer says little of it.
	mostUnanswered = 3
	unansweredTime = time.Second
	// givesAfter is how long a node that has just started listens before it gives: by
	// then it knows who is before it, or that there is nobody. Where all nodes start at
	// once, each would give. One that was told how large the fleet is listens for
	// givesToldAfter.
	givesAfter     = time.Second
	givesToldAfter = 300 * time.Millisecond
	// admitPatience is how long a request waits for its quota, or for a node that gives
	// where this one has just started; at the most half of the time that it has left.
	admitPatience = 700 * time.Millisecond
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
	// wasTold is set once this node was told how large the fleet is.
	wasTold bool
	asked   *questions[*peerpb.QuotaCall]
	// silent are coordinators that did not answer.
	silent map[string]silence
	// told are the closed tenants that this node last told as the coordinator, and toldAt when.
	told   string
	toldAt time.Time
	// Counters for metrics.
	granted, refused, alone, unanswered atomic.Int64
}

func newQuotas(node *Node, tolerance quota.Tolerance, isFirst bool) *quotas {
	return &quotas{
		node:        node,
		coordinator: quota.NewCoordinator(tolerance),
		share:       quota.NewShare(tolerance, isFirst),
		advisories:  quota.NewAdvisories(),
		asked:       newQuestions[*peerpb.QuotaCall](),
		silent:      make(map[string]silence),
	}
}

var _ relay.Quotas = (*quotas)(nil)

// Admit implements relay.Quotas. A request that is to be granted within admitPatience is
// kept until then: its caller would come back for it no sooner.
func (q *quotas) Admit(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) relay.QuotaDecision {
	asked := clock.Now()
	patience := admitPatience
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(deadline)/2)
	}
	for {
		verdict := q.admitNow(ctx, tenant, cost, priority)
		pause := max(verdict.RetryAfter, knowledgeCheck)
		switch {
		case verdict.Granted:
			q.granted.Add(1)
			return verdict
		case verdict.IsUnknown && q.isYoung():
			pause = knowledgeCheck
		case verdict.IsUnknown:
			return verdict
		}
		if ctx.Err() != nil || clock.Since(asked)+pause > patience {
			q.refused.Add(1)
			return verdict
		}
		sleep(ctx, pause)
	}
}

// admitNow asks once.
func (q *quotas) admitNow(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) relay.QuotaDecision {
	now := clock.Now()
	nodes, _ := q.fleetSize(now)
	if by := q.takeUnasked(now, tenant, nodes, cost); by != "" {
		q.tellUsed(now, tenant, cost)
		return relay.QuotaDecision{Granted: true, DecidedBy: by}
	}
	for _, coordinator := range q.node.peers.coordinators(now) {
		answer := q.ask(ctx, coordinator.Address, &peerpb.QuotaCall{
			Kind: peerpb.QuotaCall_ASK, Tenant: tenant.Name, Cost: int64(cost), Priority: uint32(max(0, priority)),
		})
		if answer == nil {
			continue
		}
		return q.answered(tenant, cost, nodes, coordinator.Address, answer)
	}
	return q.admitAlone(tenant, cost, nodes)
}

// takeUnasked grants a request of a tenant that is far below its quota, or within the
// share of this node; it returns by what, or nothing.
func (q *quotas) takeUnasked(now time.Time, tenant *routetable.Tenant, nodes int, cost float64) string {
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

// isYoung reports whether this node has just started, and will soon know who gives.
func (q *quotas) isYoung() bool { return clock.Since(q.node.started) < meetsFor }

// mayGive reports whether this node knows enough of the others to give.
func (q *quotas) mayGive(now time.Time) bool {
	q.mu.Lock()
	told := q.wasTold
	q.mu.Unlock()
	age := now.Sub(q.node.started)
	return age >= givesAfter || (told && age >= givesToldAfter) || len(q.node.options.Tunables.PeerSeeds) == 0
}

// answered takes a coordinator's advisory.
func (q *quotas) answered(tenant *routetable.Tenant, cost float64, nodes int, coordinator string, answer *peerpb.QuotaCall) relay.QuotaDecision {
	verdict := relay.QuotaDecision{
		Granted: answer.Kind == peerpb.QuotaCall_GRANTED, DecidedBy: coordinator, Remaining: float64(answer.Left),
		RetryAfter: time.Duration(answer.RetryMs) * time.Millisecond,
	}
	if !verdict.Granted {
		return verdict
	}
	q.mu.Lock()
	q.share.RecordGrant(clock.Now(), tenant.Name, tenant.Quota, nodes, cost)
	q.mu.Unlock()
	return verdict
}

// admitAlone decides where no coordinator answers.
func (q *quotas) admitAlone(tenant *routetable.Tenant, cost float64, nodes int) relay.QuotaDecision {
	now := clock.Now()
	q.alone.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := relay.QuotaDecision{DecidedBy: "alone", IsUnknown: true, Remaining: q.share.Level(now, tenant.Name, tenant.Quota, nodes), RetryAfter: unansweredTime}
	verdict.Granted = q.share.TakeWithoutCoordinator(now, tenant.Name, tenant.Quota, nodes, cost)
	return verdict
}

// Refund implements relay.Quotas.
func (q *quotas) Refund(tenant *routetable.Tenant, cost float64) {
	now := clock.Now()
	nodes, _ := q.fleetSize(now)
	q.mu.Lock()
	q.share.RecordGrant(now, tenant.Name, tenant.Quota, nodes, -cost)
	q.mu.Unlock()
	q.tellUsed(now, tenant, -cost)
}

// tellUsed tells the coordinator what was used without asking.
func (q *quotas) tellUsed(now time.Time, tenant *routetable.Tenant, cost float64) {
	call := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_USED, Asker: q.node.options.PeerAddress, Tenant: tenant.Name, Cost: int64(cost)}
	for _, coordinator := range q.node.peers.coordinators(now) {
		if q.isSilent(now, coordinator.Address) {
			continue
		}
		if coordinator.Address == q.node.options.PeerAddress {
			q.take(call)
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
		return known(q.decide(now, call))
	}
	if q.isSilent(now, address) {
		return nil
	}
	answer, ok := q.asked.ask(ctx, askTimeout, func(id uint64) {
		call.Id = id
		q.node.peers.sendQuota(address, call)
	})
	switch {
	case ok:
		q.mu.Lock()
		delete(q.silent, address)
		q.mu.Unlock()
		return known(answer)
	case ctx.Err() == nil:
		q.noteSilence(clock.Now(), address)
	}
	return nil
}

// known is the answer, or nil for one that cannot say.
func known(answer *peerpb.QuotaCall) *peerpb.QuotaCall {
	if answer.Kind == peerpb.QuotaCall_UNKNOWN {
		return nil
	}
	return answer
}

// silence is the questions in a row that a coordinator did not answer, and the last of them.
type silence struct {
	questions int
	at        time.Time
}

func (q *quotas) noteSilence(now time.Time, address string) {
	q.unanswered.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[address] = silence{questions: q.silent[address].questions + 1, at: now}
}

func (q *quotas) isSilent(now time.Time, address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.silent[address]
	return known.questions >= mostUnanswered && now.Sub(known.at) < unansweredTime
}
