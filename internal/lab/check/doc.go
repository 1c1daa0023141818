// Package check evaluates a load run against the system's correctness rules.
// It compares what callers observed with the executions and model loads that
// the simulated back ends recorded in their books. Each rule has one check,
// which also counts the cases it covered, so that a rule that was never
// exercised is not reported as kept.
//
// The scenario and the fault tests collect an Evidence and pass it to Judge.
//
// It may import history, fleet, the stand-ins' books and porcupine.
package check
