package world

import (
	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// ruleRunsOnce: a call that may not be repeated is in the services' books at
// most once.
const ruleRunsOnce sim.RuleName = "unrepeatable-call-runs-once"

// serviceSent is told of each call of a service.
func (j *judge) serviceSent(sent *serviceCall) {
	j.serviceCalls = append(j.serviceCalls, sent)
	world := j.world
	world.scheduler.At(sent.node.process.Clock().Elapsed(sent.deadline)+deadlineSlack, func() {
		if !sent.excused() {
			world.rules.Check(ruleInTime, sent.ends == 1, "%s at %s was ended %d times by its deadline", sent.id, sent.node.name, sent.ends)
		}
	})
}

func (j *judge) serviceEnded(ended *serviceCall) {
	j.world.count("service-call-" + string(ended.end.Outcome))
	j.world.trace.Record("service-end/"+string(ended.end.Outcome), string(ended.node.name), string(ended.id), uint64(ended.end.Attempts))
	j.world.rules.Check(ruleAnswer, ended.own, "%s at %s got the answer to another call", ended.id, ended.node.name)
}

// judgeServices holds the calls against the services' books at the end.
func (j *judge) judgeServices() {
	runs := make(map[fleet.RequestID]int)
	for _, process := range j.world.services {
		for _, execution := range process.book() {
			runs[execution.RequestID]++
		}
	}
	for _, call := range j.serviceCalls {
		j.world.rules.Check(ruleRunsOnce, runs[call.id] <= 1, "%s at %s ran %d times", call.id, call.node.name, runs[call.id])
		if call.ends > 0 && call.end.Outcome == attempt.OutcomeNotRun {
			j.world.rules.Check(ruleNotRun, runs[call.id] == 0, "%s at %s was called not run (%s), but ran",
				call.id, call.node.name, call.end.Code)
		}
	}
}
