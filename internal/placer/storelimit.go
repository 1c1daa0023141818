package placer

import (
	"math"
	"slices"
	"time"
)

// storeLimit learns how many loads from one weight store run at full speed at
// once, and how loads beyond that number are slowed. Nobody tells either. Stores
// follow one of two laws: loads share the bandwidth from moment to moment, or each
// takes as much longer as there are too many when it begins, to its end. Each load
// that was slowed tells the number under either law; the law by which the numbers
// agree is the store's.
//
// The limit rises as a congestion window does: by one with each load that was
// in time while the limit was used, until loads were first slowed; after that by
// its inverse.
type storeLimit struct {
	atOnce float64
	// told is the number that the loads slowed last told; 0 where none was. The
	// limit rises beyond it to find out whether more run at full speed by now.
	told float64
	// slowed are the newest estimates from loads that were slowed.
	slowed []widths
	// proven is the number beside which a load was in time of late; 0 once as
	// many loads as slowedKept were slowed since.
	proven      widths
	slowedSince int
}

// widths is one number of loads at full speed, by either law.
type widths struct {
	// shared goes by the loads beside at each moment, settled by those at the
	// beginning.
	shared  float64
	settled float64
}

func (w widths) under(law storeLaw) float64 {
	if law == lawShared {
		return w.shared
	}
	return w.settled
}

func (w widths) atLeast(other widths) widths {
	return widths{shared: max(w.shared, other.shared), settled: max(w.settled, other.settled)}
}

// storeLaw says how loads beyond the number are slowed.
type storeLaw int

const (
	// lawSettled is that a load's time is settled when it begins.
	lawSettled storeLaw = iota
	// lawShared is that loads share the bandwidth.
	lawShared
)

const (
	// firstLoadsAtOnce is the limit where nothing is known.
	firstLoadsAtOnce = 4
	// slowedKept is the number of estimates that the limit is taken from: their
	// greatest, so that one slow server does not lower it for all.
	slowedKept = 5
	// lawKept is the number of estimates that tell the law.
	lawKept = 6
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
	learned := widths{shared: atOnce, settled: atOnce}
	return &storeLimit{atOnce: atOnce, told: atOnce, slowed: []widths{learned, learned}}
}

// allowed is the number of loads that may run at once.
func (l *storeLimit) allowed() int { return max(1, int(math.Round(l.atOnce))) }

// law is the law by which the estimates differ least.
func (l *storeLimit) law() storeLaw {
	if spread(l.slowed, lawShared) < spread(l.slowed, lawSettled) {
		return lawShared
	}
	return lawSettled
}

// spread is how much estimates differ under a law, as the sum of their distances
// from the middle one on a scale of ratios: one slow server does not decide.
func spread(estimates []widths, law storeLaw) float64 {
	if len(estimates) < slowedNeeded {
		return 0
	}
	logs := make([]float64, 0, len(estimates))
	for _, estimate := range estimates {
		logs = append(logs, math.Log(max(1, estimate.under(law))))
	}
	slices.Sort(logs)
	middle, sum := logs[len(logs)/2], 0.0
	for _, each := range logs {
		sum += math.Abs(each - middle)
	}
	return sum
}

// ended takes a load that is done.
func (l *storeLimit) ended(run *loadRun) {
	switch took := run.took(); {
	case run.isLate():
		l.takeSlowed(run.estimates())
	case took <= run.full+loadSlack:
		l.takeInTime(run)
	default:
		// A little late: it proves nothing, one too many of a dozen shows no more.
	}
}

// overdue takes the loads that are under way for longer than their time: the
// number is no greater than if they ended now.
func (l *storeLimit) overdue(runs []*loadRun) {
	if len(runs) < slowedNeeded {
		return
	}
	law, greatest := l.law(), 1.0
	for _, run := range runs {
		greatest = max(greatest, run.estimates().under(law))
	}
	l.atOnce = min(l.atOnce, max(greatest, l.proven.under(law)))
	if l.told > 0 {
		l.told = min(l.told, l.atOnce)
	}
}

func (l *storeLimit) takeSlowed(estimate widths) {
	l.slowed = append(l.slowed, estimate)
	if len(l.slowed) > lawKept {
		l.slowed = l.slowed[1:]
	}
	if l.slowedSince++; l.slowedSince >= slowedKept {
		l.proven = widths{}
	}
	if len(l.slowed) < slowedNeeded {
		return
	}
	law := l.law()
	greatest := max(1, l.proven.under(law))
	for _, known := range l.slowed[max(0, len(l.slowed)-slowedKept):] {
		greatest = max(greatest, known.under(law))
	}
	l.atOnce, l.told = greatest, greatest
}

// width is the number of loads at full speed by which ends are foretold.
func (l *storeLimit) width() float64 {
	if l.told == 0 {
		return l.atOnce
	}
	return max(l.told, l.proven.under(l.law()))
}

func (l *storeLimit) takeInTime(run *loadRun) {
	beside := widths{shared: run.beside(), settled: float64(run.atStart)}
	l.proven, l.slowedSince = l.proven.atLeast(beside), 0
	isLearned := len(l.slowed) > 0
	switch {
	case beside.shared < l.atOnce-1, isLearned && l.law() == lawSettled && run.atStart < l.allowed():
		// The limit was not used: this says nothing of it.
	case !isLearned:
		l.atOnce++
	default:
		l.atOnce += 1 / l.atOnce
	}
}

// left is the time that a load still takes where so many run at once now.
func (l *storeLimit) left(run *loadRun, atOnce int) time.Duration {
	if l.law() == lawShared {
		return run.left(l.width(), atOnce)
	}
	takes := time.Duration(float64(run.full) * max(1, float64(run.atStart)/l.width()))
	return max(0, takes-run.took())
}

// loadRun is one load from the weight store under way.
type loadRun struct {
	// full is the time of the load at full speed.
	full time.Duration
	// atStart is the number of loads at once when it began, itself included.
	atStart int
	// seen is up to when the spans reach.
	seen  time.Time
	spans []loadSpan
}

// loadSpan is a time in which a number of loads ran at once.
type loadSpan struct {
	atOnce int
	lasted time.Duration
}

func newLoadRun(begun time.Time, full time.Duration, atStart int) *loadRun {
	return &loadRun{full: full, atStart: atStart, seen: begun}
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

// estimates are the numbers of loads at full speed by which the load would have
// ended just now, or when the newest report was made.
func (r *loadRun) estimates() widths {
	took := max(r.took()-reportLag, time.Millisecond)
	return widths{
		shared:  r.sharedWidth(),
		settled: max(1, float64(r.atStart)*r.full.Seconds()/took.Seconds()),
	}
}

// sharedWidth is the estimate where loads share the bandwidth.
func (r *loadRun) sharedWidth() float64 {
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
