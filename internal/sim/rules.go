package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RuleName is the name of a rule: an invariant that must hold in every run.
type RuleName string

// maxKeptViolations is the number of violations kept in detail for each rule.
const maxKeptViolations = 5

// Rules counts the checks of each rule and keeps its first violations.
type Rules struct {
	scheduler *Scheduler
	trace     *Trace
	results   map[RuleName]*RuleResult
}

// RuleResult is the result of one rule in a run.
type RuleResult struct {
	Name RuleName `json:"name"`
	// Exercised counts the checks that could have failed.
	Exercised uint64 `json:"exercised"`
	// Violated counts the checks that failed; Violations holds the first of
	// them.
	Violated   uint64      `json:"violated"`
	Violations []Violation `json:"violations,omitempty"`
}

// Violation is one check that failed.
type Violation struct {
	At     time.Duration `json:"at"`
	Detail string        `json:"detail"`
}

// NewRules declares the rules of a run, none of them exercised yet.
func NewRules(scheduler *Scheduler, trace *Trace, names ...RuleName) *Rules {
	rules := &Rules{scheduler: scheduler, trace: trace, results: make(map[RuleName]*RuleResult)}
	for _, name := range names {
		rules.results[name] = &RuleResult{Name: name}
	}
	return rules
}

// Check counts one check of a rule, and a violation if the rule does not hold.
// The detail is formatted only for a violation that is kept.
func (r *Rules) Check(name RuleName, holds bool, format string, arguments ...any) {
	result := r.result(name)
	result.Exercised++
	if holds {
		return
	}
	result.Violated++
	if len(result.Violations) >= maxKeptViolations {
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

// Results returns the results sorted by rule name.
func (r *Rules) Results() []RuleResult {
	results := make([]RuleResult, 0, len(r.results))
	for _, result := range r.results {
		results = append(results, *result)
	}
	slices.SortFunc(results, func(a, b RuleResult) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return results
}
