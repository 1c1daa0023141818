// Package edge runs a stateless gateway node. It follows the configuration and the server list
// in the platform's store, exchanges state with its peers by UDP gossip, routes client requests
// to servers, and serves until it is stopped. At any time one node holds the leader lease and
// places models on servers.
//
// The package wires together the cores that it feeds (relay, dispatch, placer, storelease,
// gossip, retrybudget, quota, admission); it may also import the types that they share
// (inventory, routetable), backendconn, peer, peerpb and prometheus. Everything specific to a
// platform comes in through the interfaces Store, LeaseStore, EngineClient and relay.Dialect.
// The program's main package creates one Node with New and calls Run.
package edge
