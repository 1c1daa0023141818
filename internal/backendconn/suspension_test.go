package backendconn

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// TestKeptConnectionsEndInASuspension: their servers have closed them meanwhile.
func TestKeptConnectionsEndInASuspension(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := New(Options{IdleTimeout: 2 * time.Second})
	conn, err := pool.Get(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.release(http.Header{})
	clock.SimulateSuspend(5 * time.Second)
	defer clock.SimulateSuspend(-5 * time.Second)
	again, err := pool.Get(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if again.Reused {
		t.Error("a connection was used again that had rested for 5 s, of 2 s that it may")
	}
}
