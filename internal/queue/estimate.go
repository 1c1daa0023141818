package queue

import "time"

const (
	// estimateWeight is the weight of a new sample in the mean.
	estimateWeight = 0.2
	// optimisticRiseWeight is the weight of a new sample in the optimistic estimate
	// if the sample is larger. Smaller samples replace the estimate.
	optimisticRiseWeight = 0.05
)

// estimate is an exponentially weighted mean of durations, together with an
// optimistic estimate that few durations fall below. Both are zero until the first
// sample.
type estimate struct {
	known      bool
	mean       time.Duration
	optimistic time.Duration
}

func (e *estimate) add(sample time.Duration) {
	if !e.known {
		e.known, e.mean, e.optimistic = true, sample, sample
		return
	}
	e.mean += time.Duration(estimateWeight * float64(sample-e.mean))
	if sample < e.optimistic {
		e.optimistic = sample
		return
	}
	e.optimistic += time.Duration(optimisticRiseWeight * float64(sample-e.optimistic))
}
