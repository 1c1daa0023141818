package quota

import "time"

const (
	// closeShare of its burst is what a tenant has left when its requests begin to be
	// asked for one by one, and openShare when that ends. Until all nodes have heard
	// that it is closed, what is left bears what it may send meanwhile.
	closeShare = 0.5
	openShare  = 0.75
	// AdvisoryLifetime is how long a coordinator's advisory is believed.
	AdvisoryLifetime = 500 * time.Millisecond
)

// Advisories are what coordinators told lately: which tenants are near their quota. All others
// are far below it, and their requests are granted without asking.
type Advisories struct {
	coordinators map[string]advisory
}

type advisory struct {
	closed map[string]bool
	at     time.Time
}

// NewAdvisories returns those of a node that has heard none.
func NewAdvisories() *Advisories { return &Advisories{coordinators: make(map[string]advisory)} }

// Observe takes a coordinator's advisory.
func (w *Advisories) Observe(now time.Time, coordinator string, closed []string) {
	heard := advisory{closed: make(map[string]bool, len(closed)), at: now}
	for _, tenant := range closed {
		heard.closed[tenant] = true
	}
	w.coordinators[coordinator] = heard
}

// IsFarBelowQuota reports whether the tenant is far below its quota by all advisories that are fresh,
// of which there is one at the least. Two coordinators may speak for a moment after a fault.
func (w *Advisories) IsFarBelowQuota(now time.Time, tenant string) bool {
	fresh := false
	for coordinator, heard := range w.coordinators {
		switch {
		case now.Sub(heard.at) > AdvisoryLifetime:
			delete(w.coordinators, coordinator)
		case heard.closed[tenant]:
			return false
		default:
			fresh = true
		}
	}
	return fresh
}

// NearQuota are the tenants near their quota, by a coordinator that has kept their accounts.
func (g *Coordinator) NearQuota() []string {
	var closed []string
	for tenant, known := range g.accounts {
		if known.closed {
			closed = append(closed, tenant)
		}
	}
	return closed
}

// IsNearQuota reports whether the tenant is near its quota.
func (g *Coordinator) IsNearQuota(tenant string) bool {
	known, ok := g.accounts[tenant]
	return ok && known.closed
}
