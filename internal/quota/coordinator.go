package quota

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// majorityFraction is the minimum fraction of a quota that a coordinator grants if it hears from
// at least half of the nodes: the silent nodes may be dead and their callers use the others. Two
// partitioned halves of a fleet then grant 2 x 0.55 of the quota, which is within the tolerance.
// A coordinator that hears from fewer nodes grants only their fraction.
const majorityFraction = 0.55

// maxPause is the time without a call of Observe after which a coordinator assumes that it was
// paused, and that another coordinator granted requests meanwhile.
const maxPause = time.Second

// Coordinator grants requests of tenants on behalf of all nodes.
type Coordinator struct {
	tolerance    Tolerance
	accounts     map[string]*account
	lastObserved time.Time
	// initialLevel is the initial level of buckets; only tests change it.
	initialLevel float64
}

// Decision is a coordinator's answer.
type Decision struct {
	Granted bool
	// Remaining is what was available to the tenant before this request.
	Remaining float64
	// RetryAfter is how long to wait before a retry, behind the requests refused earlier.
	RetryAfter time.Duration
}

// NewCoordinator returns a coordinator without information about earlier grants.
func NewCoordinator(tolerance Tolerance) *Coordinator {
	return &Coordinator{tolerance: tolerance, accounts: make(map[string]*account), initialLevel: initialLevelShare * tolerance.Slack}
}

// Acquire grants the request and deducts cost from what is available to the tenant, or
// refuses it and deducts nothing. reach is the fraction of all nodes that this one hears
// from. Priority 0 is the highest; requests of other priorities leave a reserve for more urgent
// ones.
func (c *Coordinator) Acquire(now time.Time, tenant string, quota routetable.Quota, reach, cost float64, priority int) Decision {
	return c.acquire(now, tenant, quota, reach, cost, priority, false)
}

// AcquireAhead is Acquire for a request that goes before others of its priority: it counts as one
// priority higher, above which it is granted a little ahead of the rate, and if refused it does
// not queue behind those that were refused before.
func (c *Coordinator) AcquireAhead(now time.Time, tenant string, quota routetable.Quota, reach, cost float64, priority int) Decision {
	return c.acquire(now, tenant, quota, reach, cost, priority-1, true)
}

func (c *Coordinator) acquire(now time.Time, tenant string, quota routetable.Quota, reach, cost float64, priority int, isAhead bool) Decision {
	now = c.clampTime(now)
	account, limits := c.refilledAccount(now, tenant, quota, reach)
	decision := Decision{Remaining: account.available(now, limits)}
	// A request that costs more than the burst can never be within the quota.
	missing := account.requiredLevel(limits, cost, reach, priority) - decision.Remaining
	if missing > 0 || cost > limits.burst {
		if isAhead {
			decision.RetryAfter = limits.timeToEarn(missing)
		} else {
			decision.RetryAfter = account.scheduleRetry(now, limits, missing, cost)
		}
		return decision
	}
	account.charge(now, limits, cost)
	decision.Granted = true
	return decision
}

// MinReach is the fraction of the nodes that a coordinator must hear from. In a smaller partition
// each node is limited to its share: what such a coordinator could grant at once is less than one
// request.
const MinReach = 0.25

// nearFullReach is the reach from which a coordinator assumes that no other grants requests.
const nearFullReach = 0.9

// reservedLevel returns what requests of a priority must leave available to the tenant; below 0 is what
// they may use in advance.
func reservedLevel(limits grantLimits, priority int) float64 {
	return max(-maxAdvanceShare, min(maxReservedShare, reservedSharePerPriority*float64(priority))) * limits.burst
}

const (
	// reservedSharePerPriority is the share of the burst, per step of priority, that is reserved
	// for more urgent requests of the same tenant; maxReservedShare limits the total, and
	// maxAdvanceShare what is granted in advance.
	reservedSharePerPriority = 0.15
	maxReservedShare         = 0.45
	maxAdvanceShare          = 0.15
)

// RecordUse records that a node granted cost from its own share; a negative cost is a refund.
func (c *Coordinator) RecordUse(now time.Time, tenant string, quota routetable.Quota, reach, cost float64) {
	now = c.clampTime(now)
	account, limits := c.refilledAccount(now, tenant, quota, reach)
	account.charge(now, limits, cost)
	account.updateNearQuota(now, limits)
}

// Refund returns an unused grant of cost 1, if this coordinator granted at least as much within the
// window: a grant of an earlier coordinator must not be added to this one's accounts.
func (c *Coordinator) Refund(now time.Time, tenant string, quota routetable.Quota, reach float64) {
	now = c.clampTime(now)
	account, limits := c.refilledAccount(now, tenant, quota, reach)
	if account.usedInWindow(now, limits) >= 1 {
		account.charge(now, limits, -1)
	}
}

// OpenAccount opens the account of a tenant that has sent no request yet: the account starts at a
// low level and should be full when the first request arrives.
func (c *Coordinator) OpenAccount(now time.Time, tenant string, quota routetable.Quota, reach float64) {
	c.refilledAccount(c.clampTime(now), tenant, quota, reach)
}

// clampTime returns now, or the latest time observed so far if that is later: a caller that waited
// for its turn, or was frozen while it waited, passes an earlier time. Accounts have no slots from before
// they were opened, and a time that goes back and forth would look like a pause.
func (c *Coordinator) clampTime(now time.Time) time.Time {
	if now.Before(c.lastObserved) {
		return c.lastObserved
	}
	return now
}

// Observe must be called several times a second. A coordinator that was paused for more than
// maxPause drops its accounts, as another one may have granted requests meanwhile.
func (c *Coordinator) Observe(now time.Time) {
	now = c.clampTime(now)
	if now.Sub(c.lastObserved) > maxPause {
		c.Forget()
	}
	c.lastObserved = now
}

// quotaFraction returns the fraction of a quota that a coordinator with the given reach may grant.
func quotaFraction(reach float64) float64 {
	if reach >= 0.5 {
		return min(1, max(majorityFraction, reach))
	}
	return max(0, reach)
}

func (c *Coordinator) refilledAccount(now time.Time, tenant string, quota routetable.Quota, reach float64) (*account, grantLimits) {
	c.Observe(now)
	limits := c.tolerance.grantLimits(quota, quotaFraction(reach))
	tenantAccount, ok := c.accounts[tenant]
	if !ok {
		tenantAccount = newAccount(now, min(limits.burst, c.initialLevel))
		c.accounts[tenant] = tenantAccount
	}
	tenantAccount.refill(now, limits)
	tenantAccount.updateNearQuota(now, limits)
	return tenantAccount, limits
}

// Forget drops all accounts, for use when another node has been the coordinator meanwhile.
func (c *Coordinator) Forget() { clear(c.accounts) }

// Prune drops the accounts of tenants for which keep returns false.
func (c *Coordinator) Prune(keep func(tenant string) bool) {
	for tenant := range c.accounts {
		if !keep(tenant) {
			delete(c.accounts, tenant)
		}
	}
}
