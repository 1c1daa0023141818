// Package queue is the core that holds a node's waiting model requests: it
// admits, orders, releases and refuses them. Every request that arrives leaves
// again by exactly one effect, Release or Refuse, at or before its deadline, or
// by the message Leave.
//
// It may import fleet. No I/O, no clock, no goroutine.
package queue
