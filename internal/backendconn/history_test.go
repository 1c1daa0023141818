package backendconn

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
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
