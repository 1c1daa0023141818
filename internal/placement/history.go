package placement

import (
	"math"
	"time"
)

// bucketCount covers idle times from one second to about a month in steps of
// an eighth of a doubling.
const (
	bucketCount      = 176
	bucketsPerDouble = 8
	// historyDecay makes what a model did long ago count less with each
	// further idle time.
	historyDecay = 0.998
	// priorWeight is how many idle times the prior counts for: those that a
	// model may have about which nothing is known, spread over all buckets.
	priorWeight = 2.0
	// arrivalGap separates idle times from the gaps within a burst.
	arrivalGap = time.Second
)

// history is a model's distribution of idle times: the gaps between the end of
// one burst of requests and the start of the next.
type history struct {
	buckets     [bucketCount]float64
	lastArrival time.Time
	// here is set where the zone held the model, or was asked for it, at the
	// last arrival; else another zone serves it.
	here  bool
	loads []time.Time
	// index is what wakeIndex returned for an idle time; recomputed where that
	// has changed by much.
	index      float64
	indexIdle  time.Duration
	indexKnown bool
}

// bucketEdges are the lower ends of the buckets in hours, and the last upper end.
var bucketEdges = func() (edges [bucketCount + 1]float64) {
	for bucket := range edges {
		edges[bucket] = math.Exp2(float64(bucket)/bucketsPerDouble) / time.Hour.Seconds()
	}
	edges[0] = 0
	return edges
}()

func bucketOf(idle time.Duration) int {
	if idle < time.Second {
		return 0
	}
	return min(bucketCount-1, int(math.Log2(idle.Seconds())*bucketsPerDouble))
}

func (h *history) arrive(now time.Time) {
	if idle := now.Sub(h.lastArrival); !h.lastArrival.IsZero() && idle > arrivalGap {
		for index := range h.buckets {
			h.buckets[index] *= historyDecay
		}
		h.buckets[bucketOf(idle)]++
	}
	h.lastArrival = now
	h.indexKnown = false
}

// wakeIndex is how many times an hour the model wakes from now on, over the
// span ahead that makes it most: the largest quotient of the chance that it
// wakes within a span and the time for which it is idle in that span, given
// that it has been idle for so long.
func (h *history) wakeIndex(idle time.Duration) float64 {
	if changed := idle - h.indexIdle; h.indexKnown && changed >= 0 && changed <= h.indexIdle/indexStep {
		return h.index
	}
	h.index, h.indexIdle, h.indexKnown = h.computeIndex(idle), idle, true
	return h.index
}

// indexStep is the part of the idle time after which the index is worked out anew.
const indexStep = 100

func (h *history) computeIndex(idle time.Duration) float64 {
	const prior = priorWeight / bucketCount
	first := bucketOf(idle)
	from := idle.Hours()
	inFirst := (bucketEdges[first+1] - from) / (bucketEdges[first+1] - bucketEdges[first])
	alive := 0.0
	for bucket := first; bucket < bucketCount; bucket++ {
		alive += h.buckets[bucket] + prior
	}
	alive -= (1 - inFirst) * (h.buckets[first] + prior)
	woken, waited, best := 0.0, 0.0, 0.0
	for bucket := first; bucket < bucketCount; bucket++ {
		wakes := h.buckets[bucket] + prior
		if bucket == first {
			wakes *= inFirst
		}
		waited += (alive - woken - wakes/2) * (bucketEdges[bucket+1] - from)
		from = bucketEdges[bucket+1]
		woken += wakes
		best = max(best, woken/waited)
	}
	return best
}
