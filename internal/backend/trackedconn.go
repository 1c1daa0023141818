package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/delivery"
)

// dialTracked dials a trackedConn.
func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: serviceDialTimeout}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: connection}, nil
}

// States of a trackedConn.
const (
	connUnwritten int32 = iota
	connWritten
	connBlocked
)

var (
	errWritesBlocked = errors.New("the call was given up before it was sent")
	errStartDenied   = errors.New("the call may not be sent any more")
)

// trackedConn records whether a write was started, and ends a response in order only if its request was
// delivered. It hides the connection's ReadFrom method so that every byte goes through Write.
type trackedConn struct {
	net.Conn
	state atomic.Int32
	// mayStart is set before net/http starts to write.
	mayStart func() bool

	mutex sync.Mutex
	// current is nil between exchanges.
	current *trackedExchange
}

// trackedExchange is a request and its response on a trackedConn.
type trackedExchange struct {
	// written is closed once net/http has written the request, or failed to; writeErr is set before.
	written  chan struct{}
	once     sync.Once
	writeErr error
	// hasResponse is set once a byte of a response was read.
	hasResponse atomic.Bool
}

// Write implements io.Writer.
func (c *trackedConn) Write(data []byte) (int, error) {
	if c.state.Load() == connUnwritten && c.mayStart != nil && !c.mayStart() {
		c.state.CompareAndSwap(connUnwritten, connBlocked)
		return 0, errStartDenied
	}
	c.state.CompareAndSwap(connUnwritten, connWritten)
	if c.state.Load() == connBlocked {
		return 0, errWritesBlocked
	}
	return c.Conn.Write(data)
}

// blockIfUnwritten reports whether no byte was written, and if so makes every
// later write fail, including one that net/http is about to start. A nil
// connection, of a call that got none, counts as unwritten.
func (c *trackedConn) blockIfUnwritten() bool {
	return c == nil || c.state.CompareAndSwap(connUnwritten, connBlocked) || c.state.Load() == connBlocked
}

// Read implements io.Reader. net/http closes the connection as soon as a response ends with it, while the
// request may still be written, and a read may find an end in order on a connection that was reset.
func (c *trackedConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	exchange := c.exchange()
	if exchange == nil {
		return count, err
	}
	if count > 0 {
		exchange.hasResponse.Store(true)
	}
	if errors.Is(err, io.EOF) && exchange.hasResponse.Load() {
		err = c.confirmEnd(exchange)
	}
	return count, err
}

// Close implements net.Conn. net/http may close a connection without a word on the request that it was to carry.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	if exchange := c.exchange(); exchange != nil {
		exchange.endWrite(net.ErrClosed)
	}
	return err
}

// resetWait is how long a reset may follow the end of a response that belongs to it.
const resetWait = 20 * time.Millisecond

// confirmEnd returns io.EOF if the connection ended after the whole request was delivered.
func (c *trackedConn) confirmEnd(exchange *trackedExchange) error {
	<-exchange.written
	if exchange.writeErr != nil {
		return exchange.writeErr
	}
	if err := delivery.Await(c.Conn, time.Time{}); err != nil {
		return err
	}
	time.Sleep(resetWait)
	if delivery.IsBroken(c.Conn) {
		return delivery.ErrBroken.New("a reset followed the end of the response")
	}
	return io.EOF
}

func (c *trackedConn) exchange() *trackedExchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current
}

// beginExchange is called before a request is written. The function that it returns is called once that is over.
func (c *trackedConn) beginExchange() (endWrite func(error)) {
	exchange := &trackedExchange{written: make(chan struct{})}
	c.mutex.Lock()
	c.current = exchange
	c.mutex.Unlock()
	return exchange.endWrite
}

func (e *trackedExchange) endWrite(err error) {
	e.once.Do(func() {
		e.writeErr = err
		close(e.written)
	})
}

// endExchange is called once the response was read or given up. What ends the connection from then on ends no
// response. A nil connection is that of a call that got none.
func (c *trackedConn) endExchange() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = nil
}
