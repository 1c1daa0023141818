// Package load sends requests to a running system the way many independent
// callers do: arrivals do not wait for answers, so a slow system is not
// spared. A plan is drawn from a seed; the runner carries it out and records a
// history.
//
// It may import history, fleet, spec and objectstore's wire types.
package load
