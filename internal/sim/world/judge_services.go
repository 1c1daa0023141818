package world

import (
	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// ruleRunsOnce: a non-repeatable call is in the services' books at most once.
const ruleRunsOnce sim.RuleName = "unrepeatable-call-runs-once"

// serviceSent is called for each service call. It schedules the check at the
// deadline.
func (c *checker) serviceSent(call *serviceCall) {
	c.serviceCalls = append(c.serviceCalls, call)
	world := c.world
	world.scheduler.At(call.node.process.Clock().Elapsed(call.deadline)+deadlineSlack, func() {
		if !call.nodeInterrupted() {
			world.rules.Check(ruleInTime, call.ends == 1, "%s at %s was ended %d times by its deadline", call.id, call.node.name, call.ends)
		}
	})
}

func (c *checker) serviceEnded(call *serviceCall) {
	c.world.count("service-call-" + string(call.end.Outcome))
	c.world.trace.Record("service-end/"+string(call.end.Outcome), string(call.node.name), string(call.id), uint64(call.end.Attempts))
	c.world.rules.Check(ruleAnswer, call.ownAnswer, "%s at %s got the answer to another call", call.id, call.node.name)
}

// checkServices compares all service calls with the services' books at the end
// of a run.
func (c *checker) checkServices() {
	runs := make(map[fleet.RequestID]int)
	for _, process := range c.world.services {
		for _, execution := range process.book() {
			runs[execution.RequestID]++
		}
	}
	for _, call := range c.serviceCalls {
		c.world.rules.Check(ruleRunsOnce, runs[call.id] <= 1, "%s at %s ran %d times", call.id, call.node.name, runs[call.id])
		if call.ends > 0 && call.end.Outcome == attempt.OutcomeNotRun {
			c.world.rules.Check(ruleNotRun, runs[call.id] == 0, "%s at %s was called not run (%s), but ran",
				call.id, call.node.name, call.end.Code)
		}
	}
}
