// Package retrybudget bounds the repeats of requests that all nodes together
// send to a service, by giving each node its share. No node asks another: a
// share holds through cuts and restarts.
//
// It may import the standard library only. No I/O, no clock, no goroutine.
package retrybudget
