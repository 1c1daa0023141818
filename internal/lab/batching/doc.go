// Package batching is an experiment runner: one engine stand-in on a virtual
// clock under Poisson arrivals, with the policy being the most requests that
// run in one batch. It shows what a batch costs the first token and gains in
// throughput, and is the least runner there is for the experiments' frame.
//
// It may import experiment, fleet, backend's wire types and standin/engine.
package batching
