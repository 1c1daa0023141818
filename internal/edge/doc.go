// Package edge runs a node that keeps nothing: it follows the configuration and
// the servers in the platform's store, answers whether it is ready, and serves
// callers until it is told to stop.
//
// It may import relay, dispatch, inventory, routetable and their cores. What
// the store speaks comes in through the interface Store.
package edge
