package quota

import "time"

const (
	// A tenant becomes near its quota when less than enterNearQuotaShare of its burst remains,
	// and the coordinator then decides on each of its requests; that ends above
	// leaveNearQuotaShare. What remains must cover the requests until all nodes have received the advisory.
	enterNearQuotaShare = 0.5
	leaveNearQuotaShare = 0.75
	// AdvisoryLifetime is how long a coordinator's advisory is valid.
	AdvisoryLifetime = 500 * time.Millisecond
)

// Advisories holds the recent announcements of coordinators: which tenants are near their
// quota. All others are far below it, and their requests are granted without asking.
type Advisories struct {
	coordinators map[string]advisory
}

type advisory struct {
	number     uint64
	nearQuota  map[string]bool
	receivedAt time.Time
}

// NewAdvisories returns an empty Advisories.
func NewAdvisories() *Advisories { return &Advisories{coordinators: make(map[string]advisory)} }

// Observe records a coordinator's advisory, unless a later one is known. Coordinators number theirs from 1, also after
// a restart; 0 is that of an earlier build, which counts in the order of arrival.
func (a *Advisories) Observe(now time.Time, coordinator string, number uint64, nearQuota []string) {
	known, ok := a.coordinators[coordinator]
	if ok && number > 0 && number <= known.number && now.Sub(known.receivedAt) <= AdvisoryLifetime {
		return
	}
	received := advisory{number: number, nearQuota: make(map[string]bool, len(nearQuota)), receivedAt: now}
	for _, tenant := range nearQuota {
		received.nearQuota[tenant] = true
	}
	a.coordinators[coordinator] = received
}

// IsFarBelowQuota reports whether the tenant is far below its quota according to all valid
// advisories; it returns false if there is none. Two coordinators may send advisories for a
// moment after a fault.
func (a *Advisories) IsFarBelowQuota(now time.Time, tenant string) bool {
	isAnyFresh := false
	for coordinator, received := range a.coordinators {
		switch {
		case now.Sub(received.receivedAt) > AdvisoryLifetime:
			delete(a.coordinators, coordinator)
		case received.nearQuota[tenant]:
			return false
		default:
			isAnyFresh = true
		}
	}
	return isAnyFresh
}

// NearQuota returns those of the tenants that are near their quota. Those without an account are among them,
// since nothing is known of what they used.
func (c *Coordinator) NearQuota(tenants []string) []string {
	var near []string
	for _, tenant := range tenants {
		if account, ok := c.accounts[tenant]; !ok || account.isNearQuota {
			near = append(near, tenant)
		}
	}
	return near
}

// IsNearQuota reports whether the tenant is near its quota.
func (c *Coordinator) IsNearQuota(tenant string) bool {
	account, ok := c.accounts[tenant]
	return ok && account.isNearQuota
}
