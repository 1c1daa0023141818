// Package control is the control core that runs on every node. It combines the
// leadership and placement cores with the allotment record: when the node is
// its zone's leader it claims the zone's engines, orders loads and publishes
// the zone's route table; on every node it keeps the route tables of all zones
// and forwards reports of waiting requests to the node that can serve them.
//
// The core is a deterministic state machine without I/O. The node package (and
// the simulator) feeds it messages through Core.Step and carries out the
// effects that it returns.
//
// It may import fleet, catalog, allotment, leadership, placement, and the wire
// types of platform and backend.
package control
