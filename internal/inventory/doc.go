// Package inventory holds what a node believes of the servers: who is there,
// at which address, in which state, and which models it says it holds.
//
// It may import the standard library only. No I/O, no clock, no goroutine.
package inventory
