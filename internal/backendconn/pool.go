package backendconn

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
)

// Options configure a Pool.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if its server does not say.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections kept per address.
	MaxIdle int
	// MaxHeadBytes bounds the head of a response.
	MaxHeadBytes int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Options.
const (
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultIdleTimeout = 4 * time.Second
	DefaultMaxIdle     = 8
)

// keepAliveMargin is subtracted from the time for which a server says that it keeps an idle
// connection, because its close and the next request may cross.
const keepAliveMargin = time.Second

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	options   Options
	mu        sync.Mutex
	idle      map[string][]*Conn
	dialCount int64
	// staleResponses counts the responses that were discarded as they belong to another request.
	staleResponses atomic.Int64
	// probes are the probes in flight, by address.
	probes singleflight.Group
	// closeProbes are the addresses that are probed after a close.
	closeProbes map[string]*closeProbes
	hashSeed    maphash.Seed
	// maxHeadBytes is Options.MaxHeadBytes, which may change.
	maxHeadBytes atomic.Int64
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxIdle == 0 {
		options.MaxIdle = DefaultMaxIdle
	}
	if options.Dial == nil {
		dialer := NewDialer(options.DialTimeout)
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	pool := &Pool{options: options, idle: make(map[string][]*Conn), closeProbes: make(map[string]*closeProbes), hashSeed: maphash.MakeSeed()}
	pool.SetMaxHeadBytes(options.MaxHeadBytes)
	return pool
}

// SetMaxHeadBytes changes the bound of the head of a response; 0 is the default.
func (p *Pool) SetMaxHeadBytes(count int) {
	p.maxHeadBytes.Store(int64(bounded.Limits{HeadBytes: count}.WithDefaults().HeadBytes))
}

// Conn is a connection to a server, in use by one request.
type Conn struct {
	net.Conn
	pool        *Pool
	address     string
	reader      *bufio.Reader
	head        bounded.HeadReader
	source      responseSource
	idleSince   time.Time
	idleTimeout time.Duration
	history     history
	// openedAt is when the connection was open for sure.
	openedAt time.Time
	// Reused is set if the connection carried a request before.
	Reused bool
	// hasDeliveryTimeout is set while the limit of SetDeliveryTimeout is in force.
	hasDeliveryTimeout bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }}

// LocalPort returns the local port, by which logs and packet captures tell connections to one server
// apart; "" if the connection has none.
func (c *Conn) LocalPort() string {
	_, port, err := net.SplitHostPort(c.LocalAddr().String())
	if err != nil {
		return ""
	}
	return port
}

// OpenedAt returns the time by which the connection was open.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Get returns a connection to the address for one request: an idle connection that has not carried a
// request with this ID, or a new one. Requests without an ID count as one and the same: nothing tells
// the responses to two of them apart.
func (p *Pool) Get(ctx context.Context, address, requestID string) (*Conn, error) {
	if conn := p.GetIdle(address, requestID, clock.Now()); conn != nil {
		return conn, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn.history.add(p.hashRequestID(requestID))
	return conn, nil
}

// GetIdle returns an idle connection as Get does that was open by the given time; nil if there is none.
func (p *Pool) GetIdle(address, requestID string, openBy time.Time) *Conn {
	hash := p.hashRequestID(requestID)
	conn := p.takeReusable(address, func(conn *Conn) bool { return !conn.openedAt.After(openBy) && !conn.history.contains(hash) })
	if conn != nil {
		conn.history.add(hash)
	}
	return conn
}

// PutBack returns a connection on which nothing was sent since Get or GetIdle returned it.
func (c *Conn) PutBack() {
	c.history.removeLast()
	c.pool.keep(c)
}

// takeReusable removes the most recently used idle connection that is suitable and still usable; nil if
// there is none.
func (p *Pool) takeReusable(address string, isSuitable func(*Conn) bool) *Conn {
	for {
		conn := p.takeIdle(address, isSuitable)
		if conn == nil {
			return nil
		}
		if clock.Since(conn.idleSince) < conn.idleTimeout && isReusable(conn.Conn) {
			conn.Reused = true
			return conn
		}
		_ = conn.Conn.Close()
	}
}

// takeIdle removes the most recently used idle connection that is suitable; nil if there is none.
func (p *Pool) takeIdle(address string, isSuitable func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i, conn := range slices.Backward(idle) {
		if isSuitable(conn) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "dial %s", address)
	}
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	return &Conn{Conn: raw, pool: p, address: address, openedAt: clock.Now(), idleTimeout: p.options.IdleTimeout}, nil
}

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// StaleResponseCount returns the number of responses discarded so far because they belong to another
// request than the one that was in flight.
func (p *Pool) StaleResponseCount() int64 { return p.staleResponses.Load() }

// CloseIdle closes the idle connections to the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Conn.Close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	now := clock.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Sub(conn.idleSince) < conn.idleTimeout {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		clear(idle[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Conn.Close()
	}
}

// release returns the connection to the pool for the next request.
func (c *Conn) release(header http.Header) {
	c.releaseReader()
	if c.hasDeliveryTimeout {
		c.hasDeliveryTimeout = !c.applyUserTimeout(DeadPeerTimeout)
		c.setLinger(-1)
	}
	c.idleSince = clock.Now()
	if timeout, ok := keepAliveTimeout(header); ok {
		c.idleTimeout = timeout - keepAliveMargin
	}
	c.pool.keep(c)
}

// keep makes the connection idle, or closes it if it cannot be used again.
func (p *Pool) keep(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.hasDeliveryTimeout || c.history.isFull() || c.idleTimeout <= 0 || len(p.idle[c.address]) >= p.options.MaxIdle {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// reset closes the connection at once. After an ordinary close the kernel continues to deliver
// unsent data for as long as DeadPeerTimeout: a request that was abandoned during a network
// partition would arrive once the partition has healed.
func (c *Conn) reset() {
	c.setLinger(0)
	_ = c.Conn.Close()
}

func (c *Conn) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}
}

// keepAliveTimeout parses timeout=SECONDS of a Keep-Alive header.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
