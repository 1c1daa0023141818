package catalog

import (
	"encoding/hex"

	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// NeedsKey reports whether callers need a tenant's key.
func (s *Snapshot) NeedsKey() bool { return s.needsKey }

// TenantByKey returns the tenant that owns a key.
func (s *Snapshot) TenantByKey(key string) (*routetable.Tenant, bool) {
	return s.tenants.TenantByKey(key)
}

// Tenant returns the tenant with the name.
func (s *Snapshot) Tenant(name string) (*routetable.Tenant, bool) { return s.tenants.Tenant(name) }

// Tenants returns all valid tenants, ordered by name.
func (s *Snapshot) Tenants() []routetable.Tenant { return s.tenants.Tenants() }

// linkTenants adds the valid tenants. An invalid one is left out, so that its callers are
// rejected; callers need a key even if no tenant is valid.
func (l *linker) linkTenants(set *kindSet) {
	var tenants []routetable.Tenant
	for _, object := range set.usable(&l.problems) {
		declared := object.value.(spec.Tenant)
		tenant := routetable.Tenant{
			Name: object.key.Name, Regions: allowedRegions(declared.Regions), Quota: quotaOf(declared.Quota),
		}
		for _, key := range declared.Keys {
			if hash, ok := parseKeyHash(key); ok {
				tenant.Keys = append(tenant.Keys, hash)
			}
		}
		tenants = append(tenants, tenant)
	}
	l.snapshot.needsKey = len(set.byName) > 0
	l.snapshot.tenants.SetTenants(tenants)
}

func quotaOf(declared spec.TenantQuota) routetable.Quota {
	if declared.TokensPerSecond > 0 {
		return routetable.Quota{PerSecond: declared.TokensPerSecond, Burst: declared.Burst, CountsTokens: true}
	}
	return routetable.Quota{PerSecond: declared.RequestsPerSecond, Burst: declared.Burst}
}

func parseKeyHash(text string) (hash routetable.KeyHash, ok bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(hash) {
		return hash, false
	}
	return routetable.KeyHash(decoded), true
}

func validateTenant(tenant spec.Tenant) string {
	for _, key := range tenant.Keys {
		if _, ok := parseKeyHash(key); !ok {
			return "a key is not a SHA-256 hash in hex"
		}
	}
	quota := tenant.Quota
	hasQuota := quota != spec.TenantQuota{}
	return reasonIf(hasQuota && !(quota.RequestsPerSecond > 0 || quota.TokensPerSecond > 0) || hasQuota && !(quota.Burst >= 1),
		"the quota needs a rate above 0 and a burst of at least 1")
}
