package routetable

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// KeyHash stands for an API key: keys themselves are kept in the table's source
// alone, and never logged.
type KeyHash [sha256.Size]byte

// HashKey is the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is one customer of the operators, known by its API keys.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority goes before that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
	// Regions are those in which its requests may run.
	Regions locality.Regions
}

// Quota bounds what a tenant's requests may count over all nodes: PerSecond, and
// Burst beyond that at once.
type Quota struct {
	// PerSecond and Burst are in tokens where CountsTokens is set, else in requests.
	// 0 is without a bound.
	PerSecond    float64
	Burst        float64
	CountsTokens bool
	// DefaultTokens are counted for a request that tells no number of tokens.
	DefaultTokens int
}

// IsLimited reports whether there is a bound at all.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost is what a request of so many tokens counts.
func (q Quota) Cost(tokens int, tellsTokens bool) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case tellsTokens:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}

// SetTenants makes every request need a key of one of the tenants, but on public
// routes. Of two tenants with one key, the first owns it. It is called before the
// table is published.
func (t *Table) SetTenants(tenants []Tenant) {
	t.tenants = tenants
	t.owners = make(map[KeyHash]int)
	t.hasQuotas = slices.ContainsFunc(tenants, func(tenant Tenant) bool { return tenant.Quota.IsLimited() })
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			if _, ok := t.owners[key]; !ok {
				t.owners[key] = i
			}
		}
	}
}

// HasTenants reports whether requests need a key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// HasQuotas reports whether a tenant is limited.
func (t *Table) HasQuotas() bool { return t.hasQuotas }

// Tenant returns the tenant of a name.
func (t *Table) Tenant(name string) (*Tenant, bool) {
	for i := range t.tenants {
		if t.tenants[i].Name == name {
			return &t.tenants[i], true
		}
	}
	return nil, false
}

// Tenants are all tenants, in the order of the configuration.
func (t *Table) Tenants() []Tenant { return t.tenants }

// TenantByKey is the owner of a key. The look-up goes by hash, so that its time tells
// nothing of the keys there are.
func (t *Table) TenantByKey(key string) (*Tenant, bool) {
	hash := HashKey(key)
	index, ok := t.owners[hash]
	if !ok {
		return nil, false
	}
	owner := &t.tenants[index]
	for i := range owner.Keys {
		if subtle.ConstantTimeCompare(owner.Keys[i][:], hash[:]) == 1 {
			return owner, true
		}
	}
	return nil, false
}
