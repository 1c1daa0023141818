package check

import (
	"fmt"
	"time"
)

// Rule names a correctness rule.
type Rule string

// The rules, in the order of the report's verdicts.
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

// State is the result of checking a rule.
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

// Verdict is the result of one rule's check.
type Verdict struct {
	Rule  Rule  `json:"rule"`
	State State `json:"state"`
	// Exercised counts the cases that were checked; Unit names what is counted.
	Exercised int       `json:"exercised"`
	Unit      string    `json:"unit"`
	Findings  []Finding `json:"findings,omitempty"`
	// Notes describe limitations of the verdict.
	Notes []string `json:"notes,omitempty"`
}

// Report holds one verdict for each rule.
type Report struct {
	Verdicts []Verdict `json:"verdicts"`
}

// Violations returns the number of findings of all rules.
func (r Report) Violations() int {
	count := 0
	for _, verdict := range r.Verdicts {
		count += len(verdict.Findings)
	}
	return count
}

// Of returns the verdict of the given rule.
func (r Report) Of(rule Rule) Verdict {
	for _, verdict := range r.Verdicts {
		if verdict.Rule == rule {
			return verdict
		}
	}
	return Verdict{Rule: rule, State: NotExercised}
}

// Judge checks every rule and returns the verdicts.
func Judge(evidence Evidence, tolerances Tolerances) Report {
	checks := []func(Evidence, Tolerances) Verdict{
		checkReplicas, checkMemory, checkEnded, checkOwnAnswer, checkNotRun,
		checkAtMostOnce, checkLeaving, checkPlannedStops, checkConfig,
	}
	var report Report
	for _, check := range checks {
		report.Verdicts = append(report.Verdicts, check(evidence, tolerances).withState())
	}
	return report
}

// withState returns the verdict with its state derived from the findings and
// the number of checked cases.
func (v Verdict) withState() Verdict {
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

func (v *Verdict) addFinding(at time.Time, format string, arguments ...any) {
	v.Findings = append(v.Findings, Finding{At: at, Detail: fmt.Sprintf(format, arguments...)})
}

func (v *Verdict) addNote(format string, arguments ...any) {
	v.Notes = append(v.Notes, fmt.Sprintf(format, arguments...))
}
