package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// checkEnded checks that each request ended exactly once, that each model
// request got its first token or a refusal by its deadline, and that each
// service call got its answer by its deadline. Requests affected by a killed or
// paused node are exempt.
func checkEnded(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleEnded, Unit: "requests"}
	exempt := 0
	for _, record := range evidence.Records {
		if evidence.affectedByKill(record) || evidence.affectedByPause(record) {
			exempt++
			continue
		}
		verdict.Exercised++
		if problem := endProblem(evidence, record, tolerances); problem != "" {
			verdict.addFinding(record.Sent, "request %s (%s at %s): %s", record.RequestID, record.Kind, record.Node, problem)
		}
	}
	if exempt > 0 {
		verdict.addNote("%d requests at nodes that were killed or paused meanwhile are not judged", exempt)
	}
	return verdict
}

// endProblem describes a violation in how a request ended, or returns "".
func endProblem(evidence Evidence, record history.Record, tolerances Tolerances) string {
	limit := record.Deadline + tolerances.Deadline
	switch record.Outcome {
	case history.Unended:
		return fmt.Sprintf("no end after %s", record.Took())
	case history.Broken:
		return "connection ended without an answer: " + record.Error
	case history.Malformed:
		return "neither an answer nor a refusal as documented: " + record.Error
	case history.Unreachable:
		if len(evidence.faultsAt(history.NodeStopped, record.Node)) > 0 {
			return ""
		}
		return "the node could not be reached: " + record.Error
	}
	if record.Ends != 1 {
		return fmt.Sprintf("%d ends", record.Ends)
	}
	first := record.Took()
	if !record.FirstToken.IsZero() {
		first = record.ToFirstToken()
	}
	if record.Kind == history.KindWhole && record.Outcome == history.Answered {
		// The deadline bounds the time to the first token, which can't be
		// observed in a non-streamed answer. Allow for its token generation.
		limit += wholeAnswerAllowance(record)
	}
	if first > limit {
		return fmt.Sprintf("%s after %s, deadline %s", record.Outcome, first, record.Deadline)
	}
	return ""
}

// checkOwnAnswer recomputes each answer from the request and the model that
// ran it according to the books, and compares it with what the caller got.
func checkOwnAnswer(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleOwnAnswer, Unit: "answers"}
	byRequest := evidence.executionsByRequest()
	unverified := 0
	for _, record := range evidence.Records {
		if record.Outcome != history.Answered {
			continue
		}
		if record.AnswerID != "" && record.AnswerID != string(record.RequestID) && record.Key == "" {
			verdict.addFinding(record.Ended, "request %s got an answer that names %s", record.RequestID, record.AnswerID)
		}
		if !record.Kind.ForModel() {
			verdict.Exercised++
			if wrong := evidence.serviceAnswerProblem(record); wrong != "" {
				verdict.addFinding(record.Ended, "request %s: %s", record.RequestID, wrong)
			}
			continue
		}
		runs := byRequest[record.RequestID]
		if evidence.Answers == nil || len(runs) == 0 {
			unverified++
			continue
		}
		verdict.Exercised++
		if !evidence.answerIsExpected(record, runs) {
			verdict.addFinding(record.Ended, "request %s: %s", record.RequestID, evidence.describeMismatch(record, runs))
		}
	}
	if unverified > 0 {
		verdict.addNote("%d answers could not be recomputed: their run is in no book that is left", unverified)
	}
	return verdict
}

// serviceAnswer is the body in which a service describes the call it executed.
type serviceAnswer struct {
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	RequestID fleet.RequestID `json:"requestId"`
}

// serviceAnswerProblem describes why the answer to a service call is incomplete
// or belongs to another call, or returns "". The stored answer of an idempotency
// key names the request that ran, which may be another one, so calls with a key
// are matched by path, which is unique to the key.
func (e Evidence) serviceAnswerProblem(record history.Record) string {
	var answer serviceAnswer
	if err := json.Unmarshal([]byte(record.Text), &answer); err != nil {
		return fmt.Sprintf("the answer is not whole: %v: %q", err, truncated(record.Text))
	}
	if answer.Method != record.Method || answer.Path != record.Path {
		return fmt.Sprintf("the answer is to %s %s", answer.Method, answer.Path)
	}
	if record.Key == "" && answer.RequestID != record.RequestID {
		return fmt.Sprintf("the answer is to request %s", answer.RequestID)
	}
	return ""
}

// answerIsExpected reports whether the text is the expected answer of an allowed
// target whose model ran the request according to the books.
func (e Evidence) answerIsExpected(record history.Record, runs []execution) bool {
	for _, target := range record.Targets {
		ran := slices.ContainsFunc(runs, func(run execution) bool { return run.Model == target.Model })
		if ran && record.Text == e.Answers.Expected(target, record.Body, record.MaxTokens) {
			return true
		}
	}
	return false
}

// describeMismatch distinguishes a truncated answer from one that no allowed
// target would have given.
func (e Evidence) describeMismatch(record history.Record, runs []execution) string {
	for _, target := range record.Targets {
		expected := e.Answers.Expected(target, record.Body, record.MaxTokens)
		if strings.HasPrefix(expected, record.Text) {
			return fmt.Sprintf("the answer is cut: %d of %d bytes", len(record.Text), len(expected))
		}
	}
	return fmt.Sprintf("the answer is no allowed one: ran by %s, allowed %v, got %q",
		runs[len(runs)-1].Model, record.Targets, truncated(record.Text))
}

func truncated(text string) string {
	const limit = 60
	if len(text) <= limit {
		return text
	}
	return text[:limit] + "..."
}

// checkNotRun looks for executions of requests that were refused as not run.
func checkNotRun(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleNotRun, Unit: "refusals that say not-run"}
	byRequest := evidence.executionsByRequest()
	for _, record := range evidence.Records {
		if record.Outcome != history.NotRun {
			continue
		}
		verdict.Exercised++
		for _, run := range byRequest[record.RequestID] {
			verdict.addFinding(record.Ended, "request %s was refused as not run (%s), but ran at %s (attempt %d)",
				record.RequestID, record.Code, run.backend, run.Attempt)
		}
	}
	if incomplete := evidence.incompleteBooks(); len(incomplete) > 0 {
		verdict.addNote("books are not whole for: %s", joinNames(incomplete))
	}
	return verdict
}

// incompleteBooks lists the back ends whose book could not be read at the end
// of the run.
func (e Evidence) incompleteBooks() []fleet.BackendName {
	var lost []fleet.BackendName
	for _, book := range e.Books {
		if !book.Final {
			lost = append(lost, book.Backend.Name)
		}
	}
	return lost
}

func joinNames(names []fleet.BackendName) string {
	texts := make([]string, len(names))
	for index, name := range names {
		texts[index] = string(name)
	}
	return strings.Join(texts, ", ")
}

// checkPlannedStops looks for planned stops that failed and for requests that
// were in progress at a node when its planned stop began and lost their answer.
func checkPlannedStops(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RulePlannedStop, Unit: "requests in progress at a planned stop"}
	for _, fault := range evidence.Faults {
		if fault.Kind == history.NodeStopped {
			checkStop(&verdict, evidence, fault)
		}
	}
	return verdict
}

func checkStop(verdict *Verdict, evidence Evidence, stop history.Fault) {
	exits := evidence.faultsAt(history.NodeExited, stop.Target)
	if len(exits) == 0 {
		verdict.addFinding(stop.At, "node %s was told to stop and did not end", stop.Target)
	}
	for _, exit := range exits {
		if exit.Detail != "0" {
			verdict.addFinding(exit.At, "node %s ended its planned stop with exit code %s", exit.Target, exit.Detail)
		}
	}
	for _, record := range evidence.Records {
		inProgress := record.Sent.Before(stop.At) && record.Ended.After(stop.At)
		if record.Node != stop.Target || !inProgress {
			continue
		}
		verdict.Exercised++
		if lostAnswer(record) {
			verdict.addFinding(record.Ended, "request %s at %s was cut by the planned stop: %s %s",
				record.RequestID, record.Node, record.Outcome, record.Error)
		}
	}
}

// lostAnswer reports whether a request got neither its result nor a refusal as
// not run. A request that began to run must be finished by the stopping node.
func lostAnswer(record history.Record) bool {
	switch record.Outcome {
	case history.Broken, history.Unended, history.Unreachable, history.Unknown, history.Failed, history.Malformed:
		return true
	}
	return false
}

// tokenAllowance is the maximum generation time per token of a non-streamed
// answer.
const tokenAllowance = 200 * time.Millisecond

func wholeAnswerAllowance(record history.Record) time.Duration {
	return time.Duration(record.MaxTokens) * tokenAllowance
}
