package world

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	// ruleEndsOnce: the end of a request is reported to its caller exactly once.
	ruleEndsOnce sim.RuleName = "request-ends-once"
	// ruleInTime: by its deadline, a request has received a token or has ended.
	ruleInTime sim.RuleName = "request-ends-by-deadline"
	// ruleAnswer: the tokens that a caller receives are a prefix of the answer to
	// its own request, and the complete answer if the outcome is OK.
	ruleAnswer sim.RuleName = "answer-whole-and-own"
	// ruleNotRun: a request reported as not run is in no book of an engine or
	// service.
	ruleNotRun sim.RuleName = "not-run-is-true"
	// ruleLeaving: an engine that has announced that it is leaving receives no
	// new work after leavingBound.
	ruleLeaving sim.RuleName = "no-work-at-leaving-engine"
	// rulePlannedStop: requests in progress when a node or an engine begins a
	// planned stop are not cut off.
	rulePlannedStop sim.RuleName = "planned-stop-cuts-nothing"
)

const (
	// deadlineSlack allows for events that happen exactly at the deadline.
	deadlineSlack = 10 * time.Millisecond
	leavingBound  = 2 * time.Second
	// endBound is the maximum time that a call may continue beyond its deadline
	// in the absence of faults; it is far more than the longest answer takes.
	endBound = 5 * time.Second
)

// callSent is called when a node receives a call. It schedules the check at the
// deadline.
func (c *checker) callSent(sent *call) {
	c.calls = append(c.calls, sent)
	world := c.world
	world.scheduler.At(sent.node.process.Clock().Elapsed(sent.deadline)+deadlineSlack, func() {
		if !sent.nodeInterrupted() {
			world.rules.Check(ruleInTime, sent.ends > 0 || len(sent.tokens) > 0,
				"%s for %s at %s has neither token nor end at its deadline", sent.id, sent.model, sent.node.name)
		}
	})
}

// callEnded is called each time the end of a call is reported.
func (c *checker) callEnded(ended *call) {
	rules := c.world.rules
	finish := ended.end
	c.world.count("call-" + string(finish.Outcome))
	c.world.trace.Record("call-end/"+string(finish.Outcome), string(ended.node.name), string(ended.id), uint64(len(ended.tokens)))
	rules.Check(ruleEndsOnce, ended.ends == 1, "%s was ended %d times", ended.id, ended.ends)
	wanted, _ := engine.AnswerLength(ended.answer)
	own := slices.IndexFunc(ended.tokens, foreignToken(ended)) < 0
	whole := finish.Outcome != attempt.OutcomeOK || len(ended.tokens) == wanted
	rules.Check(ruleAnswer, own && whole && len(ended.tokens) <= wanted, "%s for %s at %s: %s with %d of %d tokens, own=%t: %q",
		ended.id, ended.model, ended.node.name, finish.Outcome, len(ended.tokens), wanted, own, ended.tokens)
	if ended.stoppingProcess != "" && !ended.nodeInterrupted() {
		rules.Check(rulePlannedStop, !wasCut(finish), "%s was cut by the planned stop of %s: %s %s %s",
			ended.id, ended.stoppingProcess, finish.Outcome, finish.Code, finish.Detail)
	}
}

// nodeDrained is called when a node's planned stop ends.
func (c *checker) nodeDrained(stopped *node) {
	c.world.count("drained")
	left := stopped.inProgress()
	c.world.rules.Check(rulePlannedStop, left == 0, "%s ended its planned stop with %d requests in progress", stopped.name, left)
}

// foreignToken returns a predicate for the successive tokens of a call. It
// reports whether a token differs from the expected one at its position.
func foreignToken(checked *call) func(string) bool {
	index := 0
	return func(text string) bool {
		expected := engine.TokenText(checked.number, checked.model, "", index)
		index++
		return text != expected
	}
}

// wasCut reports whether a request that may have started lost its answer. A
// request ended by its caller or by its deadline was not cut.
func wasCut(finish attempt.Finish) bool {
	return finish.Code != attempt.CodeCallerGone && finish.Code != attempt.CodeDeadline &&
		(finish.Outcome == attempt.OutcomeUnknown || finish.Outcome == attempt.OutcomeFailed)
}

// checkCalls compares all calls with the engines' books at the end of a run.
func (c *checker) checkCalls() {
	var all []books.Book
	ran := make(map[fleet.RequestID]string)
	for _, process := range c.world.engines {
		book := process.core.Book(process.process.Now())
		for _, execution := range book.Executions {
			ran[execution.RequestID] = string(process.backend.Name)
		}
		all = append(all, book)
	}
	for _, checked := range c.calls {
		c.checkCallEnded(checked)
		if checked.ends > 0 && checked.end.Outcome == attempt.OutcomeNotRun {
			at, found := ran[checked.id]
			c.world.rules.Check(ruleNotRun, !found, "%s at %s was called not run (%s), but ran at %s",
				checked.id, checked.node.name, checked.end.Code, at)
		}
	}
	for _, book := range all {
		c.checkLeaving(book)
	}
}

// checkCallEnded checks at the end of a run that the end of a call was reported
// once. It skips calls that may still be in progress.
func (c *checker) checkCallEnded(checked *call) {
	if checked.nodeInterrupted() || checked.node.process.Now().Before(checked.deadline.Add(endBound)) {
		return
	}
	if c.world.scheduler.Elapsed() < c.world.faultsOver+recoveryBound {
		return
	}
	c.world.rules.Check(ruleEndsOnce, checked.ends == 1, "%s at %s was ended %d times by the end of the run",
		checked.id, checked.node.name, checked.ends)
}

func (c *checker) checkLeaving(book books.Book) {
	if book.LeavingSince.IsZero() {
		return
	}
	limit := book.LeavingSince.Add(leavingBound)
	c.world.rules.Check(ruleLeaving, true, "")
	for _, refused := range book.TurnedAway {
		c.world.rules.Check(ruleLeaving, !refused.At.After(limit), "%s%s came to %s %s after it said that it leaves",
			refused.RequestID, refused.OrderID, book.Backend.Name, refused.At.Sub(book.LeavingSince))
	}
}
