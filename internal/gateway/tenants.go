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

// Quotas keeps tenants below their quotas over all nodes.
type Quotas interface {
	// Admit asks for what a request costs.
	Admit(ctx context.Context, tenant routetable.Tenant, cost float64) QuotaVerdict
	// GiveBack returns what was admitted and did not run.
	GiveBack(tenant routetable.Tenant, cost float64)
}

// QuotaVerdict is whether a request is within its tenant's quota.
type QuotaVerdict struct {
	Granted bool
	// IsUnknown is set where nobody could tell what the tenant has left.
	IsUnknown bool
	// RetryIn is when the request may be.
	RetryIn time.Duration
}

// bearer begins the header that carries a caller's key.
const bearer = "Bearer "

// identify finds the tenant by the caller's key, where tenants are declared.
func (c *call) identify() *failure {
	snapshot, found := c.gateway.options.Views.Catalog.Get()
	if !found || !snapshot.NeedsKey() {
		return nil
	}
	key, given := strings.CutPrefix(c.request.Header.Get("Authorization"), bearer)
	if tenant, known := snapshot.TenantByKey(strings.TrimSpace(key)); given && known {
		c.tenant = tenant
		return nil
	}
	c.writer.Header().Set("WWW-Authenticate", strings.TrimSpace(bearer))
	failed := refuse(http.StatusUnauthorized, codeUnknownKey, "a key of a tenant is needed: Authorization: Bearer KEY")
	return &failed
}

// withinQuota draws what the request costs from its tenant's quota.
func (c *call) withinQuota(tokens int, tellsTokens bool) *failure {
	if c.tenant == nil || !c.tenant.Quota.IsLimited() || c.gateway.options.Quotas == nil {
		return nil
	}
	cost := c.tenant.Quota.Cost(tokens, tellsTokens)
	if cost <= 0 {
		return nil
	}
	verdict := c.gateway.options.Quotas.Admit(c.request.Context(), *c.tenant, cost)
	switch {
	case verdict.Granted:
		c.admitted = cost
		return nil
	case verdict.IsUnknown:
		failed := refuse(http.StatusServiceUnavailable, codeQuotaUnknown, "the tenant's quota cannot be told now").after(verdict.RetryIn)
		return &failed
	default:
		failed := refuse(http.StatusTooManyRequests, codeQuota, "the tenant's quota is used up").after(max(time.Second, verdict.RetryIn))
		return &failed
	}
}

// giveBack returns what was drawn for a request that did not run.
func (c *call) giveBack() {
	if c.admitted > 0 && c.record.outcome == attempt.OutcomeNotRun {
		c.gateway.options.Quotas.GiveBack(*c.tenant, c.admitted)
	}
}

// tenantName names the tenant; empty where there is none.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// tenantRegions are the regions of a tenant by the configuration in force; one that is
// gone has none left.
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
