package placer

import (
	"math"
	"time"
)

// interest is what all nodes together want of one thing.
type interest struct {
	// fast follows the demand of now, slow that of some time.
	fast   flow
	slow   flow
	fadeAt time.Time
	// goal is the tightest objective of those who ask; 0 where none is told.
	goal time.Duration
	// lastAsk is when the last request came.
	lastAsk time.Time
	// waiting are requests that have no server now, by node.
	waiting map[string]waiting
	// from are the requests of now by the region of the nodes that they came to.
	from map[string]float64
	// waitingSince is when requests began to wait; zero while none does.
	waitingSince time.Time
}

// flow is requests and prompt tokens in a second, faded over time.
type flow struct {
	requests float64
	tokens   float64
}

func (f *flow) fade(past, over time.Duration) {
	keep := math.Exp(-past.Seconds() / over.Seconds())
	f.requests *= keep
	f.tokens *= keep
}

func (f *flow) add(requests, tokens float64, over time.Duration) {
	f.requests += requests / over.Seconds()
	f.tokens += tokens / over.Seconds()
}

type waiting struct {
	count int
	at    time.Time
}

const (
	// fastTime and slowTime are the times over which rates fade.
	fastTime = 3 * time.Second
	slowTime = 12 * time.Second
	// waitingAge is how long a node's word of its waiting requests is believed.
	waitingAge = 1500 * time.Millisecond
)

func (i *interest) fade(now time.Time) {
	if !i.fadeAt.IsZero() {
		i.fadeRegions(now.Sub(i.fadeAt))
		i.fast.fade(now.Sub(i.fadeAt), fastTime)
		i.slow.fade(now.Sub(i.fadeAt), slowTime)
	}
	i.fadeAt = now
}

// add counts requests that came just now to nodes of a region.
func (i *interest) add(now time.Time, requests, tokens float64, goal time.Duration, region string) {
	i.fade(now)
	i.fast.add(requests, tokens, fastTime)
	i.slow.add(requests, tokens, slowTime)
	i.lastAsk = now
	if region != "" {
		i.addRegion(region, requests)
	}
	if goal > 0 && (i.goal == 0 || goal < i.goal) {
		i.goal = goal
	}
}

func (i *interest) waits(now time.Time) int {
	total := 0
	for _, w := range i.waiting {
		if now.Sub(w.at) < waitingAge {
			total += w.count
		}
	}
	return total
}

// stuckTime is how long requests wait beside a copy until it counts as out of
// their reach: its server may be down, cut off or refuse them.
const stuckTime = 400 * time.Millisecond

// isStuck reports whether requests wait though the leader knows a copy.
func (i *interest) isStuck(now time.Time) bool {
	return i != nil && !i.waitingSince.IsZero() && now.Sub(i.waitingSince) > stuckTime
}
