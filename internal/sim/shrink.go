package sim

import (
	"slices"
	"time"
)

// minFaultDuration is the duration at or below which a fault is not shortened
// further.
const minFaultDuration = 50 * time.Millisecond

// Shrink searches for a smaller plan that still fails. It removes faults, first
// in large chunks and finally one by one, and then halves the durations of the
// remaining ones. It calls fails at most limit times, and returns a plan that
// failed or the plan it was given.
func Shrink(plan Plan, limit int, fails func(Plan) bool) Plan {
	search := &shrinker{runsLeft: limit, fails: fails}
	plan = search.dropFaults(plan)
	return search.shortenFaults(plan)
}

type shrinker struct {
	runsLeft int
	fails    func(Plan) bool
}

func (s *shrinker) try(plan Plan) bool {
	if s.runsLeft <= 0 {
		return false
	}
	s.runsLeft--
	return s.fails(plan)
}

// dropFaults removes chunks of the plan, halving the chunk where none can go.
func (s *shrinker) dropFaults(plan Plan) Plan {
	for size := len(plan); size >= 1; {
		smaller, found := s.dropChunks(plan, size)
		plan = smaller
		if !found || size > len(plan) {
			size = min(size/2, len(plan))
		}
	}
	return plan
}

// dropChunks drops every chunk of the size that the failure does not need.
func (s *shrinker) dropChunks(plan Plan, size int) (Plan, bool) {
	removed := false
	for start := 0; start < len(plan); {
		candidate := slices.Delete(slices.Clone(plan), start, min(start+size, len(plan)))
		if s.try(candidate) {
			plan, removed = candidate, true
			continue
		}
		start += size
	}
	return plan, removed
}

func (s *shrinker) shortenFaults(plan Plan) Plan {
	for index := range plan {
		for plan[index].For > minFaultDuration {
			candidate := slices.Clone(plan)
			candidate[index].For /= 2
			if !s.try(candidate) {
				break
			}
			plan = candidate
		}
	}
	return plan
}
