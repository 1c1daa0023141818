package queue

import "time"

const (
	// estimateWeight is the share that a new sample has in an estimate.
	estimateWeight = 0.2
	// lowWeight is how fast the low estimate follows when samples are larger.
	lowWeight = 0.05
)

// estimate is a smoothed duration, and a low one that only a lucky request
// falls below. Both are zero until the first sample.
type estimate struct {
	known bool
	value time.Duration
	low   time.Duration
}

func (e *estimate) add(sample time.Duration) {
	if !e.known {
		e.known, e.value, e.low = true, sample, sample
		return
	}
	e.value += time.Duration(estimateWeight * float64(sample-e.value))
	if sample < e.low {
		e.low = sample
		return
	}
	e.low += time.Duration(lowWeight * float64(sample-e.low))
}
