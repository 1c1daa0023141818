// Package control composes leadership, allotment and placement into the core
// that runs on every node: it leads the node's zone where that falls to it,
// holds the route tables of all zones, and passes wants to whoever decides.
//
// It may import fleet, catalog, allotment, leadership, placement, and the wire
// types of platform and backend.
package control
