package edge

import (
	"net"
	"net/http"
	"testing"
	"time"
)

func TestOnlyRestingConnectionsAreClosed(t *testing.T) {
	callers := newCallers()
	resting, busy := pipe(t), pipe(t)
	for _, conn := range []net.Conn{resting, busy} {
		callers.changed(conn, http.StateNew)
		callers.changed(conn, http.StateActive)
		callers.changed(conn, http.StateIdle)
	}
	callers.changed(busy, http.StateActive)
	now := time.Now()
	if got := callers.closeResting(now.Add(time.Minute), 0); got != 0 {
		t.Errorf("%d closed without a bound", got)
	}
	if got := callers.closeResting(now.Add(5*time.Second), 15*time.Second); got != 0 {
		t.Errorf("%d closed within the bound", got)
	}
	if got := callers.closeResting(now.Add(20*time.Second), 15*time.Second); got != 1 {
		t.Errorf("%d closed, want the one that rested", got)
	}
	if _, err := resting.Write([]byte("x")); err == nil {
		t.Error("the connection that rested is open")
	}
	if got := callers.closeResting(now.Add(30*time.Second), 15*time.Second); got != 0 {
		t.Errorf("%d closed again", got)
	}
}

func pipe(t *testing.T) net.Conn {
	t.Helper()
	one, other := net.Pipe()
	t.Cleanup(func() { _, _ = one.Close(), other.Close() })
	return one
}
