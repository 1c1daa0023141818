package queue

import (
	"math"
	"slices"
	"time"
)

const (
	// arrivalRateWindow is the minimum time over which arrivals are counted.
	arrivalRateWindow = time.Second
	// arrivalRateDecay is the weight of a previous rate after one second.
	arrivalRateDecay = 0.8
	// overtakingIterations is the number of times that the wait is recomputed with
	// the requests that arrive during it. The wait grows with each iteration, so
	// that stopping early gives a lower bound.
	overtakingIterations = 8
	// overtakingRateShare is the share of an arrival rate that the estimate assumes.
	// Rates are noisy, and a request that is refused by mistake is lost.
	overtakingRateShare = 0.85
)

// arrivalRates tracks the arrival rate of requests in one subqueue by priority.
type arrivalRates struct {
	windowStart time.Time
	priorities  []priorityArrivals
}

type priorityArrivals struct {
	priority int
	count    int
	// rate is in requests per second.
	rate float64
}

func (a *arrivalRates) record(now time.Time, priority int) {
	a.update(now)
	at, found := slices.BinarySearchFunc(a.priorities, priority, func(p priorityArrivals, target int) int {
		return p.priority - target
	})
	if !found {
		a.priorities = slices.Insert(a.priorities, at, priorityArrivals{priority: priority})
	}
	a.priorities[at].count++
}

func (a *arrivalRates) update(now time.Time) {
	elapsed := now.Sub(a.windowStart)
	if elapsed < arrivalRateWindow {
		return
	}
	decay := math.Pow(arrivalRateDecay, elapsed.Seconds())
	for index := range a.priorities {
		arrivals := &a.priorities[index]
		arrivals.rate = decay*arrivals.rate + (1-decay)*float64(arrivals.count)/elapsed.Seconds()
		arrivals.count = 0
	}
	a.windowStart = now
}

// withOvertaking adds to a wait the time for requests of a higher priority that
// arrive during it. A request with a priority higher by n overtakes only if it
// arrives within n aging steps.
func (a *arrivalRates) withOvertaking(wait, releaseInterval, agingStep time.Duration, priority int) time.Duration {
	total := wait
	for range overtakingIterations {
		next := wait
		for _, arrivals := range a.priorities {
			if arrivals.priority > priority {
				window := min(total, time.Duration(arrivals.priority-priority)*agingStep)
				next += time.Duration(overtakingRateShare * arrivals.rate * window.Seconds() * float64(releaseInterval))
			}
		}
		total = next
	}
	return total
}
