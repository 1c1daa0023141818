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

// fullPeer is a peer with a small receive window that reads nothing until it is asked
// to: what is written to it stays with the sender's kernel, as behind a cut way.
type fullPeer struct {
	listener net.Listener
	accepted chan net.Conn
}

// windowBytes is asked for as the receive buffer of a fullPeer, the kernel's least.
const windowBytes = 2304

func newFullPeer(t *testing.T) *fullPeer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	peer := &fullPeer{listener: listener, accepted: make(chan net.Conn, 1)}
	go func() {
		if conn, err := listener.Accept(); err == nil {
			peer.accepted <- conn
		}
	}()
	return peer
}

// readAll begins to read, and returns all that arrives.
func (p *fullPeer) readAll(t *testing.T) []byte {
	t.Helper()
	conn := <-p.accepted
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	text, _ := io.ReadAll(conn)
	return text
}

// TestRequestsGivenUpDoNotArriveLater: because the caller left, or the deadline passed.
func TestRequestsGivenUpDoNotArriveLater(t *testing.T) {
	const end = "the request's last bytes"
	body := append(bytes.Repeat([]byte{'x'}, 64<<10), end...)
	for name, giveUp := range map[string]func(ctx context.Context, conn *Conn, request Request) error{
		"caller leaves": func(ctx context.Context, conn *Conn, request Request) error {
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
		peer := newFullPeer(t)
		pool := New(Options{})
		conn, err := pool.Get(context.Background(), peer.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		err = giveUp(context.Background(), conn, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, HasBody: true})
		if !errorx.IsOfType(err, ErrMaybeSent) {
			t.Errorf("%s: the request ends with %v", name, err)
		}
		if text := peer.readAll(t); bytes.HasSuffix(text, []byte(end)) {
			t.Errorf("%s: all %d bytes of a request arrived after it was given up", name, len(text))
		}
	}
}

// TestWhatAKilledSenderWroteDoesNotArriveLater: nobody resets its connections, and its kernel goes on
// to deliver for as long as SilenceTimeout, unless the delivery is bounded before it is written.
func TestWhatAKilledSenderWroteDoesNotArriveLater(t *testing.T) {
	const end = "the request's last bytes"
	body := append(bytes.Repeat([]byte{'x'}, 64<<10), end...)
	for name, within := range map[string]time.Duration{"not bounded": 0, "bounded": 200 * time.Millisecond} {
		peer := newFullPeer(t)
		pool := New(Options{})
		conn, err := pool.Get(context.Background(), peer.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if within > 0 {
			conn.SetDeliveryTimeout(within)
		}
		go func() {
			_, _ = conn.RoundTrip(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body})
		}()
		time.Sleep(50 * time.Millisecond)
		// As the kernel does for a process that ends.
		_ = conn.Conn.Close()
		time.Sleep(1500 * time.Millisecond)
		if arrived := bytes.Contains(peer.readAll(t), []byte(end)); arrived != (within == 0) {
			t.Errorf("%s: the end arrived after 1.5 s: %v", name, arrived)
		}
	}
}
