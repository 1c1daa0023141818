package relay

import "net/http"

// reasonUnknownKey is the reason of a denial, for want of a key or for one that no
// tenant owns (any more).
const reasonUnknownKey = "unknown_key"

// authenticate finds the tenant that asks. Where the configuration has tenants every
// route but a public one needs a key of one of them. It answers those without.
func (x *exchange) authenticate() bool {
	if !x.table.HasTenants() || x.route.Public {
		return true
	}
	tenant, ok := x.table.TenantOf(x.head.Key)
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
