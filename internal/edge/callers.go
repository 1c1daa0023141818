package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/clock"
)

// callerConns tracks the connections of callers and closes idle ones: those idle for longer than
// the configuration allows, since http.Server's own limit cannot change while it runs, and all
// of them at a planned stop. http.Server marks a connection active only after the request header
// was read, so a close can race with a request. A lock decides which comes first; a request that
// loses is not sent to any server.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

type callerConn struct {
	// idleSince is zero while a request is in progress.
	idleSince time.Time
	// isNew is true until the first request.
	isNew  bool
	closed bool
}

// newConnGrace is how long a new connection may wait for its first request during a planned
// stop.
const newConnGrace = 500 * time.Millisecond

func newCallerConns() *callerConns {
	return &callerConns{conns: make(map[net.Conn]*callerConn)}
}

// onConnState is the http.Server's ConnState hook.
func (c *callerConns) onConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = &callerConn{idleSince: clock.Now(), isNew: true}
	case http.StateIdle:
		if tracked, ok := c.conns[conn]; ok {
			tracked.idleSince, tracked.isNew = clock.Now(), false
		}
	case http.StateActive:
		if tracked, ok := c.conns[conn]; ok {
			tracked.idleSince, tracked.isNew = time.Time{}, false
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// beginRequest marks the connection as busy. It returns false if the connection was closed as
// idle before.
func (c *callerConns) beginRequest(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked, ok := c.conns[conn]
	if !ok {
		return true
	}
	tracked.idleSince, tracked.isNew = time.Time{}, false
	return !tracked.closed
}

// closeIdle closes connections that have been idle for longer than the bound; 0 means no bound.
func (c *callerConns) closeIdle(now time.Time, bound time.Duration) int {
	if bound <= 0 {
		return 0
	}
	return c.close(func(conn *callerConn) bool { return now.Sub(conn.idleSince) > bound })
}

// closeAllIdle closes all idle connections and returns the number of busy ones.
func (c *callerConns) closeAllIdle() (busy int) {
	now := clock.Now()
	c.close(func(conn *callerConn) bool { return !conn.isNew || now.Sub(conn.idleSince) > newConnGrace })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tracked := range c.conns {
		if !tracked.closed {
			busy++
		}
	}
	return busy
}

func (c *callerConns) close(shouldClose func(conn *callerConn) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for conn, tracked := range c.conns {
		if tracked.closed || tracked.idleSince.IsZero() || !shouldClose(tracked) {
			continue
		}
		tracked.closed = true
		_ = conn.Close()
		count++
	}
	return count
}

// rejectClosed passes on only requests whose connections are open.
func (c *callerConns) rejectClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := callerconn.FromContext(request.Context())
		if ok && !c.beginRequest(conn) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, request)
	})
}
