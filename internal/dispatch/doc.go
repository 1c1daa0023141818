// Package dispatch is the core that chooses a server for each request of a
// node, and says how long a request must wait where none can take it now. It
// merges what servers say of themselves, what the leader says of its orders,
// what peers have under way, and what this node saw.
//
// It may import admission, inventory and routetable. No I/O, no clock, no goroutine: the
// time comes in with each call. A Core is not safe for concurrent use; Shared
// guards one.
package dispatch
