package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

func TestOnlyRestingConnectionsAreClosed(t *testing.T) {
	callers := newCallerConns()
	resting, busy := pipe(t), pipe(t)
	for _, conn := range []net.Conn{resting, busy} {
		callers.onConnState(conn, http.StateNew)
		callers.onConnState(conn, http.StateActive)
		callers.onConnState(conn, http.StateIdle)
	}
	callers.onConnState(busy, http.StateActive)
	now := clock.Now()
	if got := callers.closeIdle(now.Add(time.Minute), 0); got != 0 {
		t.Errorf("%d closed without a bound", got)
	}
	if got := callers.closeIdle(now.Add(5*time.Second), 15*time.Second); got != 0 {
		t.Errorf("%d closed within the bound", got)
	}
	if got := callers.closeIdle(now.Add(20*time.Second), 15*time.Second); got != 1 {
		t.Errorf("%d closed, want the one that rested", got)
	}
	if _, err := resting.Write([]byte("x")); err == nil {
		t.Error("the connection that rested is open")
	}
	if got := callers.closeIdle(now.Add(30*time.Second), 15*time.Second); got != 0 {
		t.Errorf("%d closed again", got)
	}
}

func pipe(t *testing.T) net.Conn {
	t.Helper()
	one, other := net.Pipe()
	t.Cleanup(func() { _, _ = one.Close(), other.Close() })
	return one
}

// TestCloseAndRequestDoNotCross: the sweep closed connections outside its lock, and
// the library calls a connection busy only once a request was read: on a day with
// configurations that changed the bound a request was sent on to a server whose
// caller's connection was closed a moment later.
func TestCloseAndRequestDoNotCross(t *testing.T) {
	callers := newCallerConns()
	first, second := pipe(t), pipe(t)
	for _, conn := range []net.Conn{first, second} {
		callers.onConnState(conn, http.StateNew)
		callers.onConnState(conn, http.StateIdle)
	}
	if !callers.beginRequest(first) {
		t.Error("a request on an open connection is not passed on")
	}
	if got := callers.closeIdle(clock.Now().Add(time.Minute), time.Second); got != 1 {
		t.Errorf("%d closed, want the one without a request", got)
	}
	if callers.beginRequest(second) {
		t.Error("a request on a closed connection is passed on")
	}
	if busy := callers.closeAllIdle(); busy != 1 {
		t.Errorf("%d busy, want the one with a request", busy)
	}
	callers.onConnState(first, http.StateIdle)
	if busy := callers.closeAllIdle(); busy != 0 {
		t.Errorf("%d busy after the answer", busy)
	}
}

// TestRequestOnAClosedConnectionGoesNowhere goes through the library's server.
func TestRequestOnAClosedConnectionGoesNowhere(t *testing.T) {
	callers := newCallerConns()
	passed := 0
	handler := callers.rejectClosed(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed++ }))
	conn := pipe(t)
	callers.onConnState(conn, http.StateNew)
	callers.onConnState(conn, http.StateIdle)
	callers.closeAllIdle()
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(withConn(request.Context(), conn))
	func() {
		defer func() { _ = recover() }()
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	if passed != 0 {
		t.Error("a request went on from a connection that was closed")
	}
}
