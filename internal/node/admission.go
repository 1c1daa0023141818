package node

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/gateway"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
)

// limitLotsAfter is how long after its start a node may send to limited back ends without a
// coordinator.
const limitLotsAfter = 3 * time.Second

// backendLimits is what this node granted of the rate limits that back ends name. The lock of Quotas
// guards it.
type backendLimits struct {
	coordinator *quota.Coordinator
	lots        *admission.FallbackAllowance
}

func newBackendLimits(self fleet.Member) backendLimits {
	return backendLimits{
		coordinator: quota.NewCoordinator(admission.RateLimitTolerance()),
		lots:        admission.NewRateLimitFallback(string(self.Name)),
	}
}

var _ gateway.Admission = (*Quotas)(nil)

// AdmitBackend implements gateway.Admission.
func (q *Quotas) AdmitBackend(ctx context.Context, backend fleet.BackendName, incarnation uint64, perSecond float64) (granted bool, retryIn time.Duration) {
	question := &peerpb.QuotaQuestion{Cost: 1, Backend: string(backend), Incarnation: incarnation, PerSecond: perSecond}
	for _, judge := range judges(q.dependencies.Self, q.dependencies.Views) {
		asked := time.Now()
		answer := q.askQuestion(ctx, judge, question)
		if answer == nil || answer.GetDeclined() {
			continue
		}
		// A grant counts from its question; one that took longer is void.
		granted = answer.GetGranted() && time.Since(asked) < admission.GrantLifetime
		return granted, max(time.Duration(answer.GetRetryMillis())*time.Millisecond, shortestLimitRetry)
	}
	return q.admitBackendAlone(question), unknownRetry
}

// shortestLimitRetry bounds how soon a back end is asked for again that did not grant a request.
const shortestLimitRetry = 10 * time.Millisecond

// admitBackendAlone decides where no judge answers.
func (q *Quotas) admitBackendAlone(question *peerpb.QuotaQuestion) bool {
	now := time.Now()
	if now.Sub(q.started) < limitLotsAfter {
		return false
	}
	nodes, _ := q.fleetSize(now)
	bound := admission.RateLimitBound{PerSecond: question.GetPerSecond()}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limits.lots.Take(now, backendAccount(question), bound.MaxRequests(), nodes)
}

// decideBackend answers a question for a limited back end as the coordinator.
func (q *Quotas) decideBackend(now time.Time, question *peerpb.QuotaQuestion) *peerpb.QuotaAnswer {
	reach, ok := q.mayCoordinate(now)
	if !ok || !inventory.IsValidRate(question.GetPerSecond()) {
		return &peerpb.QuotaAnswer{Declined: true}
	}
	bound := admission.RateLimitBound{PerSecond: min(question.GetPerSecond(), inventory.MaxRate)}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	verdict := q.limits.coordinator.Acquire(now, backendAccount(question), bound.Quota(), reach, 1, 0)
	return &peerpb.QuotaAnswer{Granted: verdict.Granted, RetryMillis: verdict.RetryAfter.Milliseconds()}
}

// backendAccount names the account of an incarnation.
func backendAccount(question *peerpb.QuotaQuestion) string {
	return question.GetBackend() + "/" + strconv.FormatUint(question.GetIncarnation(), 10)
}

// pruneLimits drops the accounts of back ends that are gone. The lock is held.
func (q *Quotas) pruneLimits(now time.Time) {
	tables, _ := q.dependencies.Views.RouteTables.Get()
	known := make(map[string]bool)
	for _, table := range tables {
		for _, engine := range table.Engines {
			known[string(engine.Name)] = true
		}
		for _, service := range table.Services {
			known[string(service.Name)] = true
		}
	}
	q.limits.lots.Prune(now)
	q.limits.coordinator.Prune(func(account string) bool { return known[account[:strings.LastIndexByte(account, '/')]] })
}
