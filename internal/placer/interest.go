package placer

import (
	"math"
	"time"
)

// demandRecord aggregates the demand of all nodes for one model or adapter with one set of
// allowed regions.
type demandRecord struct {
	// fastRate follows the current demand, slowRate its average over a longer time.
	fastRate  demandRate
	slowRate  demandRate
	decayedAt time.Time
	// latencyGoal is the strictest goal among the requests; 0 if none was given.
	latencyGoal time.Duration
	// lastRequest is when the last request arrived.
	lastRequest time.Time
	// waiting holds the requests that no server can take at present, by node.
	waiting map[string]waitingCount
	// byRegion is the slowly decaying request rate by the region of the receiving node.
	byRegion map[string]float64
	// waitingSince is when requests began to wait; zero if none is waiting.
	waitingSince time.Time
}

// demandRate is an exponentially decaying rate of requests and prompt tokens per second.
type demandRate struct {
	requests float64
	tokens   float64
}

func (d *demandRate) decay(elapsed, timeConstant time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	d.requests *= keep
	d.tokens *= keep
}

func (d *demandRate) add(requests, tokens float64, timeConstant time.Duration) {
	d.requests += requests / timeConstant.Seconds()
	d.tokens += tokens / timeConstant.Seconds()
}

// waitingCount is a number of waiting requests and when it was reported.
type waitingCount struct {
	count      int
	receivedAt time.Time
}

const (
	// fastDecayTime and slowDecayTime are the time constants of the decaying rates.
	fastDecayTime = 3 * time.Second
	slowDecayTime = 12 * time.Second
	// waitingCountTTL is how long a node's report of its waiting requests is valid.
	waitingCountTTL = 1500 * time.Millisecond
)

func (d *demandRecord) decay(now time.Time) {
	if !d.decayedAt.IsZero() {
		d.decayRegions(now.Sub(d.decayedAt))
		d.fastRate.decay(now.Sub(d.decayedAt), fastDecayTime)
		d.slowRate.decay(now.Sub(d.decayedAt), slowDecayTime)
	}
	d.decayedAt = now
}

// add counts requests that have just arrived at nodes of a region.
func (d *demandRecord) add(now time.Time, requests, tokens float64, latencyGoal time.Duration, region string) {
	d.decay(now)
	d.fastRate.add(requests, tokens, fastDecayTime)
	d.slowRate.add(requests, tokens, slowDecayTime)
	d.lastRequest = now
	if region != "" {
		d.addRegionRequests(region, requests)
	}
	if latencyGoal > 0 && (d.latencyGoal == 0 || latencyGoal < d.latencyGoal) {
		d.latencyGoal = latencyGoal
	}
}

// waitingRequests returns the number of waiting requests over all nodes.
func (d *demandRecord) waitingRequests(now time.Time) int {
	total := 0
	for _, w := range d.waiting {
		if now.Sub(w.receivedAt) < waitingCountTTL {
			total += w.count
		}
	}
	return total
}

// unreachableDelay is how long requests wait although there is a copy before that copy counts as
// unreachable for them: its server may be down, partitioned, or refusing them.
const unreachableDelay = 400 * time.Millisecond

// isStuck reports whether requests have been waiting for longer than unreachableDelay.
func (d *demandRecord) isStuck(now time.Time) bool {
	return d != nil && !d.waitingSince.IsZero() && now.Sub(d.waitingSince) > unreachableDelay
}
