package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Quotas decides whether tenants are below their quotas, over all nodes.
type Quotas interface {
	// Admit counts a request of the tenant that counts cost, unless that is beyond the
	// quota; of those near it the urgent ones go first, priority 0 before all.
	Admit(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) QuotaDecision
	// Refund takes back what was counted for a request that did not run.
	Refund(tenant *routetable.Tenant, cost float64)
}

// QuotaDecision says whether a request is within its tenant's quota.
type QuotaDecision struct {
	Granted bool
	// DecidedBy is who decided: the address of a node, or "share" or "alone" for this one.
	DecidedBy string
	// IsUnknown is set where no node could say whether the request is within the quota.
	IsUnknown bool
	// Remaining is what the tenant had left, in the unit of its quota.
	Remaining float64
	// RetryAfter is when the request would be within the quota.
	RetryAfter time.Duration
}

// Reasons of refusals: what is beyond the tenant's quota, and what nobody can tell of
// whether it is.
const (
	reasonOverQuota    = "over_quota"
	reasonQuotaUnknown = "quota_unknown"
)

// reasonUnknownKey is the reason of a denial, for want of a key or for one that no
// tenant owns (any more).
const reasonUnknownKey = "unknown_key"

// authenticate finds the tenant that asks. Where the configuration has tenants every
// route but a public one needs a key of one of them. It answers those without.
func (x *exchange) authenticate() bool {
	if !x.table.HasTenants() || x.route.Public {
		return true
	}
	tenant, ok := x.table.TenantByKey(x.head.APIKey)
	if !ok {
		x.deny(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	x.tenant = tenant
	return true
}

func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// priority is the rank of the request among others, 0 first; the tenant's goes before
// the route's.
func (x *exchange) priority() int {
	if x.tenant != nil && x.tenant.HasPriority {
		return x.tenant.Priority
	}
	return x.route.Priority
}

// withinQuota counts the request for its tenant. It answers those beyond the quota.
func (x *exchange) withinQuota() bool {
	quotas := x.handler.options.Quotas
	if quotas == nil || x.tenant == nil || !x.tenant.Quota.IsLimited() {
		return true
	}
	cost := x.tenant.Quota.Cost(x.head.PromptTokens+x.head.OutputTokens, x.head.HasTokenCounts)
	verdict := quotas.Admit(x.ctx, x.tenant, cost, x.route.Priority)
	if verdict.Granted {
		x.counted = cost
		return true
	}
	if x.hasLeft() {
		x.leave()
	}
	x.handler.options.Logger.Info().Str("request", x.head.RequestID).Str("tenant", x.tenant.Name).
		Float64("cost", cost).Float64("left", verdict.Remaining).Float64("per_second", x.tenant.Quota.PerSecond).
		Float64("burst", x.tenant.Quota.Burst).Str("by", verdict.DecidedBy).Str("asked_ms", milliseconds(clock.Since(x.arrived))).
		Str("retry_ms", milliseconds(verdict.RetryAfter)).Msg("quota_refused")
	if verdict.IsUnknown {
		x.refuse(reasonQuotaUnknown, verdict.RetryAfter)
		return false
	}
	x.writer.Header().Set("Retry-After", retryAfter(verdict.RetryAfter))
	x.answer(http.StatusTooManyRequests, "not-run", reasonOverQuota)
	x.finish(outcomeRefused, http.StatusTooManyRequests, reasonOverQuota)
	return false
}

// giveBack takes back what was counted for a request that has not run.
func (x *exchange) giveBack() {
	if x.counted > 0 && !x.ran {
		x.handler.options.Quotas.Refund(x.tenant, x.counted)
		x.counted = 0
	}
}
