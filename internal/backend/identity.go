package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// sentOver observes the connection that net/http sends a request over.
type sentOver struct {
	reused atomic.Bool
	// conn is nil until there is a connection.
	conn atomic.Pointer[net.Conn]
}

// trace returns a context with which the observed connection is recorded. onConn is called with it; nil
// calls nothing.
func (s *sentOver) trace(ctx context.Context, onConn func(net.Conn)) context.Context {
	var endWrite atomic.Pointer[func(error)]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.reused.Store(info.Reused)
			s.conn.Store(&info.Conn)
			if onConn != nil {
				onConn(info.Conn)
			}
			if tracked, ok := info.Conn.(*trackedConn); ok {
				end := tracked.beginExchange()
				endWrite.Store(&end)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if end := endWrite.Load(); end != nil {
				(*end)(info.Err)
			}
		},
	})
}

// checkIdentity returns an error unless the response belongs to the request. On a connection that was
// used before, a late copy of an earlier response may come first, so there the response must name the
// attempt. If it does not belong to the request the connection is closed, with the response that is still
// to come.
func (s *sentOver) checkIdentity(request *http.Request, response *http.Response) error {
	for _, name := range []string{HeaderRequestID, HeaderAttempt} {
		named := response.Header.Get(name)
		if named == request.Header.Get(name) || named == "" && !s.reused.Load() {
			continue
		}
		if conn := s.conn.Load(); conn != nil {
			_ = (*conn).Close()
		}
		_ = response.Body.Close()
		return &SendError{Err: &ProtocolError{Detail: "the answer names another attempt"}}
	}
	return nil
}
