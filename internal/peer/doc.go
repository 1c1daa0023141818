// Package peer provides the RPC between nodes: twirp clients for calling other
// nodes, and the HTTP handler for the services that a node offers to them. It also
// converts crash reports between their wire form and package poison. The generated
// code is in peerpb. Packages node and edge call it.
//
// It may import fleet, poison for the crash reports that calls and datagrams carry,
// traffic, and peerpb.
package peer
