// Package inventory holds what a node knows about the servers: which exist, at which address, in
// which state, and which models they report to hold. Its Table merges the lists and events of the
// store with what peers announce ahead of the store. It also has the types for what servers tell
// with their responses (Hint, RateLimit). The edge keeps the table; dispatch, the placer, relay,
// gateway and gossip read its types.
//
// Apart from the standard library it may import storepos and xxhash. It does no I/O, reads no clock
// and starts no goroutine.
package inventory
