package quota

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// allowance is what a coordinator may give of one quota.
type allowance struct {
	// perSecond and burst are those of a token bucket: what comes within it is granted
	// as it comes.
	perSecond float64
	burst     float64
	// window bounds the sum over any window, and pace is the rate at which what the
	// bucket leaves of that is granted beyond it.
	window float64
	pace   float64
	length time.Duration
}

// allowance is what a coordinator gives of a quota that hears from a part of the nodes.
func (t Tolerance) allowance(quota routetable.Quota, part float64) allowance {
	seconds := max(1, t.Window.Seconds())
	allowed := allowance{
		perSecond: quota.PerSecond * (1 + rateShare*t.Overage) * part,
		burst:     max(1, quota.Burst+burstShare*t.Slack) * part,
		pace:      paceShare * quota.Burst / seconds * part,
		length:    t.Window,
	}
	if t.StrictRate {
		allowed.pace = 0
	}
	allowed.window = allowed.perSecond*seconds + allowed.burst
	return allowed
}

// slots are the parts of a window that its sum is kept by; one more is summed up, so
// that every window is covered.
const slots = 16

// account is what a coordinator knows of one tenant: a token bucket, a second one for what a
// window allows beyond it, and the sum of the last window. A tenant that always sends
// more than the bucket gives is so granted all that a window may hold, evenly.
type account struct {
	bucket bucket
	pace   bucket
	opened time.Time
	// closed is set while little is left.
	closed bool
	// mean is what requests count on the average.
	mean float64
	// line is when the last one that was refused is to come back.
	line time.Time
	sums [slots + 2]struct {
		number int64
		used   float64
	}
}

func newAccount(now time.Time, level float64) *account {
	return &account{bucket: bucket{level: level, at: now}, pace: bucket{at: now}, opened: now, closed: true}
}

func (a *account) fill(now time.Time, allowed allowance) {
	a.bucket.fill(now, allowed.perSecond, allowed.burst)
	if now.Sub(a.opened) < allowed.length {
		// What another coordinator granted in this window is not known.
		a.pace.at = now
	}
	a.pace.fill(now, allowed.pace, allowed.pace*allowed.slot().Seconds())
}

// note closes or opens the account by what is left.
func (a *account) note(now time.Time, allowed allowance) {
	left := min(a.bucket.level, allowed.window-a.used(now, allowed))
	switch {
	case left < closeShare*allowed.burst:
		a.closed = true
	case left > openShare*allowed.burst:
		a.closed = false
	}
}

// left is what may be granted at once.
func (a *account) left(now time.Time, allowed allowance) float64 {
	room := allowed.window - a.used(now, allowed)
	return min(room, max(a.bucket.level, a.pace.level+max(0, a.bucket.level)))
}

const (
	// meanWeight is the weight of a new request in the mean of what requests count.
	meanWeight = 0.1
	// smallShare of the mean is up to where a request is small: it goes by what it counts.
	smallShare = 0.25
	// smallDebt of the burst is what small requests may use when nothing is left.
	smallDebt = 0.1
)

// needed is what has to be left for a request: as much as the mean one counts. Were it
// all that this one counts, the large requests of a tenant near its quota would be
// refused nearly always and the others hardly ever. Where other nodes may give, too, a
// larger one needs it all. The reserve for more urgent requests comes on top, but for a
// small one: a short command is not held back by what a report counts.
func (a *account) needed(allowed allowance, cost, reach float64, priority int) float64 {
	mean := a.mean
	if mean == 0 {
		mean = cost
	}
	a.mean = mean + meanWeight*(cost-mean)
	switch {
	case cost < smallShare*mean:
		return cost - smallDebt*allowed.burst
	case reach < almostAll:
		return reserve(allowed, priority) + max(cost, mean)
	default:
		return reserve(allowed, priority) + max(mean, cost/2)
	}
}

// use counts cost, against the bucket first.
func (a *account) use(now time.Time, allowed allowance, cost float64) {
	fromBucket := cost
	if cost > 0 && a.bucket.level < cost {
		fromPace := min(cost-max(0, a.bucket.level), max(0, a.pace.level))
		a.pace.level -= fromPace
		fromBucket -= fromPace
	}
	a.bucket.level = min(a.bucket.level-fromBucket, allowed.burst)
	number := a.slotNumber(now, allowed)
	place := &a.sums[number%int64(len(a.sums))]
	if place.number != number {
		place.number, place.used = number, 0
	}
	place.used += cost
}

// used is the sum of the last window.
func (a *account) used(now time.Time, allowed allowance) float64 {
	newest := a.slotNumber(now, allowed)
	sum := 0.0
	for _, slot := range a.sums {
		if age := newest - slot.number; slot.number > 0 && age >= 0 && age <= slots {
			sum += slot.used
		}
	}
	return sum
}

// refuse is when a request that is refused now, for want of what is missing, should come
// back. Who is refused stands in a line: all would come back at once else, and all but
// one be refused again.
func (a *account) refuse(now time.Time, allowed allowance, missing, cost float64) time.Duration {
	rate := allowed.perSecond + allowed.pace
	if rate <= 0 {
		return allowed.length
	}
	from := now
	if a.line.After(now) {
		missing, from = 0, a.line
	}
	at := from.Add(time.Duration((missing + cost) / rate * float64(time.Second)))
	if latest := now.Add(allowed.length); at.After(latest) {
		at = latest
	}
	a.line = at
	return at.Sub(now)
}

// slot is the length of a part of the window.
func (a allowance) slot() time.Duration { return max(time.Millisecond, a.length/slots) }

// slotNumber counts from when the account was opened, as only the steady clock tells
// spans; 0 is no slot.
func (a *account) slotNumber(now time.Time, allowed allowance) int64 {
	return 1 + int64(now.Sub(a.opened)/allowed.slot())
}
