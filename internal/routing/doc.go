// Package routing selects a back end for each attempt of a request: it filters the known back ends,
// scores the remaining ones and picks the better of two random choices. It owns the circuit
// breakers, the outlier detection and the node's own attempts in flight, since the load reports of
// engines lag behind.
//
// The gateway, the simulator and the lab drive a Core with messages, and act on the effects that
// Step returns.
//
// It may import admission, evacuation, fleet, inventory and locality. It does no I/O, reads no
// clock and starts no goroutines.
package routing
