package quota

import "time"

// Tolerance is by how much the granted sum may exceed a quota in any window: by the share
// Overage of it, plus Slack. Only a small part of that is used in normal operation; the rest
// covers failures.
type Tolerance struct {
	// Window is the length of the windows for which the bound holds.
	Window  time.Duration
	Overage float64
	// Slack is in the unit of the quota.
	Slack float64
	// StrictRate grants nothing beyond the rate and the burst, however evenly requests arrive.
	StrictRate bool
}

const (
	// rateShare of the overage and burstShare of the slack are granted on top of the quota,
	// so that callers within it are not refused because their requests arrive in bunches.
	rateShare  = 0.2
	burstShare = 0.2
	// paceShare of the burst is granted again in each window to tenants that constantly send
	// more than the quota's rate: any window may contain the burst.
	paceShare = 0.6
	// initialLevelShare of the slack is the initial level of a new coordinator's buckets. It is
	// below the quota's burst, which the previous coordinator may have granted already.
	initialLevelShare = 0.1
	// spareShare of the slack is what all nodes together may grant in a window without asking a
	// coordinator, whatever their debt: enough for short calls, which must not fail because no
	// coordinator answers.
	spareShare = 0.25
)

// bucket is a token bucket. Its level is negative if more was used than it held.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill updates the level: it adds perSecond for each elapsed second, up to capacity.
func (b *bucket) refill(now time.Time, perSecond, capacity float64) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level += elapsed.Seconds() * perSecond
		b.updatedAt = now
	}
	b.level = min(b.level, capacity)
}
