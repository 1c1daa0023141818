// Package verify explores small models of the system exhaustively: the real
// cores of leadership and of claims, each among a handful of processes, in
// every order of messages, restarts and time-outs up to a bound. It has tests
// only.
//
// Its tests may import leadership, claim, allotment and fleet.
package verify
