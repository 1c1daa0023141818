// Package world simulates a whole fleet on the framework of package sim. Nodes
// consist of the same cores that run in production. Engines, services, the
// object store, the machine list and the weight store are the models of the
// stand-ins. Operators and callers generate load, faults are injected, and a
// checker compares the actual state of engines, services, store and nodes with
// the rules.
//
// It may import only sim, the cores, the models of the stand-ins and the wire
// types.
package world
