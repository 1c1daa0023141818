// Package evacuation tracks which zones are evacuated: until the operator ends the evacuation of
// a zone, no new requests may be sent to its servers. A Table merges snapshots of the store,
// snapshots of peers and store events, and keeps its state when the store is restored from an
// older copy. It is used by the nodes in internal/edge, internal/routing and internal/control;
// its types are also produced by platform and internal/catalog.
//
// The package may import storepos and the standard library only. It performs no I/O, reads no
// clock and starts no goroutines.
package evacuation
