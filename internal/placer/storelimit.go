package placer

import (
	"math"
	"time"
)

// storeLimit learns how many loads from one weight store run at full speed at
// once. Nobody tells that number; loads beyond it share the store's bandwidth,
// so that each takes longer in proportion, and none comes sooner. It differs
// from the rate at which loads may begin.
//
// The limit rises as a congestion window does: by one with each load that was
// in time while the limit was used, until loads were first slowed; after that by
// its inverse. A load that was slowed tells the number itself, since the leader
// knows how many ran beside it at each moment.
type storeLimit struct {
	atOnce float64
	// slowed are the newest estimates from loads that were slowed.
	slowed []float64
	// proven is the number beside which a load was in time of late; 0 once as
	// many loads as slowedKept were slowed since.
	proven      float64
	slowedSince int
}

const (
	// firstLoadsAtOnce is the limit where nothing is known.
	firstLoadsAtOnce = 4
	// slowedKept is the number of estimates that the limit is taken from: their
	// greatest, so that one slow server does not lower it for all.
	slowedKept = 3
	// slowedNeeded is the number of estimates that first lower the limit.
	slowedNeeded = 2
	// loadSlack and loadSlackShare are what a load may take beyond its time
	// before it counts as slowed: reports lag.
	loadSlack      = 250 * time.Millisecond
	loadSlackShare = 0.08
)

func newStoreLimit(atOnce float64) *storeLimit {
	if atOnce < 1 {
		return &storeLimit{atOnce: firstLoadsAtOnce}
	}
	// Earlier leaders learned it: it is not searched for again in great steps.
	return &storeLimit{atOnce: atOnce, slowed: []float64{atOnce, atOnce}}
}

// allowed is the number of loads that may run at once.
func (l *storeLimit) allowed() int { return max(1, int(math.Round(l.atOnce))) }

// ended takes a load that is done.
func (l *storeLimit) ended(run *loadRun) {
	if run.isLate() {
		l.takeSlowed(run.estimate())
		return
	}
	l.takeInTime(run.beside())
}

// overdue takes the loads that are under way for longer than their time: the
// number is no greater than if they ended now.
func (l *storeLimit) overdue(runs []*loadRun) {
	if len(runs) < slowedNeeded {
		return
	}
	greatest := 1.0
	for _, run := range runs {
		greatest = max(greatest, run.estimate())
	}
	l.atOnce = min(l.atOnce, max(greatest, l.proven))
}

func (l *storeLimit) takeSlowed(estimate float64) {
	l.slowed = append(l.slowed, estimate)
	if len(l.slowed) > slowedKept {
		l.slowed = l.slowed[1:]
	}
	if l.slowedSince++; l.slowedSince >= slowedKept {
		l.proven = 0
	}
	if len(l.slowed) < slowedNeeded {
		return
	}
	greatest := max(1, l.proven)
	for _, known := range l.slowed {
		greatest = max(greatest, known)
	}
	l.atOnce = greatest
}

func (l *storeLimit) takeInTime(beside float64) {
	l.proven, l.slowedSince = max(l.proven, beside), 0
	switch {
	case beside < l.atOnce-1:
		// The limit was not used: this says nothing of it.
	case len(l.slowed) == 0:
		l.atOnce++
	default:
		l.atOnce += 1 / l.atOnce
	}
}

// loadRun is one load from the weight store under way.
type loadRun struct {
	// full is the time of the load at full speed.
	full time.Duration
	// seen is up to when the spans reach.
	seen  time.Time
	spans []loadSpan
}

// loadSpan is a time in which a number of loads ran at once.
type loadSpan struct {
	atOnce int
	lasted time.Duration
}

func newLoadRun(begun time.Time, full time.Duration) *loadRun {
	return &loadRun{full: full, seen: begun}
}

// ranBeside extends the run to now, with a number of loads at once, itself
// included.
func (r *loadRun) ranBeside(now time.Time, atOnce int) {
	lasted := now.Sub(r.seen)
	if lasted <= 0 {
		return
	}
	r.seen = now
	if last := len(r.spans) - 1; last >= 0 && r.spans[last].atOnce == atOnce {
		r.spans[last].lasted += lasted
		return
	}
	r.spans = append(r.spans, loadSpan{atOnce: atOnce, lasted: lasted})
}

func (r *loadRun) took() time.Duration {
	total := time.Duration(0)
	for _, span := range r.spans {
		total += span.lasted
	}
	return total
}

func (r *loadRun) isLate() bool {
	return r.took() > r.full+loadSlack+time.Duration(loadSlackShare*float64(r.full))
}

// beside is the mean number of loads that ran at once.
func (r *loadRun) beside() float64 {
	sum := 0.0
	for _, span := range r.spans {
		sum += float64(span.atOnce) * span.lasted.Seconds()
	}
	return sum / max(r.took().Seconds(), time.Millisecond.Seconds())
}

// progress is how much of the load is done, in seconds at full speed, where so
// many loads run at full speed.
func (r *loadRun) progress(limit float64) float64 {
	done := 0.0
	for _, span := range r.spans {
		done += span.lasted.Seconds() * min(1, limit/float64(max(1, span.atOnce)))
	}
	return done
}

// left is the time that the load still takes where so many run at once now.
func (r *loadRun) left(limit float64, atOnce int) time.Duration {
	speed := min(1, limit/float64(max(1, atOnce)))
	seconds := max(0, r.full.Seconds()-r.progress(limit)) / speed
	return time.Duration(seconds * float64(time.Second))
}

// estimateSteps halve the range of the estimate.
const estimateSteps = 20

// estimate is the number of loads at full speed by which the load would have
// ended just now, or when the newest report was made.
func (r *loadRun) estimate() float64 {
	full := (r.full + reportLag).Seconds()
	low, high := 0.0, 1.0
	for _, span := range r.spans {
		high = max(high, float64(span.atOnce))
	}
	for range estimateSteps {
		middle := (low + high) / 2
		if r.progress(middle) < full {
			low = middle
		} else {
			high = middle
		}
	}
	return max(1, high)
}
