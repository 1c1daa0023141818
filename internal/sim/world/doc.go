// Package world puts the product's cores on the simulation's frame: nodes made
// of the very cores that run in production, the stand-ins' models of engines,
// object store, machine list and weight store, operators and callers, the
// faults, and the judge that holds the engines' own state against the rules.
//
// It may import sim, the cores, the stand-ins' models and the wire types.
package world
