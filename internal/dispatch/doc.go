// Package dispatch selects a server for each request of a node, and estimates how long a request
// has to wait when no server can take it now. It merges several sources: the entries and responses
// of the servers themselves, the leader's views of its load orders, the loads that peers report,
// and the outcomes of this node's own requests.
//
// The relay asks it for servers and reports outcomes; the edge feeds it entries, views and peer
// loads, and passes its demand counts and loads on to peers.
//
// It may import admission, inventory and routetable. It does no I/O, reads no clock and starts no
// goroutines: the current time is passed in with each call. A Core is not safe for concurrent use;
// Shared protects one with a mutex.
package dispatch
