// Package reachability decides whether a node can open connections to the servers of a service.
//
// A server that does not answer says little: it may have crashed, be overloaded or be silent for a
// moment. A node that no server of a service answers is itself the more likely cause, or shares the
// cause with the whole service. Tracker therefore judges by several servers at once: a failed
// connection asks for probes of other servers, and the service counts as unreachable once none of
// them answers. Probes also find the end.
//
// Tracker is a deterministic state machine without I/O, goroutines or clock. It may import the
// standard library only.
package reachability
