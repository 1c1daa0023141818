// Package placer decides which models and adapters are loaded on which inference servers, and
// when. It is the core of the leader; internal/edge feeds it with store entries, server reports,
// request counts and order results, and carries out the orders and report requests that it
// returns.
//
// For each server, the core keeps what the server last reported and what its own orders have
// changed since. An order without an answer is assumed to have been executed until the server's
// sequence number, which counts the orders it accepted, shows otherwise. Each order names the
// sequence number that it expects, so that a late order cannot take effect after a newer one.
//
// The package may import inventory, routetable, locality and the types of dispatch. It performs
// no I/O, reads no clock and starts no goroutines.
package placer
