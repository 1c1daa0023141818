package placer

import (
	"math"
	"slices"
	"time"
)

// storeLimit learns how many loads from one weight store run at full speed concurrently, and how
// further loads are slowed down, since neither is configured. Stores behave in one of two ways:
// either concurrent loads share the bandwidth at every moment, or the duration of each load is
// fixed when it begins, in proportion to the number of loads then running. Each slowed load
// yields an estimate of the number under either mode; the mode under which the estimates agree
// better is taken to be the store's.
//
// The limit grows like a congestion window: by one with each load that was on time while the
// limit was in use, until the first loads were slowed; after that by the inverse of the limit.
type storeLimit struct {
	limit float64
	// estimate is the number derived from the last slowed loads; 0 if there were none. The limit
	// grows beyond it to find out whether more loads run at full speed by now.
	estimate float64
	// slowEstimates are the latest estimates from slowed loads.
	slowEstimates []concurrency
	// proven is the concurrency at which a load was recently on time; it is reset to 0 once
	// limitSamples loads were slowed since.
	proven          concurrency
	slowSinceProven int
}

// concurrency is a number of concurrent loads at full speed, under either mode.
type concurrency struct {
	// shared is based on the concurrency at each moment, fixed on the concurrency at the start.
	shared float64
	fixed  float64
}

// in returns the value for a mode.
func (c concurrency) in(mode contentionMode) float64 {
	if mode == contentionShared {
		return c.shared
	}
	return c.fixed
}

// max returns the higher value for each mode.
func (c concurrency) max(other concurrency) concurrency {
	return concurrency{shared: max(c.shared, other.shared), fixed: max(c.fixed, other.fixed)}
}

// contentionMode is how loads beyond the full-speed number are slowed down.
type contentionMode int

const (
	// contentionFixed means that the duration of a load is fixed when it begins.
	contentionFixed contentionMode = iota
	// contentionShared means that concurrent loads share the bandwidth.
	contentionShared
)

const (
	// initialStoreLimit is the limit before anything was learned.
	initialStoreLimit = 4
	// limitSamples is the number of estimates from which the limit is derived. The highest one
	// counts, so that a single slow server does not lower the limit for all.
	limitSamples = 5
	// modeSamples is the number of estimates from which the mode is derived.
	modeSamples = 6
	// minSlowSamples is the number of estimates needed before the limit is lowered.
	minSlowSamples = 2
	// lateSlack and lateSlackShare are how much longer than expected a load may take before it
	// counts as slowed, since reports lag.
	lateSlack      = 250 * time.Millisecond
	lateSlackShare = 0.08
)

// newStoreLimit returns a limit that starts from what earlier leaders learned; below 1 means
// nothing.
func newStoreLimit(learnedLoads float64) *storeLimit {
	if learnedLoads < 1 {
		return &storeLimit{limit: initialStoreLimit}
	}
	// Two samples end the initial phase, so the limit grows in small steps from the start.
	sample := concurrency{shared: learnedLoads, fixed: learnedLoads}
	return &storeLimit{limit: learnedLoads, estimate: learnedLoads, slowEstimates: []concurrency{sample, sample}}
}

// allowed returns the number of loads that may run concurrently.
func (l *storeLimit) allowed() int { return max(1, int(math.Round(l.limit))) }

// mode returns the mode under which the estimates differ least.
func (l *storeLimit) mode() contentionMode {
	if spread(l.slowEstimates, contentionShared) < spread(l.slowEstimates, contentionFixed) {
		return contentionShared
	}
	return contentionFixed
}

// spread returns how much the estimates differ under a mode, as the sum of the absolute
// deviations of their logarithms from the median, so that one slow server is not decisive.
func spread(estimates []concurrency, mode contentionMode) float64 {
	if len(estimates) < minSlowSamples {
		return 0
	}
	logs := make([]float64, 0, len(estimates))
	for _, estimate := range estimates {
		logs = append(logs, math.Log(max(1, estimate.in(mode))))
	}
	slices.Sort(logs)
	median, sum := logs[len(logs)/2], 0.0
	for _, value := range logs {
		sum += math.Abs(value - median)
	}
	return sum
}

// recordCompletion learns from a completed load.
func (l *storeLimit) recordCompletion(run *loadRun) {
	switch elapsed := run.elapsed(); {
	case run.isLate():
		l.recordSlow(run.estimateConcurrency())
	case elapsed <= run.fullSpeedTime+lateSlack:
		l.recordOnTime(run)
	default:
		// Slightly late. With a dozen concurrent loads, a single one too many has no larger
		// effect, so this shows nothing.
	}
}

// recordOverdue lowers the limit for loads that are overdue: it cannot exceed the highest of the
// estimates as if they ended now.
func (l *storeLimit) recordOverdue(runs []*loadRun) {
	if len(runs) < minSlowSamples {
		return
	}
	mode, greatest := l.mode(), 1.0
	for _, run := range runs {
		greatest = max(greatest, run.estimateConcurrency().in(mode))
	}
	l.limit = min(l.limit, max(greatest, l.proven.in(mode)))
	if l.estimate > 0 {
		l.estimate = min(l.estimate, l.limit)
	}
}

// recordSlow adds the estimate of a slowed load, and sets the limit to the highest of the latest
// estimates.
func (l *storeLimit) recordSlow(estimate concurrency) {
	l.slowEstimates = append(l.slowEstimates, estimate)
	if len(l.slowEstimates) > modeSamples {
		l.slowEstimates = l.slowEstimates[1:]
	}
	if l.slowSinceProven++; l.slowSinceProven >= limitSamples {
		l.proven = concurrency{}
	}
	if len(l.slowEstimates) < minSlowSamples {
		return
	}
	mode := l.mode()
	greatest := max(1, l.proven.in(mode))
	for _, sample := range l.slowEstimates[max(0, len(l.slowEstimates)-limitSamples):] {
		greatest = max(greatest, sample.in(mode))
	}
	l.limit, l.estimate = greatest, greatest
}

// fullSpeedLoads returns the number of concurrent loads at full speed, used to predict the end of
// loads.
func (l *storeLimit) fullSpeedLoads() float64 {
	if l.estimate == 0 {
		return l.limit
	}
	return max(l.estimate, l.proven.in(l.mode()))
}

// recordOnTime raises the limit after a load that was on time.
func (l *storeLimit) recordOnTime(run *loadRun) {
	observed := concurrency{shared: run.meanConcurrency(), fixed: float64(run.concurrentAtStart)}
	l.proven, l.slowSinceProven = l.proven.max(observed), 0
	hasEstimates := len(l.slowEstimates) > 0
	switch {
	case observed.shared < l.limit-1, hasEstimates && l.mode() == contentionFixed && run.concurrentAtStart < l.allowed():
		// The limit was not reached, so the load does not show that it can be raised.
	case !hasEstimates:
		l.limit++
	default:
		l.limit += 1 / l.limit
	}
}

// remaining returns the time until a load completes, given the current concurrency.
func (l *storeLimit) remaining(run *loadRun, concurrent int) time.Duration {
	if l.mode() == contentionShared {
		return run.remaining(l.fullSpeedLoads(), concurrent)
	}
	total := time.Duration(float64(run.fullSpeedTime) * max(1, float64(run.concurrentAtStart)/l.fullSpeedLoads()))
	return max(0, total-run.elapsed())
}

// loadRun measures one load from the weight store.
type loadRun struct {
	// fullSpeedTime is the duration of the load at full speed.
	fullSpeedTime time.Duration
	// concurrentAtStart is the number of loads running when it began, itself included.
	concurrentAtStart int
	// observedUntil is the end of the last span.
	observedUntil time.Time
	spans         []loadSpan
}

// loadSpan is a period during which the number of concurrent loads did not change.
type loadSpan struct {
	concurrent int
	duration   time.Duration
}

func newLoadRun(startedAt time.Time, fullSpeedTime time.Duration, concurrentAtStart int) *loadRun {
	return &loadRun{fullSpeedTime: fullSpeedTime, concurrentAtStart: concurrentAtStart, observedUntil: startedAt}
}

// extend adds the time up to now, during which the given number of loads ran, itself included.
func (r *loadRun) extend(now time.Time, concurrent int) {
	duration := now.Sub(r.observedUntil)
	if duration <= 0 {
		return
	}
	r.observedUntil = now
	if last := len(r.spans) - 1; last >= 0 && r.spans[last].concurrent == concurrent {
		r.spans[last].duration += duration
		return
	}
	r.spans = append(r.spans, loadSpan{concurrent: concurrent, duration: duration})
}

// elapsed returns the time observed so far.
func (r *loadRun) elapsed() time.Duration {
	total := time.Duration(0)
	for _, span := range r.spans {
		total += span.duration
	}
	return total
}

// isLate reports whether the load takes so long that it counts as slowed.
func (r *loadRun) isLate() bool {
	return r.elapsed() > r.fullSpeedTime+lateSlack+time.Duration(lateSlackShare*float64(r.fullSpeedTime))
}

// meanConcurrency returns the time-weighted mean number of concurrent loads.
func (r *loadRun) meanConcurrency() float64 {
	sum := 0.0
	for _, span := range r.spans {
		sum += float64(span.concurrent) * span.duration.Seconds()
	}
	return sum / max(r.elapsed().Seconds(), time.Millisecond.Seconds())
}

// progress returns how much of the load is done, in seconds at full speed, if up to limit
// concurrent loads run at full speed.
func (r *loadRun) progress(limit float64) float64 {
	done := 0.0
	for _, span := range r.spans {
		done += span.duration.Seconds() * min(1, limit/float64(max(1, span.concurrent)))
	}
	return done
}

// remaining returns the time until the load completes, given the current concurrency.
func (r *loadRun) remaining(limit float64, concurrent int) time.Duration {
	speed := min(1, limit/float64(max(1, concurrent)))
	seconds := max(0, r.fullSpeedTime.Seconds()-r.progress(limit)) / speed
	return time.Duration(seconds * float64(time.Second))
}

// bisectionSteps is the number of steps of the bisection in sharedEstimate.
const bisectionSteps = 20

// estimateConcurrency returns the numbers of concurrent loads at full speed that are consistent
// with the load having completed just now, or when the latest report was made.
func (r *loadRun) estimateConcurrency() concurrency {
	elapsed := max(r.elapsed()-maxReportAge, time.Millisecond)
	return concurrency{
		shared: r.sharedEstimate(),
		fixed:  max(1, float64(r.concurrentAtStart)*r.fullSpeedTime.Seconds()/elapsed.Seconds()),
	}
}

// sharedEstimate returns the estimate under contentionShared, by bisection.
func (r *loadRun) sharedEstimate() float64 {
	full := (r.fullSpeedTime + maxReportAge).Seconds()
	low, high := 0.0, 1.0
	for _, span := range r.spans {
		high = max(high, float64(span.concurrent))
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if r.progress(middle) < full {
			low = middle
		} else {
			high = middle
		}
	}
	return max(1, high)
}
