// Package placement decides which models and adapters are loaded on which
// engines of a zone, within the zone's allotment of replicas, the engines'
// memory and the limits of the shared weight store.
//
// Core is a deterministic state machine without I/O: the node that leads the
// zone passes it messages and carries out the effects that it returns.
//
// It may import fleet, catalog and backend's wire types.
package placement
