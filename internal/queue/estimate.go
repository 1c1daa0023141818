package queue

import "time"

// estimateWeight is the share that a new sample has in an estimate.
const estimateWeight = 0.2

// estimate is a smoothed duration; zero until the first sample.
type estimate struct {
	value time.Duration
}

func (e *estimate) add(sample time.Duration) {
	if e.value == 0 {
		e.value = sample
		return
	}
	e.value += time.Duration(estimateWeight * float64(sample-e.value))
}
