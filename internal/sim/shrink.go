package sim

import (
	"slices"
	"time"
)

// shortestFault ends the search for a shorter fault.
const shortestFault = 50 * time.Millisecond

// Shrink looks for a smaller plan that still fails: it drops faults, at first
// many at once, then one by one, and then halves how long the rest last. It
// calls fails at most limit times, and returns a plan that failed or the plan
// it was given.
func Shrink(plan Plan, limit int, fails func(Plan) bool) Plan {
	search := &shrinker{left: limit, fails: fails}
	plan = search.drop(plan)
	return search.shorten(plan)
}

type shrinker struct {
	left  int
	fails func(Plan) bool
}

func (s *shrinker) try(plan Plan) bool {
	if s.left <= 0 {
		return false
	}
	s.left--
	return s.fails(plan)
}

// drop removes chunks of the plan, halving the chunk where none can go.
func (s *shrinker) drop(plan Plan) Plan {
	for size := len(plan); size >= 1; {
		smaller, found := s.dropChunk(plan, size)
		plan = smaller
		if !found || size > len(plan) {
			size = min(size/2, len(plan))
		}
	}
	return plan
}

// dropChunk drops every chunk of the size that the failure does not need.
func (s *shrinker) dropChunk(plan Plan, size int) (Plan, bool) {
	found := false
	for start := 0; start < len(plan); {
		candidate := slices.Delete(slices.Clone(plan), start, min(start+size, len(plan)))
		if s.try(candidate) {
			plan, found = candidate, true
			continue
		}
		start += size
	}
	return plan, found
}

func (s *shrinker) shorten(plan Plan) Plan {
	for index := range plan {
		for plan[index].For > shortestFault {
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
