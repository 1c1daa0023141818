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

// judgeEnded demands that each request had one end, that a model request had
// its first token or its refusal by its deadline, and a plain call its answer.
func judgeEnded(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleEnded, Unit: "requests"}
	excused := 0
	for _, record := range evidence.Records {
		if evidence.hitByKill(record) || evidence.hitByPause(record) {
			excused++
			continue
		}
		verdict.Exercised++
		if problem := endProblem(evidence, record, tolerances); problem != "" {
			verdict.find(record.Sent, "request %s (%s at %s): %s", record.RequestID, record.Kind, record.Node, problem)
		}
	}
	if excused > 0 {
		verdict.note("%d requests at nodes that were killed or paused meanwhile are not judged", excused)
	}
	return verdict
}

// endProblem says what is wrong with the end of a request, if anything.
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
		// The deadline bounds the first token, which a whole answer hides; the
		// whole answer may take the time of its tokens on top.
		limit += wholeAnswerAllowance(record)
	}
	if first > limit {
		return fmt.Sprintf("%s after %s, deadline %s", record.Outcome, first, record.Deadline)
	}
	return ""
}

// judgeOwnAnswer recomputes each answer from the request and the model that
// the books say ran it.
func judgeOwnAnswer(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleOwnAnswer, Unit: "answers"}
	byRequest := evidence.executionsByRequest()
	unjudged := 0
	for _, record := range evidence.Records {
		if record.Outcome != history.Answered {
			continue
		}
		if record.AnswerID != "" && record.AnswerID != string(record.RequestID) && record.Key == "" {
			verdict.find(record.Ended, "request %s got an answer that names %s", record.RequestID, record.AnswerID)
		}
		if !record.Kind.ForModel() {
			verdict.Exercised++
			if wrong := evidence.wrongPlainAnswer(record); wrong != "" {
				verdict.find(record.Ended, "request %s: %s", record.RequestID, wrong)
			}
			continue
		}
		runs := byRequest[record.RequestID]
		if evidence.Answers == nil || len(runs) == 0 {
			unjudged++
			continue
		}
		verdict.Exercised++
		if !evidence.answerIsRight(record, runs) {
			verdict.find(record.Ended, "request %s: %s", record.RequestID, evidence.describeWrong(record, runs))
		}
	}
	if unjudged > 0 {
		verdict.note("%d answers could not be recomputed: their run is in no book that is left", unjudged)
	}
	return verdict
}

// plainAnswer is what a command server says of the call that it ran.
type plainAnswer struct {
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	RequestID fleet.RequestID `json:"requestId"`
}

// wrongPlainAnswer says how the answer to a plain call is another call's. A
// key's stored answer names the request that ran, so there the path decides,
// which no other key shares.
func (e Evidence) wrongPlainAnswer(record history.Record) string {
	var answer plainAnswer
	if err := json.Unmarshal([]byte(record.Text), &answer); err != nil {
		return fmt.Sprintf("the answer is not whole: %v: %q", err, shortened(record.Text))
	}
	if answer.Method != record.Method || answer.Path != record.Path {
		return fmt.Sprintf("the answer is to %s %s", answer.Method, answer.Path)
	}
	if record.Key == "" && answer.RequestID != record.RequestID {
		return fmt.Sprintf("the answer is to request %s", answer.RequestID)
	}
	return ""
}

// answerIsRight reports whether the text is what a target that the request
// allows had to answer, with a model that the books say ran it.
func (e Evidence) answerIsRight(record history.Record, runs []execution) bool {
	for _, target := range record.Targets {
		ran := slices.ContainsFunc(runs, func(run execution) bool { return run.Model == target.Model })
		if ran && record.Text == e.Answers.Expected(target, record.Body, record.MaxTokens) {
			return true
		}
	}
	return false
}

// describeWrong tells a cut answer, one of a target that is not allowed, and
// one of another request apart.
func (e Evidence) describeWrong(record history.Record, runs []execution) string {
	for _, target := range record.Targets {
		expected := e.Answers.Expected(target, record.Body, record.MaxTokens)
		if strings.HasPrefix(expected, record.Text) {
			return fmt.Sprintf("the answer is cut: %d of %d bytes", len(record.Text), len(expected))
		}
	}
	return fmt.Sprintf("the answer is no allowed one: ran by %s, allowed %v, got %q",
		runs[len(runs)-1].Model, record.Targets, shortened(record.Text))
}

func shortened(text string) string {
	const limit = 60
	if len(text) <= limit {
		return text
	}
	return text[:limit] + "..."
}

// judgeNotRun looks for a run of each request that was refused as not run.
func judgeNotRun(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleNotRun, Unit: "refusals that say not-run"}
	byRequest := evidence.executionsByRequest()
	for _, record := range evidence.Records {
		if record.Outcome != history.NotRun {
			continue
		}
		verdict.Exercised++
		for _, run := range byRequest[record.RequestID] {
			verdict.find(record.Ended, "request %s was refused as not run (%s), but ran at %s (attempt %d)",
				record.RequestID, record.Code, run.backend, run.Attempt)
		}
	}
	if lost := evidence.lostBooks(); len(lost) > 0 {
		verdict.note("books are not whole for: %s", joinNames(lost))
	}
	return verdict
}

// lostBooks are the back ends whose book could not be read at the end.
func (e Evidence) lostBooks() []fleet.BackendName {
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

// judgePlannedStop looks for requests that were at a node when its planned
// stop began and did not get their end from it, and for stops that failed.
func judgePlannedStop(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RulePlannedStop, Unit: "requests in progress at a planned stop"}
	for _, fault := range evidence.Faults {
		if fault.Kind == history.NodeStopped {
			judgeStop(&verdict, evidence, fault)
		}
	}
	return verdict
}

func judgeStop(verdict *Verdict, evidence Evidence, stop history.Fault) {
	exits := evidence.faultsAt(history.NodeExited, stop.Target)
	if len(exits) == 0 {
		verdict.find(stop.At, "node %s was told to stop and did not end", stop.Target)
	}
	for _, exit := range exits {
		if exit.Detail != "0" {
			verdict.find(exit.At, "node %s ended its planned stop with exit code %s", exit.Target, exit.Detail)
		}
	}
	for _, record := range evidence.Records {
		inProgress := record.Sent.Before(stop.At) && record.Ended.After(stop.At)
		if record.Node != stop.Target || !inProgress {
			continue
		}
		verdict.Exercised++
		if wasCut(record) {
			verdict.find(record.Ended, "request %s at %s was cut by the planned stop: %s %s",
				record.RequestID, record.Node, record.Outcome, record.Error)
		}
	}
}

// wasCut reports whether a request lost its answer. A refusal as not run is an
// answer; one that began to run must be finished.
func wasCut(record history.Record) bool {
	switch record.Outcome {
	case history.Broken, history.Unended, history.Unreachable, history.Unknown, history.Failed, history.Malformed:
		return true
	}
	return false
}

// tokenAllowance bounds the time of one token of a whole answer.
const tokenAllowance = 200 * time.Millisecond

func wholeAnswerAllowance(record history.Record) time.Duration {
	return time.Duration(record.MaxTokens) * tokenAllowance
}
