// Package batching is an experiment runner that simulates one engine stand-in on a
// virtual clock under Poisson arrivals. The policy of the experiment is the
// maximum batch size. The results show how the batch size affects throughput and
// the time to the first token. It is also the simplest example of a runner for
// the experiment package.
//
// It may import experiment, fleet, backend's wire types and standin/engine.
package batching
