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
	// ruleEndsOnce: a caller is told the end of its request once.
	ruleEndsOnce sim.RuleName = "request-ends-once"
	// ruleInTime: by its deadline a request has its first token or its end.
	ruleInTime sim.RuleName = "request-ends-by-deadline"
	// ruleAnswer: what a caller gets is the answer to its own request from the
	// start on, and whole where it is called whole.
	ruleAnswer sim.RuleName = "answer-whole-and-own"
	// ruleNotRun: what is called not run is in no engine's book.
	ruleNotRun sim.RuleName = "not-run-is-true"
	// ruleLeaving: an engine that said that it leaves gets no new work after
	// leavingBound.
	ruleLeaving sim.RuleName = "no-work-at-leaving-engine"
	// rulePlannedStop: what is in progress when a node or an engine begins a
	// planned stop is not cut.
	rulePlannedStop sim.RuleName = "planned-stop-cuts-nothing"
)

const (
	// deadlineSlack is for what happens at the very time of the deadline.
	deadlineSlack = 10 * time.Millisecond
	leavingBound  = 2 * time.Second
	// endBound is how long a call may last beyond its deadline where nothing
	// fails: the longest answer by far.
	endBound = 5 * time.Second
)

// sent is told of each call as its node gets it.
func (j *judge) sent(sent *call) {
	j.calls = append(j.calls, sent)
	world := j.world
	world.scheduler.At(sent.node.process.Clock().Elapsed(sent.deadline)+deadlineSlack, func() {
		if !sent.excused() {
			world.rules.Check(ruleInTime, sent.ends > 0 || len(sent.tokens) > 0,
				"%s for %s at %s has neither token nor end at its deadline", sent.id, sent.model, sent.node.name)
		}
	})
}

// ended is told of each end of a call.
func (j *judge) ended(ended *call) {
	rules := j.world.rules
	finish := ended.end
	j.world.count("call-" + string(finish.Outcome))
	j.world.trace.Record("call-end/"+string(finish.Outcome), string(ended.node.name), string(ended.id), uint64(len(ended.tokens)))
	rules.Check(ruleEndsOnce, ended.ends == 1, "%s was ended %d times", ended.id, ended.ends)
	wanted, _ := engine.AnswerLength(ended.answer)
	own := slices.IndexFunc(ended.tokens, notOwn(ended)) < 0
	whole := finish.Outcome != attempt.OutcomeOK || len(ended.tokens) == wanted
	rules.Check(ruleAnswer, own && whole && len(ended.tokens) <= wanted, "%s for %s at %s: %s with %d of %d tokens, own=%t: %q",
		ended.id, ended.model, ended.node.name, finish.Outcome, len(ended.tokens), wanted, own, ended.tokens)
	if ended.stopping != "" && !ended.excused() {
		rules.Check(rulePlannedStop, !wasCut(finish), "%s was cut by the planned stop of %s: %s %s %s",
			ended.id, ended.stopping, finish.Outcome, finish.Code, finish.Detail)
	}
}

// drained is told of a node's planned stop as it ends.
func (j *judge) drained(stopped *node) {
	j.world.count("drained")
	left := stopped.inProgress()
	j.world.rules.Check(rulePlannedStop, left == 0, "%s ended its planned stop with %d requests in progress", stopped.name, left)
}

// notOwn finds a token that is not the one at its place in the call's answer.
func notOwn(judged *call) func(string) bool {
	index := 0
	return func(text string) bool {
		expected := engine.TokenText(judged.number, judged.model, "", index)
		index++
		return text != expected
	}
}

// wasCut reports whether a request that was begun lost its answer. One that its
// caller or its own deadline ended was not cut.
func wasCut(finish attempt.Finish) bool {
	return finish.Code != attempt.CodeCallerGone && finish.Code != attempt.CodeDeadline &&
		(finish.Outcome == attempt.OutcomeUnknown || finish.Outcome == attempt.OutcomeFailed)
}

// judgeCalls holds the calls against the engines' books at the end of a run.
func (j *judge) judgeCalls() {
	var all []books.Book
	ran := make(map[fleet.RequestID]string)
	for _, process := range j.world.engines {
		book := process.core.Book(process.process.Now())
		for _, execution := range book.Executions {
			ran[execution.RequestID] = string(process.backend.Name)
		}
		all = append(all, book)
	}
	for _, judged := range j.calls {
		j.judgeEnd(judged)
		if judged.ends > 0 && judged.end.Outcome == attempt.OutcomeNotRun {
			at, found := ran[judged.id]
			j.world.rules.Check(ruleNotRun, !found, "%s at %s was called not run (%s), but ran at %s",
				judged.id, judged.node.name, judged.end.Code, at)
		}
	}
	for _, book := range all {
		j.judgeLeaving(book)
	}
}

// judgeEnd looks for calls that never ended.
func (j *judge) judgeEnd(judged *call) {
	if judged.excused() || judged.node.process.Now().Before(judged.deadline.Add(endBound)) {
		return
	}
	if j.world.scheduler.Elapsed() < j.world.faultsOver+quietBound {
		return
	}
	j.world.rules.Check(ruleEndsOnce, judged.ends == 1, "%s at %s was ended %d times by the end of the run",
		judged.id, judged.node.name, judged.ends)
}

func (j *judge) judgeLeaving(book books.Book) {
	if book.LeavingSince.IsZero() {
		return
	}
	limit := book.LeavingSince.Add(leavingBound)
	j.world.rules.Check(ruleLeaving, true, "")
	for _, refused := range book.TurnedAway {
		j.world.rules.Check(ruleLeaving, !refused.At.After(limit), "%s%s came to %s %s after it said that it leaves",
			refused.RequestID, refused.OrderID, book.Backend.Name, refused.At.Sub(book.LeavingSince))
	}
}
