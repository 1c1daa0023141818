package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleConnectionLimit = 2
	idleTimeout         = 90 * time.Second
	// maxPeerBodyBytes limits the size of a request body from a peer.
	maxPeerBodyBytes = 16 << 20
)

// Handlers holds the implementations of the services that a node offers to its
// peers.
type Handlers struct {
	Config   peerpb.Config
	Control  peerpb.Control
	Claims   peerpb.Claims
	Suspects peerpb.Suspects
	Quotas   peerpb.Quotas
}

// NewHandler returns an HTTP handler for the services.
func NewHandler(handlers Handlers) http.Handler {
	mux := http.NewServeMux()
	register(mux, peerpb.NewConfigServer(handlers.Config))
	register(mux, peerpb.NewControlServer(handlers.Control))
	register(mux, peerpb.NewClaimsServer(handlers.Claims))
	register(mux, peerpb.NewSuspectsServer(handlers.Suspects))
	register(mux, peerpb.NewQuotasServer(handlers.Quotas))
	return http.MaxBytesHandler(mux, maxPeerBodyBytes)
}

func register(mux *http.ServeMux, server peerpb.TwirpServer) {
	mux.Handle(server.PathPrefix(), server)
}

// Clients holds the service clients for one peer.
type Clients struct {
	Config   peerpb.Config
	Control  peerpb.Control
	Claims   peerpb.Claims
	Suspects peerpb.Suspects
	Quotas   peerpb.Quotas
}

// Pool caches the clients for all peers. They share one transport.
type Pool struct {
	client *http.Client

	mutex   sync.Mutex
	clients map[string]Clients
}

// NewPool returns an empty pool on the real network.
func NewPool() *Pool {
	return NewPoolWithDial((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewPoolWithDial returns an empty pool that opens connections with dial.
func NewPoolWithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnectionLimit,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
	}
	return &Pool{
		client:  &http.Client{Transport: transport},
		clients: make(map[string]Clients),
	}
}

// CountTraffic counts the pool's traffic in channel. It must be called before the
// first request.
func (p *Pool) CountTraffic(channel *traffic.ChannelCounters) {
	channel.InstrumentClient(p.client)
}

// To returns the clients for the peer at the address (IP:port). The clients have no
// timeout, so each call needs a context with a deadline.
func (p *Pool) To(address string) Clients {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cached, found := p.clients[address]; found {
		return cached
	}
	base, client := "http://"+address, &http.Client{Transport: bounded.LimitBodies(p.client.Transport, maxPeerBodyBytes)}
	clients := Clients{
		Config:   peerpb.NewConfigProtobufClient(base, client),
		Control:  peerpb.NewControlProtobufClient(base, client),
		Claims:   peerpb.NewClaimsProtobufClient(base, client),
		Suspects: peerpb.NewSuspectsProtobufClient(base, client),
		Quotas:   peerpb.NewQuotasProtobufClient(base, client),
	}
	p.clients[address] = clients
	return clients
}
