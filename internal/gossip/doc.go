// Package gossip maintains one node's view of the fleet from the datagrams that nodes send each
// other: which nodes are alive, who leads, whom to send to next, and which server changes and
// server hints to pass on. A node counts as alive while a datagram from it arrived recently; no
// safety property depends on that. What the store reported about servers travels with the datagrams
// as server changes.
//
// The package owns the roster of peers and the queues of outgoing changes and hints; package edge
// feeds it datagrams and sends what it selects. It does no I/O, reads no clock and starts no
// goroutine. Of this module it may import admission, peerpb, inventory, locality and storepos.
package gossip
