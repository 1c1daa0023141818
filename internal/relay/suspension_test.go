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

// TestRequestFromBeforeASuspensionIsNotSent: its caller's time is over.
func TestRequestFromBeforeASuspensionIsNotSent(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.options.Pool = suspendingPool(10*time.Second, t)
	got := f.send(t, http.MethodPost, "/once/x", "body")
	if server.count() > 0 {
		t.Errorf("sent with a deadline of 5 s after a suspension of 10 s; answered %d", got.status)
	}
	if got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503: it has not run", got.status)
	}
}

// TestRepeatsOfBeforeASuspensionDoNotCount: the window is over.
func TestRepeatsOfBeforeASuspensionDoNotCount(t *testing.T) {
	f := newFixture(t)
	for f.handler.takeRepeat("svc") {
		continue
	}
	clock.SimulateSuspend(time.Minute)
	defer clock.SimulateSuspend(-time.Minute)
	if !f.handler.takeRepeat("svc") {
		t.Error("no repeat a minute after those of before")
	}
}

// suspendingPool opens connections during which the machine is suspended.
func suspendingPool(d time.Duration, t *testing.T) *backendconn.Pool {
	return backendconn.New(backendconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		clock.SimulateSuspend(d)
		t.Cleanup(func() { clock.SimulateSuspend(-d) })
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}})
}
