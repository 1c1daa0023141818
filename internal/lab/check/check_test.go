package check

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	menu  = fleet.ModelVersion{Model: "menu", Version: "v1"}
	chat  = fleet.ModelVersion{Model: "chat", Version: "v1"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// textAnswers expects an answer made of the model name, the body and the token
// limit.
type textAnswers struct{}

func (textAnswers) Expected(target history.Target, body string, maxTokens int) string {
	return fmt.Sprintf("%s answers %s with %d", target.Model, body, maxTokens)
}

func serviceAnswerText(request, path string) string {
	return fmt.Sprintf(`{"method":"POST","path":%q,"requestId":%q}`, path, request)
}

// healthyEvidence returns a run that exercises and keeps every rule.
func healthyEvidence() Evidence {
	model := func(id string, sent float64) history.Record {
		return history.Record{
			RequestID: fleet.RequestID(id), Node: "n1", Kind: history.KindStream, Method: "POST",
			Body: "b-" + id, MaxTokens: 4, Targets: []history.Target{{Model: menu}, {Model: chat}},
			Deadline: 10 * time.Second, Sent: at(sent), FirstToken: at(sent + 1), Ended: at(sent + 3),
			Outcome: history.Answered, Ends: 1, Finish: "length",
			Text: textAnswers{}.Expected(history.Target{Model: menu}, "b-"+id, 4),
		}
	}
	command := func(id, key, ran string, sent float64) history.Record {
		return history.Record{
			RequestID: fleet.RequestID(id), Node: "n2", Kind: history.KindCommand, Method: "POST",
			Path: "/boxes/1", Key: key, Deadline: 5 * time.Second, Sent: at(sent), Ended: at(sent + 0.5),
			Outcome: history.Answered, Ends: 1, Text: serviceAnswerText(ran, "/boxes/1"),
		}
	}
	refused := command("c4", "", "c4", 7)
	refused.Outcome, refused.Text, refused.Code = history.NotRun, "", "overloaded"
	return Evidence{
		Started: start, Ended: at(60), Answers: textAnswers{},
		Records: []history.Record{
			model("m1", 1), model("m2", 20), command("c1", "k1", "c1", 5), command("c2", "k1", "c1", 5.1),
			command("c3", "", "c3", 6), refused,
		},
		Faults: []history.Fault{
			{At: at(22), Kind: history.NodeStopped, Target: "n1"},
			{At: at(25), Kind: history.NodeExited, Target: "n1", Detail: "0"},
		},
		Books: []BookSample{
			{SampledAt: at(59), Final: true, Book: books.Book{
				Backend:     fleet.Backend{Name: "e1", Kind: fleet.KindEngine},
				MemoryBytes: 100, PeakBytes: 100,
				Residencies: []books.Residency{{Model: menu, OrderID: "o1", From: at(0), ReadyAt: at(1), Bytes: 60}},
				Executions: []books.Execution{
					{RequestID: "m1", Model: menu, Started: at(1.5)},
					{RequestID: "m2~0a1b", Model: menu, Started: at(20.5)},
				},
			}},
			{SampledAt: at(59), Final: true, Book: books.Book{
				Backend:     fleet.Backend{Name: "e2", Kind: fleet.KindEngine},
				MemoryBytes: 100, PeakBytes: 80, LeavingSince: at(30),
				Residencies: []books.Residency{{Model: chat, OrderID: "o2", From: at(2), To: at(9), Bytes: 50}},
			}},
			{SampledAt: at(59), Final: true, Book: books.Book{
				Backend: fleet.Backend{Name: "s1", Kind: fleet.KindService},
				Executions: []books.Execution{
					{RequestID: "c1", Key: "k1", Method: "POST", Path: "/boxes/1", Started: at(5.2)},
					{RequestID: "c3", Method: "POST", Path: "/boxes/1", Started: at(6.2)},
				},
			}},
		},
		Decisions: []Decision{
			{At: at(0), Version: 7, Replicas: map[fleet.ModelVersion]int{menu: 1, chat: 1}},
			{At: at(20), Version: 9, Replicas: map[fleet.ModelVersion]int{menu: 1, chat: 0}},
		},
		MaxReplicas: map[fleet.ModelVersion]int{menu: 2, chat: 1},
		ConfigChanges: []ConfigChange{
			{At: at(10), Version: 8},
		},
		ConfigSamples: []ConfigSample{
			{At: at(9), Node: "n1", BootID: 1, Version: 7},
			{At: at(16), Node: "n1", BootID: 1, Version: 8},
			{At: at(16), Node: "n2", BootID: 5, Version: 8},
		},
	}
}

func TestHealthyRunKeepsEveryRule(t *testing.T) {
	for _, verdict := range Judge(healthyEvidence(), DefaultTolerances()).Verdicts {
		if verdict.State != Kept {
			t.Errorf("%s is %s: %v", verdict.Rule, verdict.State, verdict.Findings)
		}
	}
}

func TestEmptyRunExercisesNoRule(t *testing.T) {
	report := Judge(Evidence{}, DefaultTolerances())
	if len(report.Verdicts) != 9 {
		t.Fatalf("%d rules were checked, expected 9", len(report.Verdicts))
	}
	for _, verdict := range report.Verdicts {
		if verdict.State != NotExercised {
			t.Errorf("%s is %s", verdict.Rule, verdict.State)
		}
	}
}

// TestPlantedViolationIsFound introduces one violation at a time and checks that
// exactly its rule is reported as violated.
func TestPlantedViolationIsFound(t *testing.T) {
	cases := []struct {
		name      string
		rule      Rule
		introduce func(*Evidence)
	}{
		{"second replica beyond the decision", RuleReplicas, func(e *Evidence) {
			e.Books[1].Residencies = append(e.Books[1].Residencies,
				books.Residency{Model: menu, From: at(15), OrderID: "o3", Bytes: 10})
		}},
		{"load after the decision was lowered", RuleReplicas, func(e *Evidence) {
			e.Books[1].Residencies = append(e.Books[1].Residencies,
				books.Residency{Model: chat, From: at(25), OrderID: "o3", Bytes: 10})
		}},
		{"load before the decision", RuleReplicas, func(e *Evidence) { e.Decisions[0].At = at(0.5) }},
		{"more replicas than declared", RuleReplicas, func(e *Evidence) {
			e.Decisions = nil
			for _, order := range []string{"o3", "o4"} {
				e.Books[1].Residencies = append(e.Books[1].Residencies,
					books.Residency{Model: chat, From: at(12), OrderID: order, Bytes: 10})
			}
		}},
		{"peak beyond the memory", RuleMemory, func(e *Evidence) { e.Books[0].PeakBytes = 101 }},
		{"loads that add up beyond the memory", RuleMemory, func(e *Evidence) {
			e.Books[1].Residencies[0].Bytes = 101
		}},
		{"request without an end", RuleEnded, func(e *Evidence) {
			e.Records[0].Outcome, e.Records[0].Text, e.Records[0].Ends = history.Unended, "", 0
		}},
		{"request with two ends", RuleEnded, func(e *Evidence) { e.Records[1].Ends = 2 }},
		{"connection closed without an answer", RuleEnded, func(e *Evidence) {
			e.Records[4].Outcome, e.Records[4].Ends = history.Broken, 0
		}},
		{"undocumented refusal", RuleEnded, func(e *Evidence) {
			e.Records[4].Outcome, e.Records[4].Ends = history.Malformed, 0
		}},
		{"first token after the deadline", RuleEnded, func(e *Evidence) {
			e.Records[0].FirstToken, e.Records[0].Ended = at(13), at(14)
		}},
		{"refusal after the deadline", RuleEnded, func(e *Evidence) {
			e.Records[5].Ended = e.Records[5].Sent.Add(7 * time.Second)
		}},
		{"late answer long after a pause", RuleEnded, func(e *Evidence) {
			e.Faults = append(e.Faults, history.Fault{At: at(1), Kind: history.NodePaused, Target: "n2"},
				history.Fault{At: at(2), Kind: history.NodeContinued, Target: "n2"})
			e.Records[4].Ended = at(14.5)
		}},
		{"unreachable node without a fault", RuleEnded, func(e *Evidence) {
			e.Records[4].Outcome, e.Records[4].Ends = history.Unreachable, 0
		}},
		{"truncated answer", RuleOwnAnswer, func(e *Evidence) { e.Records[0].Text = e.Records[0].Text[:9] }},
		{"answer to another request", RuleOwnAnswer, func(e *Evidence) { e.Records[0].Text = e.Records[1].Text }},
		{"answer by a model that is not allowed", RuleOwnAnswer, func(e *Evidence) {
			e.Records[0].Targets = []history.Target{{Model: chat}}
		}},
		{"answer that names another request", RuleOwnAnswer, func(e *Evidence) { e.Records[0].AnswerID = "m2" }},
		{"answer to another command", RuleOwnAnswer, func(e *Evidence) {
			e.Records[4].Text = serviceAnswerText("c1", "/boxes/1")
		}},
		{"refused as not run, but ran", RuleNotRun, func(e *Evidence) {
			e.Books[2].Executions = append(e.Books[2].Executions,
				books.Execution{RequestID: "c4", Path: "/boxes/1", Started: at(7.1)})
		}},
		{"key ran twice", RuleAtMostOnce, func(e *Evidence) {
			e.Books[2].Executions = append(e.Books[2].Executions,
				books.Execution{RequestID: "c2", Key: "k1", Path: "/boxes/1", Started: at(5.3)})
		}},
		{"command without a key ran twice", RuleAtMostOnce, func(e *Evidence) {
			e.Books[2].Executions = append(e.Books[2].Executions,
				books.Execution{RequestID: "c3", Attempt: 1, Path: "/boxes/1", Started: at(6.3)})
		}},
		{"answer to a call that never ran", RuleAtMostOnce, func(e *Evidence) {
			e.Books[2].Executions = e.Books[2].Executions[:1]
		}},
		{"two answers to one key", RuleAtMostOnce, func(e *Evidence) {
			e.Records[3].Text = serviceAnswerText("c2", "/boxes/1")
		}},
		{"answer before the execution", RuleAtMostOnce, func(e *Evidence) { e.Books[2].Executions[1].Started = at(6.9) }},
		{"request to a leaving back end", RuleLeaving, func(e *Evidence) {
			e.Books[1].Executions = append(e.Books[1].Executions,
				books.Execution{RequestID: "m2", Model: menu, Started: at(32.5)})
		}},
		{"load on a leaving back end", RuleLeaving, func(e *Evidence) {
			e.Decisions[1].Replicas[chat] = 1
			e.Books[1].Residencies = append(e.Books[1].Residencies,
				books.Residency{Model: chat, From: at(32.5), OrderID: "o3", Bytes: 10})
		}},
		{"request refused by a leaving back end", RuleLeaving, func(e *Evidence) {
			e.Books[1].TurnedAway = []books.TurnedAway{{RequestID: "m2", At: at(31.9)}, {RequestID: "m2", At: at(32.5)}}
		}},
		{"stream interrupted by a planned stop", RulePlannedStop, func(e *Evidence) {
			e.Records[1].Outcome, e.Records[1].Code = history.Unknown, "stopped"
		}},
		{"planned stop that failed", RulePlannedStop, func(e *Evidence) { e.Faults[1].Detail = "3" }},
		{"planned stop without an exit", RulePlannedStop, func(e *Evidence) { e.Faults = e.Faults[:1] }},
		{"configuration change in force too late", RuleConfig, func(e *Evidence) {
			e.ConfigSamples[2].Version = 7
		}},
		{"configuration version that decreased", RuleConfig, func(e *Evidence) {
			e.ConfigSamples = append(e.ConfigSamples, ConfigSample{At: at(17), Node: "n1", BootID: 1, Version: 7})
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			evidence := healthyEvidence()
			test.introduce(&evidence)
			var violated []Rule
			for _, verdict := range Judge(evidence, DefaultTolerances()).Verdicts {
				if verdict.State == Violated {
					violated = append(violated, verdict.Rule)
				}
			}
			if difference := cmp.Diff([]Rule{test.rule}, violated); difference != "" {
				t.Errorf("violated rules (-expected +found):\n%s", difference)
			}
		})
	}
}

// TestWhatIsAllowedIsNoViolation covers allowed behavior that resembles a
// violation.
func TestWhatIsAllowedIsNoViolation(t *testing.T) {
	cases := []struct {
		name  string
		alter func(*Evidence)
	}{
		{"replica of a killed engine no longer counts", func(e *Evidence) {
			e.Books[0].Final, e.Books[0].SampledAt = false, at(29)
			e.Faults = append(e.Faults, history.Fault{At: at(29.1), Kind: history.EngineKilled, Target: "e1"})
			e.Books = append(e.Books, BookSample{SampledAt: at(59), Final: true, Book: books.Book{
				Backend: fleet.Backend{Name: "e3", Kind: fleet.KindEngine}, MemoryBytes: 100, PeakBytes: 60,
				Residencies: []books.Residency{{Model: menu, OrderID: "o5", From: at(29.2), Bytes: 60}},
			}})
		}},
		{"stream at a killed node", func(e *Evidence) {
			e.Faults = append(e.Faults, history.Fault{At: at(5), Kind: history.NodeKilled, Target: "n2"})
			e.Records[4].Outcome, e.Records[4].Ends = history.Broken, 0
		}},
		{"late answer by a node that was paused", func(e *Evidence) {
			e.Faults = append(e.Faults, history.Fault{At: at(6.1), Kind: history.NodePaused, Target: "n2"},
				history.Fault{At: at(14), Kind: history.NodeContinued, Target: "n2"})
			e.Records[4].Ended = at(14.5)
		}},
		{"not-run refusal by a stopping node", func(e *Evidence) {
			e.Records[1].Outcome, e.Records[1].Text = history.NotRun, ""
			e.Books[0].Executions = e.Books[0].Executions[:1]
		}},
		{"decision recorded shortly after the load", func(e *Evidence) { e.Decisions[0].At = at(0.05) }},
		{"lowered decision while the replica is unloaded", func(e *Evidence) {
			e.Books[1].Residencies[0].To = at(21)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			evidence := healthyEvidence()
			test.alter(&evidence)
			for _, verdict := range Judge(evidence, DefaultTolerances()).Verdicts {
				if verdict.State == Violated {
					t.Errorf("%s: %v", verdict.Rule, verdict.Findings)
				}
			}
		})
	}
}
