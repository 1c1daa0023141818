// Package sim is the frame of the deterministic simulation: one event queue on
// a virtual clock, named random streams of one seed, a network and processes
// that fail by a drawn plan, a hashed event history, rules that count how often
// they were exercised, and the search for a smaller failing plan.
//
// The frame knows nothing of the product. The package world puts the product's
// cores on it.
//
// It may import the standard library and xxhash only.
package sim
