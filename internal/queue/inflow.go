package queue

import (
	"math"
	"slices"
	"time"
)

const (
	// inflowWindow is the least time over which arrivals are counted.
	inflowWindow = time.Second
	// inflowKept is the part of a rate that is left after a second.
	inflowKept = 0.8
	// overtakeRounds is how often the wait is worked out again with those that
	// arrive in it. Each round adds to it, so that it stays a low estimate.
	overtakeRounds = 8
	// overtakeShare is the part of a rate that is counted on: rates are noisy,
	// and a request refused in error is lost.
	overtakeShare = 0.85
)

// inflow is how many requests of each priority come into a line.
type inflow struct {
	from       time.Time
	priorities []priorityInflow
}

type priorityInflow struct {
	priority int
	count    int
	// rate is in requests a second.
	rate float64
}

func (i *inflow) note(now time.Time, priority int) {
	i.roll(now)
	at, found := slices.BinarySearchFunc(i.priorities, priority, func(p priorityInflow, wanted int) int {
		return p.priority - wanted
	})
	if !found {
		i.priorities = slices.Insert(i.priorities, at, priorityInflow{priority: priority})
	}
	i.priorities[at].count++
}

func (i *inflow) roll(now time.Time) {
	elapsed := now.Sub(i.from)
	if elapsed < inflowWindow {
		return
	}
	kept := math.Pow(inflowKept, elapsed.Seconds())
	for index := range i.priorities {
		each := &i.priorities[index]
		each.rate = kept*each.rate + (1-kept)*float64(each.count)/elapsed.Seconds()
		each.count = 0
	}
	i.from = now
}

// withOvertaking adds to a wait the time for requests of higher priorities that
// arrive in it. They overtake only for as many steps of aging as their
// priority is higher.
func (i *inflow) withOvertaking(wait, pace, agingStep time.Duration, priority int) time.Duration {
	full := wait
	for range overtakeRounds {
		longer := wait
		for _, each := range i.priorities {
			if each.priority > priority {
				open := min(full, time.Duration(each.priority-priority)*agingStep)
				longer += time.Duration(overtakeShare * each.rate * open.Seconds() * float64(pace))
			}
		}
		full = longer
	}
	return full
}
