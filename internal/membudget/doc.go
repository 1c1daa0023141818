// Package membudget bounds what a node keeps in memory for callers and servers: bodies of requests, buffered
// responses and events. A request reserves what it needs before it is read, and is refused where the budget
// has no room, so that the node does not end with the requests of all its other callers.
//
// Beside the standard library it imports nothing.
package membudget
