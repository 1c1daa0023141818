package placement

import (
	"math"
	"time"
)

// bucketCount covers idle times from one second to about a month in steps of
// a quarter of a doubling.
const (
	bucketCount       = 88
	bucketsPerDouble  = 4
	historyDecay      = 0.98
	minimumHistory    = 4.0
	keepAliveQuantile = 0.5
	// arrivalGap separates idle times from the gaps within a burst.
	arrivalGap = time.Second
)

// history is a model's distribution of idle times: the gaps between the end of
// one burst of requests and the start of the next.
type history struct {
	buckets     [bucketCount]float64
	weight      float64
	lastArrival time.Time
	loads       []time.Time
}

func bucketOf(idle time.Duration) int {
	if idle < time.Second {
		return 0
	}
	return min(bucketCount-1, int(math.Log2(idle.Seconds())*bucketsPerDouble))
}

func bucketEnd(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1)/bucketsPerDouble) * float64(time.Second))
}

func (h *history) arrive(now time.Time) {
	if idle := now.Sub(h.lastArrival); !h.lastArrival.IsZero() && idle > arrivalGap {
		h.decay()
		h.buckets[bucketOf(idle)]++
		h.weight++
	}
	h.lastArrival = now
}

func (h *history) decay() {
	for index := range h.buckets {
		h.buckets[index] *= historyDecay
	}
	h.weight *= historyDecay
}

// quantile is the idle time that the share of the gaps does not exceed.
func (h *history) quantile(share float64) time.Duration {
	below := 0.0
	for bucket, count := range h.buckets {
		below += count
		if below >= share*h.weight {
			return bucketEnd(bucket)
		}
	}
	return bucketEnd(bucketCount - 1)
}

func (h *history) known() bool { return h.weight >= minimumHistory }

// chance is the probability that the model wakes within the span, given that
// it has been idle for so long.
func (h *history) chance(idle, span time.Duration) float64 {
	from, to := bucketOf(idle), bucketOf(idle+span)
	after, within := 0.0, 0.0
	for bucket := from; bucket < bucketCount; bucket++ {
		after += h.buckets[bucket]
		if bucket <= to {
			within += h.buckets[bucket]
		}
	}
	if after == 0 {
		return 0
	}
	return within / after
}
