package backendconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// stalledPeer is a peer with a small receive window that does not read until told to. What is
// written to it stays in the sender's kernel, as during a network partition.
type stalledPeer struct {
	listener net.Listener
	accepted chan net.Conn
}

// receiveBufferBytes is the requested receive buffer of a stalledPeer, the smallest that the kernel
// allows.
const receiveBufferBytes = 2304

func newStalledPeer(t *testing.T) *stalledPeer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(descriptor uintptr) {
			sockErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	peer := &stalledPeer{listener: listener, accepted: make(chan net.Conn, 1)}
	go func() {
		if conn, err := listener.Accept(); err == nil {
			peer.accepted <- conn
		}
	}()
	return peer
}

// readAll starts to read, and returns everything that arrives.
func (p *stalledPeer) readAll(t *testing.T) []byte {
	t.Helper()
	conn := <-p.accepted
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	text, _ := io.ReadAll(conn)
	return text
}

// TestRequestsGivenUpDoNotArriveLater guards against a request being delivered after it was
// abandoned because the caller left or the deadline passed: after an ordinary close the kernel
// keeps delivering it.
func TestRequestsGivenUpDoNotArriveLater(t *testing.T) {
	const end = "the request's last bytes"
	body := append(bytes.Repeat([]byte{'x'}, 64<<10), end...)
	for name, abandon := range map[string]func(ctx context.Context, conn *Conn, request Request) error{
		"context cancelled": func(ctx context.Context, conn *Conn, request Request) error {
			ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_, err := conn.RoundTrip(ctx, request)
			return err
		},
		"deadline": func(ctx context.Context, conn *Conn, request Request) error {
			request.Deadline = time.Now().Add(100 * time.Millisecond)
			_, err := conn.RoundTrip(ctx, request)
			return err
		},
	} {
		peer := newStalledPeer(t)
		pool := New(Options{})
		conn, err := pool.Get(context.Background(), peer.listener.Addr().String(), "")
		if err != nil {
			t.Fatal(err)
		}
		err = abandon(context.Background(), conn, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, HasBody: true})
		if !errorx.IsOfType(err, ErrMaybeSent) {
			t.Errorf("%s: error %v, want ErrMaybeSent", name, err)
		}
		if text := peer.readAll(t); bytes.HasSuffix(text, []byte(end)) {
			t.Errorf("%s: all %d bytes of a request arrived after it was abandoned", name, len(text))
		}
	}
}

// TestWhatAKilledSenderWroteDoesNotArriveLater guards against a request being delivered after its
// sender was killed: nothing resets the connection then, and the kernel keeps delivering for as
// long as DeadPeerTimeout, unless SetDeliveryTimeout was called before the request was written.
func TestWhatAKilledSenderWroteDoesNotArriveLater(t *testing.T) {
	const end = "the request's last bytes"
	body := append(bytes.Repeat([]byte{'x'}, 64<<10), end...)
	for name, timeout := range map[string]time.Duration{"no delivery timeout": 0, "delivery timeout": 200 * time.Millisecond} {
		peer := newStalledPeer(t)
		pool := New(Options{})
		conn, err := pool.Get(context.Background(), peer.listener.Addr().String(), "")
		if err != nil {
			t.Fatal(err)
		}
		if timeout > 0 {
			conn.SetDeliveryTimeout(timeout)
		}
		go func() {
			_, _ = conn.RoundTrip(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body})
		}()
		time.Sleep(50 * time.Millisecond)
		// The kernel does the same for a process that ends.
		_ = conn.Conn.Close()
		time.Sleep(1500 * time.Millisecond)
		if arrived := bytes.Contains(peer.readAll(t), []byte(end)); arrived != (timeout == 0) {
			t.Errorf("%s: the end of the request arrived after 1.5 s: %v", name, arrived)
		}
	}
}
