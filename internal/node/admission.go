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

// fallbackAllowanceDelay is the time after its start during which a node sends no requests
// to rate-limited back ends without a coordinator's grant.
const fallbackAllowanceDelay = 3 * time.Second

// backendLimits tracks what this node has granted of the rate limits of back ends. It is
// guarded by Quotas.mutex.
type backendLimits struct {
	coordinator *quota.Coordinator
	fallback    *admission.FallbackAllowance
}

func newBackendLimits(self fleet.Member) backendLimits {
	return backendLimits{
		coordinator: quota.NewCoordinator(admission.RateLimitTolerance()),
		fallback:    admission.NewRateLimitFallback(string(self.Name)),
	}
}

var _ gateway.Admission = (*Quotas)(nil)

// AdmitBackend implements gateway.Admission.
func (q *Quotas) AdmitBackend(ctx context.Context, backend fleet.BackendName, incarnation uint64, perSecond float64) (granted bool, retryIn time.Duration) {
	question := &peerpb.QuotaQuestion{Cost: 1, Backend: string(backend), Incarnation: incarnation, PerSecond: perSecond}
	for _, coordinator := range coordinators(q.dependencies.Self, q.dependencies.Views) {
		sentAt := time.Now()
		answer := q.sendQuestion(ctx, coordinator, question)
		if answer == nil || answer.GetDeclined() {
			continue
		}
		// The lifetime of a grant starts when it is requested; a grant that arrives after the
		// end of its lifetime is void.
		granted = answer.GetGranted() && time.Since(sentAt) < admission.GrantLifetime
		return granted, max(time.Duration(answer.GetRetryMillis())*time.Millisecond, minRateLimitRetry)
	}
	return q.admitBackendWithoutCoordinator(question), noCoordinatorRetry
}

// minRateLimitRetry is the shortest time until a back end whose rate limit denied a request
// is tried again.
const minRateLimitRetry = 10 * time.Millisecond

// admitBackendWithoutCoordinator decides from this node's fallback allowance when no
// coordinator answers.
func (q *Quotas) admitBackendWithoutCoordinator(question *peerpb.QuotaQuestion) bool {
	now := time.Now()
	if now.Sub(q.started) < fallbackAllowanceDelay {
		return false
	}
	nodes, _ := q.fleetSize(now)
	bound := admission.RateLimitBound{PerSecond: question.GetPerSecond()}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limits.fallback.Take(now, backendAccount(question), bound.MaxRequests(), nodes)
}

// decideBackend answers, as the coordinator, a request to use a rate-limited back end.
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

// backendAccount returns the account name of one incarnation of a back end.
func backendAccount(question *peerpb.QuotaQuestion) string {
	return question.GetBackend() + "/" + strconv.FormatUint(question.GetIncarnation(), 10)
}

// pruneLimits drops the accounts of back ends that are in no route table. The caller holds
// the lock.
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
	q.limits.fallback.Prune(now)
	q.limits.coordinator.Prune(func(account string) bool { return known[account[:strings.LastIndexByte(account, '/')]] })
}
