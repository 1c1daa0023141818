// Package routing is the core that chooses a back end for each attempt: it
// filters the known back ends, scores those that are left and picks the better
// of two drawn at random. It keeps the circuits and the node's own requests in
// flight, since the reports of engines lag.
//
// It may import admission, evacuation, fleet, inventory and locality. No I/O, no clock, no goroutine.
package routing
