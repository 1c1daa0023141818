package backendconn

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// TestServerThatIsJustClosingItsSocketsIsNotAlive guards against taking a process that was killed for alive
// while its kernel still closes its sockets: a connection comes up until the listening one is closed.
func TestServerThatIsJustClosingItsSocketsIsNotAlive(t *testing.T) {
	for name, c := range map[string]struct {
		// ends closes the listening socket after a connection has come up, and accepts takes it before.
		ends, accepts, closes bool
		want                  Liveness
	}{
		"ends after the connection came up":   {ends: true, want: LivenessEnded},
		"ends after it took the connection":   {ends: true, accepts: true, closes: true, want: LivenessEnded},
		"serves on":                           {want: LivenessAlive},
		"serves on and resets the connection": {accepts: true, closes: true, want: LivenessAlive},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			dials := 0
			pool := New(Options{})
			dial := pool.options.Dial
			pool.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				if dials++; dials > 1 {
					return conn, err
				}
				if c.accepts {
					if taken, err := listener.Accept(); err == nil && c.closes {
						_ = taken.Close()
					}
				}
				if c.ends {
					_ = listener.Close()
				}
				return conn, err
			}
			if got := pool.ProbeAfterClose(context.Background(), listener.Addr().String()); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestProbesAfterCloseAreShared guards against a connection for each of many answers that end at once, and
// against an answer of a probe that began before the question.
func TestProbesAfterCloseAreShared(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := New(Options{})
	dial, begun, mayGoOn := pool.options.Dial, make(chan struct{}), make(chan struct{})
	var dials atomic.Int32
	pool.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			close(begun)
			<-mayGoOn
		}
		return dial(ctx, address)
	}
	address := listener.Addr().String()
	var asking sync.WaitGroup
	ask := func() {
		if got := pool.ProbeAfterClose(context.Background(), address); got != LivenessAlive {
			t.Errorf("%s, want alive", got)
		}
	}
	asking.Go(ask)
	<-begun
	const others = 50
	queued := make([]*closeProbe, others)
	for i := range queued {
		queued[i] = pool.queueProbe(address)
		asking.Go(func() { <-queued[i].done })
	}
	close(mayGoOn)
	asking.Wait()
	if got := dials.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := pool.ProbeAfterClose(ctx, "127.0.0.1:1"); got == LivenessAlive {
		t.Error("a probe that nobody waits for tells")
	}
}

// TestProbeThatIsResetByAClosingSocketIsRepeated guards against a server that ended and counts as unknown: a
// connection that comes up while the listening socket is being closed is reset.
func TestProbeThatIsResetByAClosingSocketIsRepeated(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	pool := New(Options{})
	dial, dials := pool.options.Dial, 0
	pool.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if dials++; dials == 1 {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
		}
		return dial(ctx, address)
	}
	if got := pool.Probe(listener.Addr().String()); got != LivenessEnded {
		t.Errorf("%s, want ended", got)
	}
}
