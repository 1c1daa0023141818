package quota

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// grantLimits is what a coordinator may grant of one quota.
type grantLimits struct {
	// perSecond and burst define a token bucket, within which requests are granted as
	// they arrive.
	perSecond float64
	burst     float64
	// windowTotal limits the sum over any window of windowLength. paceRate is the rate at
	// which requests beyond the bucket are granted from what it leaves of windowTotal.
	windowTotal  float64
	paceRate     float64
	windowLength time.Duration
}

// grantLimits returns the limits of a coordinator that may grant the given fraction of a quota.
func (t Tolerance) grantLimits(quota routetable.Quota, fraction float64) grantLimits {
	seconds := max(1, t.Window.Seconds())
	limits := grantLimits{
		perSecond:    quota.PerSecond * (1 + rateShare*t.Overage) * fraction,
		burst:        max(1, quota.Burst+burstShare*t.Slack) * fraction,
		paceRate:     paceShare * quota.Burst / seconds * fraction,
		windowLength: t.Window,
	}
	if t.StrictRate {
		limits.paceRate = 0
	}
	limits.windowTotal = limits.perSecond*seconds + limits.burst
	return limits
}

// slotCount is the number of slots into which a window's sum is divided; one more slot is
// added up, so that the sum covers any window in full.
const slotCount = 16

// account is a coordinator's state of one tenant: a token bucket, a second one for what the
// window allows beyond the first, and the sum of the last window. A tenant that always sends
// more than the first bucket yields is thus granted all that a window allows, evenly.
type account struct {
	bucket     bucket
	paceBucket bucket
	openedAt   time.Time
	// isNearQuota is set while little of the quota remains.
	isNearQuota bool
	// meanCost is the moving average of the requests' cost.
	meanCost float64
	// lastRetryAt is the latest retry time given to a refused request.
	lastRetryAt time.Time
	slots       [slotCount + 2]struct {
		number int64
		used   float64
	}
}

func newAccount(now time.Time, level float64) *account {
	return &account{bucket: bucket{level: level, updatedAt: now}, paceBucket: bucket{updatedAt: now}, openedAt: now, isNearQuota: true}
}

func (a *account) refill(now time.Time, limits grantLimits) {
	a.bucket.refill(now, limits.perSecond, limits.burst)
	if now.Sub(a.openedAt) < limits.windowLength {
		// Another coordinator may have granted requests in this window.
		a.paceBucket.updatedAt = now
	}
	a.paceBucket.refill(now, limits.paceRate, limits.paceRate*limits.slotLength().Seconds())
}

// updateNearQuota sets or clears isNearQuota, with hysteresis, by what remains.
func (a *account) updateNearQuota(now time.Time, limits grantLimits) {
	remaining := min(a.bucket.level, limits.windowTotal-a.usedInWindow(now, limits))
	switch {
	case remaining < enterNearQuotaShare*limits.burst:
		a.isNearQuota = true
	case remaining > leaveNearQuotaShare*limits.burst:
		a.isNearQuota = false
	}
}

// available returns what may be granted now.
func (a *account) available(now time.Time, limits grantLimits) float64 {
	windowRemaining := limits.windowTotal - a.usedInWindow(now, limits)
	return min(windowRemaining, max(a.bucket.level, a.paceBucket.level+max(0, a.bucket.level)))
}

const (
	// meanWeight is the weight of a new request in meanCost.
	meanWeight = 0.1
	// A request that costs less than smallCostShare of the mean is small: it needs only
	// its own cost.
	smallCostShare = 0.25
	// smallCostDebt is the share of the burst that small requests may use when nothing
	// remains.
	smallCostDebt = 0.1
)

// requiredLevel returns what must be available for a request to be granted: the mean cost
// of a request, or half of its own cost if that is more. If it were always the request's
// own cost, a tenant near its quota would have its large requests refused nearly always and
// the others hardly ever. If other nodes may grant too, a larger request needs its full
// cost, and nothing is granted in advance. The reserve for more urgent requests is added,
// except for small requests: a short command is not held back by the cost of a report.
func (a *account) requiredLevel(limits grantLimits, cost, reach float64, priority int) float64 {
	meanCost := a.meanCost
	if meanCost == 0 {
		meanCost = cost
	}
	a.meanCost = meanCost + meanWeight*(cost-meanCost)
	switch {
	case cost < smallCostShare*meanCost:
		return cost - smallCostDebt*limits.burst
	case reach < nearFullReach:
		return max(0, reservedLevel(limits, priority)) + max(cost, meanCost)
	default:
		return reservedLevel(limits, priority) + max(meanCost, cost/2)
	}
}

// charge deducts cost, from the bucket first and then from the pace bucket.
func (a *account) charge(now time.Time, limits grantLimits, cost float64) {
	fromBucket := cost
	if cost > 0 && a.bucket.level < cost {
		fromPace := min(cost-max(0, a.bucket.level), max(0, a.paceBucket.level))
		a.paceBucket.level -= fromPace
		fromBucket -= fromPace
	}
	a.bucket.level = min(a.bucket.level-fromBucket, limits.burst)
	number := a.slotNumber(now, limits)
	slot := &a.slots[number%int64(len(a.slots))]
	if slot.number != number {
		slot.number, slot.used = number, 0
	}
	slot.used += cost
}

// usedInWindow returns the sum of the last window.
func (a *account) usedInWindow(now time.Time, limits grantLimits) float64 {
	newest := a.slotNumber(now, limits)
	sum := 0.0
	for _, slot := range a.slots {
		if age := newest - slot.number; slot.number > 0 && age >= 0 && age <= slotCount {
			sum += slot.used
		}
	}
	return sum
}

// scheduleRetry returns after what time a request that is refused now should be retried, given
// the missing level. Retries are scheduled one after the other: otherwise all refused requests
// would return at once, and all but one would be refused again.
func (a *account) scheduleRetry(now time.Time, limits grantLimits, missing, cost float64) time.Duration {
	start := now
	if a.lastRetryAt.After(now) {
		missing, start = 0, a.lastRetryAt
	}
	a.lastRetryAt = now.Add(min(limits.windowLength, start.Sub(now)+limits.timeToEarn(missing+cost)))
	return a.lastRetryAt.Sub(now)
}

// timeToEarn returns the time after which the level has risen by the amount, the window's length at most.
func (l grantLimits) timeToEarn(amount float64) time.Duration {
	rate := l.perSecond + l.paceRate
	if rate <= 0 {
		return l.windowLength
	}
	return time.Duration(min(l.windowLength.Seconds(), amount/rate) * float64(time.Second))
}

// slotLength is the length of a slot of the window.
func (l grantLimits) slotLength() time.Duration {
	return max(time.Millisecond, l.windowLength/slotCount)
}

// slotNumber counts slots from when the account was opened, as the monotonic clock measures
// only durations. 0 marks an unused slot.
func (a *account) slotNumber(now time.Time, limits grantLimits) int64 {
	return 1 + int64(now.Sub(a.openedAt)/limits.slotLength())
}
