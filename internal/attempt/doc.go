// Package attempt is the core of one caller's request: it decides when an
// attempt is opened, resumed, continued at another back end or given up, which
// chunks belong to the answer, and what may be said of the outcome.
//
// It may import fleet. No I/O, no clock, no goroutine.
package attempt
