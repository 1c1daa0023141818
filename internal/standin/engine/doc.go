// Package engine is the model of a model engine: accelerator memory, fenced
// claims and orders, loads, continuous batching, streams and a prefix cache.
//
// Core is a deterministic state machine without I/O, goroutine or clock; the
// HTTP driver and the simulator feed the same core.
//
// It may import fleet, backend's wire types and standin/books.
package engine
