// Package callerconn gives the handler of an HTTP request a say in how its caller's connection is closed.
// The servers of edge and node install WithConn; relay and gateway use the rest.
//
// It may import the standard library only.
package callerconn

import (
	"context"
	"net"
	"net/http"
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

// GuardEnd makes sure that the caller can tell a response with this header from a part of it, also if this
// process is killed: one without a length ends with its connection for callers of HTTP/1.0, who know no chunks,
// and the end of a connection that is closed in order looks whole. The kernel is told to reset the connection
// when it is closed, until ReleaseEnd is called, which is due if the end is guarded.
func GuardEnd(request *http.Request, header http.Header) (isGuarded bool) {
	if request.ProtoAtLeast(1, 1) || header.Get("Content-Length") != "" {
		return false
	}
	setLinger(request.Context(), lingerReset)
	return true
}

// ReleaseEnd is called once the response was written to its end.
func ReleaseEnd(writer http.ResponseWriter, request *http.Request) {
	if http.NewResponseController(writer).Flush() == nil {
		setLinger(request.Context(), lingerDefault)
	}
}

func setLinger(ctx context.Context, seconds int) {
	conn, _ := FromContext(ctx)
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection has ended.
		_ = lingerer.SetLinger(seconds)
	}
}
