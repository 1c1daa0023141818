package backendconn

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// TestKeptConnectionsEndInASuspension guards against the reuse of a kept connection after the
// process was suspended: its server has closed the connection in the meantime.
func TestKeptConnectionsEndInASuspension(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := New(Options{IdleTimeout: 2 * time.Second})
	conn, err := pool.Get(context.Background(), listener.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	conn.release(http.Header{})
	clock.SimulateSuspend(5 * time.Second)
	defer clock.SimulateSuspend(-5 * time.Second)
	again, err := pool.Get(context.Background(), listener.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if again.Reused {
		t.Error("a connection was reused after 5 s idle, with an idle timeout of 2 s")
	}
}
