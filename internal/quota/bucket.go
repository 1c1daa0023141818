package quota

import "time"

// Tolerance is by how much the sum of what is run may pass a quota in any window:
// Overage of it, and Slack beyond that. What is used of it on purpose is a small part,
// the rest is for failures.
type Tolerance struct {
	// Window is the length of the windows that the bound holds for.
	Window  time.Duration
	Overage float64
	// Slack is in the unit of the quota.
	Slack float64
	// StrictRate grants nothing beyond the rate and the burst, however evenly it would come.
	StrictRate bool
}

const (
	// rateShare of the overage, and burstShare of the slack, are given on top of the
	// quota: what callers send within it may come bunched, and is not refused for that.
	rateShare  = 0.2
	burstShare = 0.2
	// paceShare of the burst is granted again in each window to who sends more than the
	// quota's rate all the time: a window may hold the burst, whenever it was.
	paceShare = 0.6
	// newcomerShare of the slack is what a coordinator that knows nothing of the past begins
	// with. It begins below the quota's burst, which the one before it may have given.
	newcomerShare = 0.1
	// spareShare of the slack is what all nodes together may grant alone in a window,
	// whatever they owe: enough for short calls, which must not fail for want of a coordinator.
	spareShare = 0.25
)

// bucket is a token bucket. Its level is below 0 where more was used than it held.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the level up to date: perSecond more each second, up to most.
func (b *bucket) fill(now time.Time, perSecond, most float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += elapsed.Seconds() * perSecond
		b.at = now
	}
	b.level = min(b.level, most)
}
