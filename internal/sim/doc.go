// Package sim is a framework for deterministic simulation testing. It provides
// an event queue with a virtual clock, named random streams derived from one
// seed, a simulated network and processes, fault plans drawn from the seed, a
// hash of the event history, invariants ("rules") that count how often they
// were checked, and a search for a smaller plan that still fails.
//
// The framework does not depend on the product; package world runs the
// product's cores on it.
//
// It may import only the standard library and xxhash.
package sim
