package catalog

import (
	"encoding/hex"

	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// NeedsKey reports whether callers need a tenant's key.
func (s *Snapshot) NeedsKey() bool { return s.needsKey }

// TenantByKey is the owner of a key.
func (s *Snapshot) TenantByKey(key string) (*routetable.Tenant, bool) {
	return s.tenants.TenantByKey(key)
}

// Tenant returns the tenant of a name.
func (s *Snapshot) Tenant(name string) (*routetable.Tenant, bool) { return s.tenants.Tenant(name) }

// Tenants are all that are declared and can be read, by name.
func (s *Snapshot) Tenants() []routetable.Tenant { return s.tenants.Tenants() }

// takeTenants takes the tenants. One that cannot be read is left out, so that its callers
// are refused; keys are needed all the same.
func (l *linker) takeTenants(set *kindSet) {
	var tenants []routetable.Tenant
	for _, object := range set.usable(&l.problems) {
		declared := object.value.(spec.Tenant)
		tenant := routetable.Tenant{
			Name: object.key.Name, Regions: allowedRegions(declared.Regions), Quota: quotaOf(declared.Quota),
		}
		for _, key := range declared.Keys {
			if hash, ok := keyHash(key); ok {
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

func keyHash(text string) (hash routetable.KeyHash, ok bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(hash) {
		return hash, false
	}
	return routetable.KeyHash(decoded), true
}

func tenantOutOfBounds(tenant spec.Tenant) string {
	for _, key := range tenant.Keys {
		if _, ok := keyHash(key); !ok {
			return "a key is no SHA-256 in hex"
		}
	}
	quota := tenant.Quota
	isBound := quota != spec.TenantQuota{}
	return reasonIf(isBound && !(quota.RequestsPerSecond > 0 || quota.TokensPerSecond > 0) || isBound && !(quota.Burst >= 1),
		"the quota has no rate above 0, or no burst of 1 or more")
}
