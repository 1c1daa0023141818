// Package policy compares keep-alive, preload and eviction policies in a
// discrete-event simulation. It replays one generated trace of requests and
// faults against the placement core of each zone, with simulated engines and a
// model of the weight store, on a virtual clock. Run is the runner that the
// experiment package calls; equal parameters give bit-identical results.
//
// It may import experiment, placement, allotment, catalog, fleet, backend's
// wire types and standin/weights.
package policy
