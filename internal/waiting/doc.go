// Package waiting decides on requests that no server takes now: which are kept and
// which refused, when the callers of those are to come back, when to look again, and
// who goes first at a server. Time comes in as now; it knows no request beyond what is
// told of it, and no clock.
//
// It may import the standard library only.
package waiting
