package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callers keeps the connections that rest between requests, so that those that
// rest for longer than the configuration allows are closed. The library's own
// bound cannot change while a server runs.
type callers struct {
	mu      sync.Mutex
	resting map[net.Conn]time.Time
}

func newCallers() *callers {
	return &callers{resting: make(map[net.Conn]time.Time)}
}

// changed is the http.Server's ConnState hook.
func (c *callers) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.resting[conn] = time.Now()
	} else {
		delete(c.resting, conn)
	}
}

// closeResting closes what has rested for longer than the bound; 0 is none.
func (c *callers) closeResting(now time.Time, bound time.Duration) int {
	if bound <= 0 {
		return 0
	}
	var expired []net.Conn
	c.mu.Lock()
	for conn, since := range c.resting {
		if now.Sub(since) > bound {
			expired = append(expired, conn)
			delete(c.resting, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
	return len(expired)
}
