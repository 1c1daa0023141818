package backendconn

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// acceptingListener accepts connections and keeps them open until the test ends.
func acceptingListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// takeConn returns a connection for the request, or ends the test.
func takeConn(t *testing.T, pool *Pool, address, requestID string) *Conn {
	t.Helper()
	conn, err := pool.Get(context.Background(), address, requestID)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestNoConnectionCarriesARequestTwice guards against a request that is sent again on a connection where
// the response to its earlier send may come a second time.
func TestNoConnectionCarriesARequestTwice(t *testing.T) {
	address, pool := acceptingListener(t), New(Options{})
	first := takeConn(t, pool, address, "a")
	second := takeConn(t, pool, address, "b")
	second.release(http.Header{})
	first.release(http.Header{})
	if again := takeConn(t, pool, address, "a"); again != second {
		t.Error("the repeat got the connection of the earlier send, or a new one, want the other idle one")
	}
	if third := takeConn(t, pool, address, "a"); third == first || third.Reused {
		t.Error("the second repeat got a connection that carried the request, want a new one")
	}
	if other := takeConn(t, pool, address, "c"); other != first {
		t.Error("another request got a new connection, want the idle one")
	}
}

// TestConnectionIsClosedWhenItsHistoryIsFull guards against a history that grows without a bound, and
// against one that forgets requests.
func TestConnectionIsClosedWhenItsHistoryIsFull(t *testing.T) {
	address, pool := acceptingListener(t), New(Options{})
	for range 2 {
		for number := range maxRequestsPerConn {
			takeConn(t, pool, address, strconv.Itoa(number)).release(http.Header{})
		}
	}
	if count := pool.DialCount(); count != 2 {
		t.Errorf("%d connections for %d requests, want 2", count, 2*maxRequestsPerConn)
	}
}

// TestIdleConnectionsAreChosenByAge checks that a connection is chosen by when it was open, that it does not
// carry a request twice either, and that one on which nothing was sent is as before.
func TestIdleConnectionsAreChosenByAge(t *testing.T) {
	address, pool := acceptingListener(t), New(Options{})
	first := takeConn(t, pool, address, "a")
	openBy := clock.Now()
	second := takeConn(t, pool, address, "b")
	first.release(http.Header{})
	second.release(http.Header{})
	if first.OpenedAt().After(openBy) || !second.OpenedAt().After(openBy) {
		t.Fatalf("opened at %v and %v, want before and after %v", first.OpenedAt(), second.OpenedAt(), openBy)
	}
	if got := pool.GetIdle(address, "a", openBy); got != nil {
		t.Error("a request got the connection that carried it")
	}
	got := pool.GetIdle(address, "c", openBy)
	if got != first {
		t.Fatal("got another connection than the one that was open by then")
	}
	if pool.GetIdle(address, "d", openBy) != nil {
		t.Error("a connection was handed out twice, or one opened since")
	}
	got.PutBack()
	if again := pool.GetIdle(address, "c", openBy); again != first {
		t.Error("a request did not get the connection that it put back")
	}
	if dials := pool.DialCount(); dials != 2 {
		t.Errorf("%d connections were opened, want 2", dials)
	}
}
