// Package peer carries calls between nodes: twirp clients and the server that
// the node's shells register with. The generated code lies in peerpb.
//
// It may import fleet, poison for the reports that calls and datagrams carry, and peerpb.
package peer
