// Package traffic counts the bytes and messages that a node's control sends and
// receives, at its connections and sockets, apart from its callers' requests.
//
// It may import nothing of this module.
package traffic
