package check

import (
	"fmt"
	"time"
)

// Rule names a rule of the brief.
type Rule string

// The rules, in the order of the brief.
const (
	RuleReplicas    Rule = "replicas-within-decision"
	RuleMemory      Rule = "memory-not-overcommitted"
	RuleEnded       Rule = "served-or-refused-in-time"
	RuleOwnAnswer   Rule = "whole-answer-to-own-request"
	RuleNotRun      Rule = "not-run-is-true"
	RuleAtMostOnce  Rule = "runs-at-most-once"
	RuleLeaving     Rule = "leaving-gets-no-new-work"
	RulePlannedStop Rule = "planned-stop-cuts-nothing"
	RuleConfig      Rule = "configuration-in-force-never-reverts"
)

// State is what came of judging a rule.
type State string

// The states of a verdict.
const (
	Kept         State = "kept"
	Violated     State = "violated"
	NotExercised State = "not exercised"
)

// Finding is one violation.
type Finding struct {
	At     time.Time `json:"at,omitzero"`
	Detail string    `json:"detail"`
}

// Verdict is what one judge found.
type Verdict struct {
	Rule  Rule  `json:"rule"`
	State State `json:"state"`
	// Exercised counts the cases that were judged; Unit says of what.
	Exercised int       `json:"exercised"`
	Unit      string    `json:"unit"`
	Findings  []Finding `json:"findings,omitempty"`
	// Notes say what limits the verdict.
	Notes []string `json:"notes,omitempty"`
}

// Report has the verdicts in the order of the rules.
type Report struct {
	Verdicts []Verdict `json:"verdicts"`
}

// Violations counts the findings of all rules.
func (r Report) Violations() int {
	count := 0
	for _, verdict := range r.Verdicts {
		count += len(verdict.Findings)
	}
	return count
}

// Of returns the verdict of one rule.
func (r Report) Of(rule Rule) Verdict {
	for _, verdict := range r.Verdicts {
		if verdict.Rule == rule {
			return verdict
		}
	}
	return Verdict{Rule: rule, State: NotExercised}
}

// Judge judges every rule.
func Judge(evidence Evidence, tolerances Tolerances) Report {
	judges := []func(Evidence, Tolerances) Verdict{
		judgeReplicas, judgeMemory, judgeEnded, judgeOwnAnswer, judgeNotRun,
		judgeAtMostOnce, judgeLeaving, judgePlannedStop, judgeConfig,
	}
	var report Report
	for _, judge := range judges {
		report.Verdicts = append(report.Verdicts, judge(evidence, tolerances).settled())
	}
	return report
}

// settled sets the state that the counts amount to.
func (v Verdict) settled() Verdict {
	switch {
	case len(v.Findings) > 0:
		v.State = Violated
	case v.Exercised == 0:
		v.State = NotExercised
	default:
		v.State = Kept
	}
	return v
}

func (v *Verdict) find(at time.Time, format string, arguments ...any) {
	v.Findings = append(v.Findings, Finding{At: at, Detail: fmt.Sprintf(format, arguments...)})
}

func (v *Verdict) note(format string, arguments ...any) {
	v.Notes = append(v.Notes, fmt.Sprintf(format, arguments...))
}
