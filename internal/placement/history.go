package placement

import (
	"math"
	"time"
)

// Parameters of the distribution of idle times.
const (
	// bucketCount buckets cover idle times from one second to about a month in steps of
	// an eighth of a doubling.
	bucketCount      = 176
	bucketsPerDouble = 8
	// historyDecay is the factor by which the weight of earlier idle times decreases
	// with each new one.
	historyDecay = 0.998
	// priorWeight is the weight of the prior in idle times. The prior is the
	// distribution of a model without history, uniform over all buckets.
	priorWeight = 2.0
	// arrivalGap is the shortest gap between requests that counts as an idle time; shorter
	// ones are part of a burst.
	arrivalGap = time.Second
)

// history is a model's distribution of idle times: the gaps between the end of
// one burst of requests and the start of the next.
type history struct {
	buckets     [bucketCount]float64
	lastArrival time.Time
	// servedHere is set where the zone held the model, or had waiting requests for it,
	// at the last arrival; otherwise another zone serves it.
	servedHere bool
	loads      []time.Time
	// cachedRate is the result of wakeRate for cachedIdle, used until the idle time has
	// grown by more than 1/rateCacheDivisor of it.
	cachedRate    float64
	cachedIdle    time.Duration
	hasCachedRate bool
}

// bucketEdges are the lower bounds of the buckets in hours, followed by the last upper bound.
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

func (h *history) recordArrival(now time.Time) {
	if idle := now.Sub(h.lastArrival); !h.lastArrival.IsZero() && idle > arrivalGap {
		for index := range h.buckets {
			h.buckets[index] *= historyDecay
		}
		h.buckets[bucketOf(idle)]++
	}
	h.lastArrival = now
	h.hasCachedRate = false
}

// wakeRate returns the expected number of wakes per hour, over the future interval
// that maximizes it: the largest ratio of the probability that the model wakes within
// an interval to its expected idle time in it, given that it has been idle for so long.
func (h *history) wakeRate(idle time.Duration) float64 {
	if changed := idle - h.cachedIdle; h.hasCachedRate && changed >= 0 && changed <= h.cachedIdle/rateCacheDivisor {
		return h.cachedRate
	}
	h.cachedRate, h.cachedIdle, h.hasCachedRate = h.computeWakeRate(idle), idle, true
	return h.cachedRate
}

// rateCacheDivisor bounds the use of the cached rate: it is recomputed once the idle time has
// grown by more than 1/rateCacheDivisor of itself.
const rateCacheDivisor = 100

func (h *history) computeWakeRate(idle time.Duration) float64 {
	const prior = priorWeight / bucketCount
	first := bucketOf(idle)
	from := idle.Hours()
	firstFraction := (bucketEdges[first+1] - from) / (bucketEdges[first+1] - bucketEdges[first])
	stillIdle := 0.0
	for bucket := first; bucket < bucketCount; bucket++ {
		stillIdle += h.buckets[bucket] + prior
	}
	stillIdle -= (1 - firstFraction) * (h.buckets[first] + prior)
	woken, waited, best := 0.0, 0.0, 0.0
	for bucket := first; bucket < bucketCount; bucket++ {
		wakes := h.buckets[bucket] + prior
		if bucket == first {
			wakes *= firstFraction
		}
		waited += (stillIdle - woken - wakes/2) * (bucketEdges[bucket+1] - from)
		from = bucketEdges[bucket+1]
		woken += wakes
		best = max(best, woken/waited)
	}
	return best
}
