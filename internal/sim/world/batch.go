package world

import (
	"runtime/debug"

	"github.com/spanlanding/spanlanding/internal/sim"
)

// gcPercent makes garbage collections less frequent: a run has a small live
// heap and allocates a lot.
const gcPercent = 400

// RunBatch runs count consecutive seeds starting at first with several workers.
func RunBatch(config Config, first uint64, count, workers int, progress func(done int)) []sim.Report {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	run := func(seed uint64) sim.Report { return Run(config, seed, nil, nil) }
	return sim.RunBatch(first, count, workers, run, progress)
}

// shrinkLimit is the maximum number of runs in the search for a smaller plan.
const shrinkLimit = 150

// Shrink removes and shortens faults of a failed run as long as at least one of
// the rules that the run violated is still violated.
func Shrink(config Config, failed sim.Report) sim.Plan {
	violated := failed.Violated()
	return sim.Shrink(failed.Plan, shrinkLimit, func(plan sim.Plan) bool {
		return sharesRule(violated, Run(config, failed.Seed, plan, nil).Violated())
	})
}

func sharesRule(expected, violated []sim.RuleName) bool {
	for _, name := range expected {
		for _, other := range violated {
			if name == other {
				return true
			}
		}
	}
	return false
}
