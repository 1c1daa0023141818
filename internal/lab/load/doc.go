// Package load generates open-loop load against a running system, as many
// independent callers would: requests are sent at their planned times whether or
// not earlier ones have been answered, so that a slow system doesn't reduce the
// load. ReadClasses derives the possible traffic from the declared objects, Plan
// generates a schedule of calls from a seed, and Run sends them and records a
// history. Package scenario uses it for each load run.
//
// It may import history, fleet, spec and objectstore's wire types.
package load
