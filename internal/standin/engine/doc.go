// Package engine simulates an inference engine for tests and the simulator:
// accelerator memory, fenced claims and orders, model loads, continuous
// batching, token streams and a prefix cache.
//
// Core is a deterministic state machine: it does no I/O, starts no goroutine
// and reads no clock. The HTTP driver (standin/httpdriver) and the simulator
// both drive it by passing messages to Core.Step and acting on the effects that
// Step returns.
//
// It may import fleet, the wire types of backend, and standin/books.
package engine
