package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// rawServer passes each accepted connection and its index to handle and closes
// the connection afterwards.
func rawServer(t *testing.T, handle func(index int, connection net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for index := 0; ; index++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				handle(index, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func stopCommand(key string) ServiceCall {
	return ServiceCall{RequestID: "r1", Attempt: 1, Method: http.MethodPost, Target: "/turbines/7/stop", Key: key, Body: []byte("now")}
}

func callOnce(t *testing.T, services *Services, address string, call ServiceCall) (*ServiceAnswer, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	return services.Call(ctx, address, call)
}

// TestNetHTTPResendsOnAUsedConnection documents the net/http behavior that
// non-repeatable calls must avoid: if a server reads the second request on a
// connection and closes it, net/http sends the request again, even a POST, as
// long as it has an Idempotency-Key.
func TestNetHTTPResendsOnAUsedConnection(t *testing.T) {
	var requests atomic.Int32
	address := rawServer(t, func(_ int, connection net.Conn) {
		reader := bufio.NewReader(connection)
		for isFirst := true; ; isFirst = false {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests.Add(1)
			if !isFirst {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	services := NewServices("a")
	defer services.Close()
	call := stopCommand("key-1")
	call.Repeatable = true
	for range 2 {
		callAndAwaitIdle(t, services, address, call)
	}
	if got := requests.Load(); got != 3 {
		t.Fatalf("server read %d requests for 2 calls, want 3: net/http no longer resends on a reused connection, see Services", got)
	}
}

// callAndAwaitIdle makes a call and returns once its connection is idle.
func callAndAwaitIdle(t *testing.T, services *Services, address string, call ServiceCall) {
	t.Helper()
	idle := make(chan error, 1)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(err error) { idle <- err }})
	if _, err := services.Call(ctx, address, call); err != nil {
		t.Fatal(err)
	}
	if err := <-idle; err != nil {
		t.Fatal(err)
	}
}

func TestCallThatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		handle func(connection net.Conn)
	}{
		"reads the request and closes": {handle: func(connection net.Conn) {
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
		}},
		"closes at once": {handle: func(connection net.Conn) { _ = connection.(*countedConn).Conn.(*net.TCPConn).CloseWrite() }},
		"reads half of the request and closes": {handle: func(connection net.Conn) {
			_, _ = io.ReadFull(connection, make([]byte, 20))
		}},
		"answers half": {handle: func(connection net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(connection))
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
		}},
		"redirects": {handle: func(connection net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(connection))
			_, _ = io.WriteString(connection, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n")
		}},
	}
	for name, test := range tests {
		for _, key := range []string{"", "key-1"} {
			t.Run(name+" "+key, func(t *testing.T) {
				var connections atomic.Int32
				received := make(chan int64, 8)
				address := rawServer(t, func(_ int, connection net.Conn) {
					connections.Add(1)
					counted := &countedConn{Conn: connection}
					test.handle(counted)
					if name == "closes at once" {
						_, _ = io.Copy(io.Discard, counted)
					}
					received <- counted.read
				})
				services := NewServices("a")
				defer services.Close()
				answer, err := callOnce(t, services, address, stopCommand(key))
				if name == "redirects" {
					if err != nil || answer.Status != http.StatusTemporaryRedirect {
						t.Fatalf("got %+v, %v", answer, err)
					}
				} else {
					var send *SendError
					if !errors.As(err, &send) {
						t.Fatalf("got %+v, %v", answer, err)
					}
					if got := <-received; send.NeverSent && got > 0 {
						t.Fatalf("call returned %v, but the server read %d bytes", err, got)
					}
				}
				if got := connections.Load(); got != 1 {
					t.Errorf("%d connections, want 1", got)
				}
			})
		}
	}
}

// countedConn counts the bytes read from a connection.
type countedConn struct {
	net.Conn
	read int64
}

func (c *countedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.read += int64(count)
	return count, err
}

func TestSealedConnectionSendsNothingLater(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	connection := &trackedConn{Conn: client}
	if !connection.blockIfUnwritten() {
		t.Fatal("an unwritten connection was not blocked")
	}
	if _, err := connection.Write([]byte("x")); !errors.Is(err, errWritesBlocked) {
		t.Errorf("write on a blocked connection: got %v, want errWritesBlocked", err)
	}
	written := &trackedConn{Conn: client}
	written.state.Store(connWritten)
	if written.blockIfUnwritten() {
		t.Error("a written connection was reported as unwritten")
	}
}

func TestNeverSentIsProved(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	services := NewServices("a")
	defer services.Close()
	var send *SendError
	if _, err := callOnce(t, services, address, stopCommand("")); !errors.As(err, &send) || !send.NeverSent {
		t.Errorf("no listener: got %v, want a SendError with NeverSent", err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := services.Call(ctx, address, stopCommand("")); !errors.As(err, &send) || !send.NeverSent {
		t.Errorf("context canceled before the call: got %v, want a SendError with NeverSent", err)
	}
}

func TestServiceCallHeaders(t *testing.T) {
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		got = request
		writer.Header().Set(HeaderNotRun, "true")
		writer.Header().Set("Retry-After", "2")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	services := NewServices("a")
	defer services.Close()
	answer, err := callOnce(t, services, strings.TrimPrefix(server.URL, "http://"), stopCommand("k"))
	if err != nil || !answer.NotRun || answer.RetryAfterDuration() != 2*time.Second {
		t.Fatalf("got %+v, %v", answer, err)
	}
	for name, want := range map[string]string{HeaderZone: "a", HeaderRequestID: "r1", HeaderAttempt: "1", HeaderIdempotencyKey: "k"} {
		if value := got.Header.Get(name); value != want {
			t.Errorf("header %s is %q", name, value)
		}
	}
}

func BenchmarkServiceCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "ok")
	}))
	defer server.Close()
	services := NewServices("a")
	defer services.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, repeatable := range []bool{true, false} {
		b.Run(map[bool]string{true: "pooled", false: "fresh"}[repeatable], func(b *testing.B) {
			b.ReportAllocs()
			call := stopCommand("")
			call.Repeatable = repeatable
			for b.Loop() {
				if _, err := services.Call(b.Context(), address, call); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
