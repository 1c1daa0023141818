// Package policy compares policies of keep-alive, preload and eviction on one
// trace: the placement core of each zone runs on a virtual clock against
// simulated engines and the model of the weight store. It is an experiment
// runner; the same parameters give the same figures, bit by bit.
//
// It may import experiment, placement, allotment, catalog, fleet, backend's
// wire types and standin/weights.
package policy
