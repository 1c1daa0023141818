package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RuleName names a rule that must always hold.
type RuleName string

// violationLimit bounds the violations that are kept of one rule.
const violationLimit = 5

// Rules counts how often each rule was exercised, and keeps its violations.
type Rules struct {
	scheduler *Scheduler
	trace     *Trace
	results   map[RuleName]*RuleResult
}

// RuleResult is what a run showed of one rule.
type RuleResult struct {
	Name RuleName `json:"name"`
	// Exercised counts the checks that could have failed.
	Exercised uint64 `json:"exercised"`
	// Violated counts the checks that failed; the first few are kept.
	Violated   uint64      `json:"violated"`
	Violations []Violation `json:"violations,omitempty"`
}

// Violation is one check that failed.
type Violation struct {
	At     time.Duration `json:"at"`
	Detail string        `json:"detail"`
}

// NewRules returns the rules of a run, none of them exercised.
func NewRules(scheduler *Scheduler, trace *Trace, names ...RuleName) *Rules {
	rules := &Rules{scheduler: scheduler, trace: trace, results: make(map[RuleName]*RuleResult)}
	for _, name := range names {
		rules.results[name] = &RuleResult{Name: name}
	}
	return rules
}

// Check counts one check of a rule, and a violation where it does not hold.
// The detail is only formatted for a violation that is kept.
func (r *Rules) Check(name RuleName, holds bool, format string, arguments ...any) {
	result := r.result(name)
	result.Exercised++
	if holds {
		return
	}
	result.Violated++
	if len(result.Violations) >= violationLimit {
		return
	}
	violation := Violation{At: r.scheduler.Elapsed(), Detail: fmt.Sprintf(format, arguments...)}
	result.Violations = append(result.Violations, violation)
	r.trace.Note("VIOLATION of %s: %s", name, violation.Detail)
}

func (r *Rules) result(name RuleName) *RuleResult {
	result, found := r.results[name]
	if !found {
		panic(fmt.Sprintf("sim: rule %q was not declared", name))
	}
	return result
}

// Results are the results sorted by name.
func (r *Rules) Results() []RuleResult {
	results := make([]RuleResult, 0, len(r.results))
	for _, result := range r.results {
		results = append(results, *result)
	}
	slices.SortFunc(results, func(a, b RuleResult) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return results
}
