// Package gossip is the core that knows which nodes are there, from the
// datagrams that they send each other. A node is alive while it was heard from
// lately; nothing of safety hangs on it. What the store said of servers travels
// with the datagrams as news.
//
// It may import admission, peerpb, inventory and locality. No I/O, no clock, no goroutine.
package gossip
