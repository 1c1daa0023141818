// Package callerconn gives the handler of an HTTP request a say in how its caller's connection is closed.
// The servers of edge and node install WithConn; relay uses the rest.
//
// It may import the standard library only.
package callerconn

import (
	"context"
	"net"
)

type contextKey struct{}

// WithConn is a ConnContext hook of http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// FromContext returns the connection of a request; ok is false if its server has no WithConn.
func FromContext(ctx context.Context) (conn net.Conn, ok bool) {
	conn, ok = ctx.Value(contextKey{}).(net.Conn)
	return conn, ok
}

// Values of SO_LINGER.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// ResetOnClose has the kernel reset the connection when it is closed, even if this process is killed, until
// CloseInOrder is called. The end of a body that ends with its connection looks whole otherwise.
func ResetOnClose(ctx context.Context) { setLinger(ctx, lingerReset) }

// CloseInOrder restores the ordinary close. All that was written has to be flushed before.
func CloseInOrder(ctx context.Context) { setLinger(ctx, lingerDefault) }

func setLinger(ctx context.Context, seconds int) {
	conn, _ := FromContext(ctx)
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection has ended.
		_ = lingerer.SetLinger(seconds)
	}
}
