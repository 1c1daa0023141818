package edge

import (
	"context"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/relay"
)

// forwardDialTimeout bounds the time to connect to a peer: several may have to be asked.
const forwardDialTimeout = 200 * time.Millisecond

// forwarder chooses the peers that take requests which this node cannot send to a server. It is safe
// for concurrent use.
type forwarder struct {
	node     *Node
	pool     *backendconn.Pool
	mu       sync.Mutex
	inFlight map[string]int
}

var _ relay.Forwarder = (*forwarder)(nil)

func newForwarder(node *Node) *forwarder {
	return &forwarder{
		node: node, pool: backendconn.New(backendconn.Options{DialTimeout: forwardDialTimeout}), inFlight: make(map[string]int),
	}
}

// Pick implements relay.Forwarder.
func (f *forwarder) Pick(service string, regions locality.Regions, exclude []string) (address string, release func(), ok bool) {
	f.node.peers.mu.Lock()
	defer f.node.peers.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	address, ok = f.node.peers.roster.PickForwarder(clock.Now(), gossip.ForwardTarget{
		Service: service, Regions: regions, Exclude: exclude, InFlight: f.inFlight,
	})
	if !ok {
		return "", nil, false
	}
	f.inFlight[address]++
	return address, func() { f.release(address) }, true
}

func (f *forwarder) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[address]--; f.inFlight[address] == 0 {
		delete(f.inFlight, address)
	}
}

// Connect implements relay.Forwarder.
func (f *forwarder) Connect(ctx context.Context, address, requestID string) (*backendconn.Conn, error) {
	return f.pool.Get(ctx, address, requestID)
}
