package world

import (
	"runtime/debug"

	"github.com/spanlanding/spanlanding/internal/sim"
)

// collectorPercent lets the heap grow more between collections: a run holds
// little and makes much garbage.
const collectorPercent = 400

// RunBatch runs the seeds from first on over several workers.
func RunBatch(config Config, first uint64, count, workers int, progress func(done int)) []sim.Report {
	defer debug.SetGCPercent(debug.SetGCPercent(collectorPercent))
	run := func(seed uint64) sim.Report { return Run(config, seed, nil, nil) }
	return sim.RunBatch(first, count, workers, run, progress)
}

// shrinkLimit bounds the runs that the search for a smaller plan takes.
const shrinkLimit = 150

// Shrink drops and shortens faults of a failed run for as long as one of the
// rules that it violated is still violated.
func Shrink(config Config, failed sim.Report) sim.Plan {
	violated := failed.Violated()
	return sim.Shrink(failed.Plan, shrinkLimit, func(plan sim.Plan) bool {
		return sharesRule(violated, Run(config, failed.Seed, plan, nil).Violated())
	})
}

func sharesRule(wanted, violated []sim.RuleName) bool {
	for _, name := range wanted {
		for _, other := range violated {
			if name == other {
				return true
			}
		}
	}
	return false
}
