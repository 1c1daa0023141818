package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
)

// Guards against a clock that stops during a suspension: the request's deadline has passed.
func TestRequestFromBeforeASuspensionIsNotSent(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.options.Pool = suspendingPool(10*time.Second, t)
	got := f.send(t, http.MethodPost, "/once/x", "body")
	if server.count() > 0 {
		t.Errorf("sent with a deadline of 5 s after a suspension of 10 s; status %d", got.status)
	}
	if got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503: it has not run", got.status)
	}
}

// Guards against a clock that stops during a suspension: the budget's window has passed.
func TestRepeatsOfBeforeASuspensionDoNotCount(t *testing.T) {
	f := newFixture(t)
	for f.handler.takeRetry("svc") {
		continue
	}
	clock.SimulateSuspend(time.Minute)
	defer clock.SimulateSuspend(-time.Minute)
	if !f.handler.takeRetry("svc") {
		t.Error("no retry left a minute after the budget was used up")
	}
}

// suspendingPool simulates a suspension of the machine while a connection is opened.
func suspendingPool(d time.Duration, t *testing.T) *backendconn.Pool {
	return backendconn.New(backendconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		clock.SimulateSuspend(d)
		t.Cleanup(func() { clock.SimulateSuspend(-d) })
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}})
}
