// Package locality describes where machines are, on two levels: zones, which fail or get
// partitioned as a whole, and regions, which consist of zones and are connected by slow and
// expensive links. It compares locations (Map, Distance), and holds the set of regions in which a
// request may run (Regions). Routing, dispatch, the placer and the configuration packages use it.
//
// It may import the standard library only. It does no I/O, reads no clock and starts no goroutine.
package locality
