package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Quotas enforces the quotas of tenants across all nodes.
type Quotas interface {
	// Admit charges the cost of a request to the tenant's quota, if it allows it.
	Admit(ctx context.Context, tenant routetable.Tenant, cost float64) QuotaVerdict
	// GiveBack refunds the cost of a request that was admitted and did not run.
	GiveBack(tenant routetable.Tenant, cost float64)
}

// QuotaVerdict says whether a request is within its tenant's quota.
type QuotaVerdict struct {
	Granted bool
	// IsUnknown is set if the tenant's remaining quota could not be determined.
	IsUnknown bool
	// RetryIn is the time until the request may be admitted.
	RetryIn time.Duration
}

// bearerPrefix precedes the caller's key in the Authorization header.
const bearerPrefix = "Bearer "

// authenticate finds the tenant by the caller's key, if tenants are declared.
func (c *call) authenticate() *failure {
	snapshot, found := c.gateway.options.Views.Catalog.Get()
	if !found || !snapshot.NeedsKey() {
		return nil
	}
	key, given := strings.CutPrefix(c.request.Header.Get("Authorization"), bearerPrefix)
	if tenant, known := snapshot.TenantByKey(strings.TrimSpace(key)); given && known {
		c.tenant = tenant
		return nil
	}
	c.writer.Header().Set("WWW-Authenticate", strings.TrimSpace(bearerPrefix))
	failed := newRefusal(http.StatusUnauthorized, codeUnknownKey, "a key of a tenant is needed: Authorization: Bearer KEY")
	return &failed
}

// chargeQuota charges the cost of the request to its tenant's quota.
func (c *call) chargeQuota(tokens int, reportsTokens bool) *failure {
	if c.tenant == nil || !c.tenant.Quota.IsLimited() || c.gateway.options.Quotas == nil {
		return nil
	}
	cost := c.tenant.Quota.Cost(tokens, reportsTokens)
	if cost <= 0 {
		return nil
	}
	verdict := c.gateway.options.Quotas.Admit(c.request.Context(), *c.tenant, cost)
	switch {
	case verdict.Granted:
		c.quotaCost = cost
		return nil
	case verdict.IsUnknown:
		failed := newRefusal(http.StatusServiceUnavailable, codeQuotaUnknown, "the tenant's quota cannot be told now").withRetryAfter(verdict.RetryIn)
		return &failed
	default:
		failed := newRefusal(http.StatusTooManyRequests, codeQuota, "the tenant's quota is used up").withRetryAfter(max(time.Second, verdict.RetryIn))
		return &failed
	}
}

// refundQuota refunds the cost of a request that did not run.
func (c *call) refundQuota() {
	if c.quotaCost > 0 && c.record.outcome == attempt.OutcomeNotRun {
		c.gateway.options.Quotas.GiveBack(*c.tenant, c.quotaCost)
	}
}

// tenantName returns the tenant's name, empty if there is none.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// tenantRegions returns the allowed regions of a tenant by the configuration in force; a
// deleted tenant has none.
func (g *Gateway) tenantRegions(name string) locality.Regions {
	if name == "" {
		return locality.Regions{}
	}
	snapshot, found := g.options.Views.Catalog.Get()
	if !found {
		return locality.Only()
	}
	tenant, known := snapshot.Tenant(name)
	if !known {
		return locality.Only()
	}
	return tenant.Regions
}
