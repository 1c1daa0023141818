// Package queue implements a node's queue of model requests that wait for a
// replica with free capacity. It admits, orders, releases and refuses them:
// requests are ordered by priority, which rises as they age, and are refused as
// soon as they cannot meet their deadline. Each request that arrives leaves the
// queue exactly once: at or before its deadline by an effect, Release or Refuse,
// or by the message Cancel.
//
// The package is a deterministic state machine (Core.Step) without I/O, clock or
// goroutines. Package gateway drives it in a node, and the simulator in tests.
// It may import fleet.
package queue
