// Package placer is the core of the leader that orders models and adapters onto
// servers. It keeps, for each server, what the server itself reported and what
// its own orders since then did; an order without an answer counts as carried
// out until the server's count of orders shows otherwise, and each order names
// the count that it expects, so that a late one cannot take effect after a
// newer one.
//
// It may import inventory, routetable and dispatch's vocabulary. No I/O, no
// clock, no goroutine.
package placer
