// Package attempt is the state machine of one caller's request: it decides when an attempt is sent,
// resumed, continued at another back end, hedged or given up, which chunks belong to the answer, and
// what may be said of the outcome. Package gateway feeds each request's Core with messages and carries
// out the effects that it returns; the simulator drives the same code. A Core owns only the state of its
// request.
//
// It may import fleet. It does no I/O, reads no clock and starts no goroutine.
package attempt
