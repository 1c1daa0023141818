package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Quotas enforces the quotas of tenants across all nodes.
type Quotas interface {
	// Admit charges cost to the tenant, unless that would exceed the quota. For tenants near their
	// quota, requests with the lower priority value go first; 0 is the highest.
	Admit(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) QuotaDecision
	// Refund returns what was charged for a request that did not run.
	Refund(tenant *routetable.Tenant, cost float64)
}

// QuotaDecision says whether a request is within its tenant's quota.
type QuotaDecision struct {
	Granted bool
	// DecidedBy is the address of the deciding node, or "share" or "alone" for this one.
	DecidedBy string
	// IsUnknown is set where no node could tell whether the request is within the quota.
	IsUnknown bool
	// Remaining is what the tenant had left, in the unit of its quota.
	Remaining float64
	// RetryAfter is when the request would be within the quota.
	RetryAfter time.Duration
}

// Reasons of refusals: the tenant exceeded its quota, or no node could tell.
const (
	reasonOverQuota    = "over_quota"
	reasonQuotaUnknown = "quota_unknown"
)

// reasonUnknownKey is the reason of a denial for a missing key, or one that belongs to no tenant (any
// more).
const reasonUnknownKey = "unknown_key"

// authenticate finds the tenant that owns the caller's key. If the configuration has tenants, every
// route that is not public needs the key of one of them. It responds to requests without one.
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

// tenantName is the tenant's name, or empty.
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// priority is the request's priority, 0 first; the tenant's overrides the route's.
func (x *exchange) priority() int {
	if x.tenant != nil && x.tenant.HasPriority {
		return x.tenant.Priority
	}
	return x.route.Priority
}

// takeQuota charges the request to its tenant's quota, unless the peer that forwards it has. It responds to
// requests beyond the quota.
func (x *exchange) takeQuota() bool {
	quotas := x.handler.options.Quotas
	if quotas == nil || x.forwarded != nil || x.tenant == nil || !x.tenant.Quota.IsLimited() {
		return true
	}
	cost := x.tenant.Quota.Cost(x.head.PromptTokens+x.head.OutputTokens, x.head.HasTokenCounts)
	decision := quotas.Admit(x.ctx, x.tenant, cost, x.route.Priority)
	if decision.Granted {
		x.chargedCost, x.quotaDecidedBy, x.quotaCost = cost, decision.DecidedBy, cost
		return true
	}
	if x.callerGone() {
		x.endCallerGone()
	}
	x.handler.options.Logger.Info().Str("request", x.head.RequestID).Str("tenant", x.tenant.Name).
		Float64("cost", cost).Float64("left", decision.Remaining).Float64("per_second", x.tenant.Quota.PerSecond).
		Float64("burst", x.tenant.Quota.Burst).Str("by", decision.DecidedBy).Str("asked_ms", formatMilliseconds(clock.Since(x.arrived))).
		Str("retry_ms", formatMilliseconds(decision.RetryAfter)).Msg("quota_refused")
	if decision.IsUnknown {
		x.refuse(reasonQuotaUnknown, decision.RetryAfter)
		return false
	}
	x.refuseWith(http.StatusTooManyRequests, reasonOverQuota, func(header http.Header) {
		header.Set("Retry-After", formatRetryAfter(decision.RetryAfter))
	})
	return false
}

// refundQuota returns what was charged for a request that did not run.
func (x *exchange) refundQuota() {
	if x.chargedCost > 0 && !x.mayHaveRun {
		x.handler.options.Quotas.Refund(x.tenant, x.chargedCost)
		x.chargedCost = 0
	}
}
