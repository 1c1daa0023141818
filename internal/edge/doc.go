// Package edge runs a node that keeps nothing: it follows the configuration and
// the servers in the platform's store, answers whether it is ready, and serves
// callers until it is told to stop.
//
// It may import the cores that it feeds (relay, dispatch, placer, storelease,
// gossip, retrybudget, quota, admission), their vocabulary (inventory, routetable), backendconn,
// peer, peerpb and prometheus. What the platform speaks comes in through the
// interfaces Store, LeaseStore, Engines and relay.Dialect.
package edge
