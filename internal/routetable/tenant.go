package routetable

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// KeyHash represents an API key. The keys themselves are kept only in the table's source, and are
// never logged.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is one customer of the operators, identified by its API keys.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
	// Regions are the regions in which the tenant's requests may run.
	Regions locality.Regions
}

// Quota limits the cost of a tenant's requests over all nodes: PerSecond, plus Burst at once.
type Quota struct {
	// PerSecond and Burst are in tokens if CountsTokens is set, otherwise in requests. A PerSecond
	// of 0 means no limit.
	PerSecond    float64
	Burst        float64
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not state its number of tokens.
	DefaultTokens int
}

// IsLimited reports whether there is a limit at all.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost returns the cost of a request with that number of tokens. hasTokenCount is false if the
// request does not state it.
func (q Quota) Cost(tokens int, hasTokenCount bool) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case hasTokenCount:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}

// SetTenants makes every request need a key of one of the tenants, except on public routes. If two
// tenants have the same key, it belongs to the first. SetTenants must be called before the table is
// published.
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

// HasQuotas reports whether any tenant has a quota.
func (t *Table) HasQuotas() bool { return t.hasQuotas }

// Tenant returns the tenant with the name.
func (t *Table) Tenant(name string) (*Tenant, bool) {
	for i := range t.tenants {
		if t.tenants[i].Name == name {
			return &t.tenants[i], true
		}
	}
	return nil, false
}

// Tenants returns all tenants in the order of the configuration.
func (t *Table) Tenants() []Tenant { return t.tenants }

// TenantByKey returns the owner of a key. The lookup is by hash, so that its duration reveals
// nothing about the existing keys.
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
