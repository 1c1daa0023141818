// Package bounded reads what other processes send within bounds: whatever a server, a peer or the store
// sends, it costs this process no more than a known number of bytes. Package backendconn reads heads of
// responses through it, relay events of streams, and the clients of the store, of peers and of engines
// bodies.
//
// Apart from the standard library it may import errorx.
package bounded
