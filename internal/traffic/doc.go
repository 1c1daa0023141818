// Package traffic counts the bytes and messages of a node's control traffic, which
// is all traffic except callers' requests and their responses. It owns the metrics
// and wraps the HTTP clients, listeners, handlers and packet connections of the
// packages that talk to peers, engines and the store.
//
// It may import nothing of this module.
package traffic
