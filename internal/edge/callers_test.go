package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/clock"
)

func TestOnlyRestingConnectionsAreClosed(t *testing.T) {
	conns := newCallerConns()
	idle, busy := pipe(t), pipe(t)
	for _, conn := range []net.Conn{idle, busy} {
		conns.onConnState(conn, http.StateNew)
		conns.onConnState(conn, http.StateActive)
		conns.onConnState(conn, http.StateIdle)
	}
	conns.onConnState(busy, http.StateActive)
	now := clock.Now()
	if got := conns.closeIdle(now.Add(time.Minute), 0); got != 0 {
		t.Errorf("%d closed without a bound, want 0", got)
	}
	if got := conns.closeIdle(now.Add(5*time.Second), 15*time.Second); got != 0 {
		t.Errorf("%d closed within the bound, want 0", got)
	}
	if got := conns.closeIdle(now.Add(20*time.Second), 15*time.Second); got != 1 {
		t.Errorf("%d closed, want the idle one", got)
	}
	if _, err := idle.Write([]byte("x")); err == nil {
		t.Error("the idle connection is still open")
	}
	if got := conns.closeIdle(now.Add(30*time.Second), 15*time.Second); got != 0 {
		t.Errorf("%d closed again, want 0", got)
	}
}

func pipe(t *testing.T) net.Conn {
	t.Helper()
	one, other := net.Pipe()
	t.Cleanup(func() { _, _ = one.Close(), other.Close() })
	return one
}

// TestCloseAndRequestDoNotCross guards against a request being sent to a server while its
// caller's connection is closed. http.Server marks a connection active only after reading the
// request, so closing idle connections must be synchronized with the start of requests.
func TestCloseAndRequestDoNotCross(t *testing.T) {
	conns := newCallerConns()
	first, second := pipe(t), pipe(t)
	for _, conn := range []net.Conn{first, second} {
		conns.onConnState(conn, http.StateNew)
		conns.onConnState(conn, http.StateIdle)
	}
	if !conns.beginRequest(first) {
		t.Error("a request on an open connection was rejected")
	}
	if got := conns.closeIdle(clock.Now().Add(time.Minute), time.Second); got != 1 {
		t.Errorf("%d closed, want the one without a request", got)
	}
	if conns.beginRequest(second) {
		t.Error("a request on a closed connection was accepted")
	}
	if busy := conns.closeAllIdle(); busy != 1 {
		t.Errorf("%d busy, want the one with a request", busy)
	}
	conns.onConnState(first, http.StateIdle)
	if busy := conns.closeAllIdle(); busy != 0 {
		t.Errorf("%d busy after the response, want 0", busy)
	}
}

// TestRequestOnAClosedConnectionGoesNowhere checks the handler that rejects requests on closed
// connections.
func TestRequestOnAClosedConnectionGoesNowhere(t *testing.T) {
	conns := newCallerConns()
	passed := 0
	handler := conns.rejectClosed(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed++ }))
	conn := pipe(t)
	conns.onConnState(conn, http.StateNew)
	conns.onConnState(conn, http.StateIdle)
	conns.closeAllIdle()
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(callerconn.WithConn(request.Context(), conn))
	func() {
		defer func() { _ = recover() }()
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	if passed != 0 {
		t.Error("a request on a closed connection reached the handler")
	}
}
