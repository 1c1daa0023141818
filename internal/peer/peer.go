package peer

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleConnectionLimit = 2
	idleTimeout         = 90 * time.Second
	// maxPeerBodyBytes bounds a request body from a peer.
	maxPeerBodyBytes = 16 << 20
)

// Handlers are the services that a node offers to its peers.
type Handlers struct {
	Config   peerpb.Config
	Control  peerpb.Control
	Claims   peerpb.Claims
	Suspects peerpb.Suspects
	Quotas   peerpb.Quotas
}

// NewHandler serves the peers' calls.
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

// Clients calls one peer.
type Clients struct {
	Config   peerpb.Config
	Control  peerpb.Control
	Claims   peerpb.Claims
	Suspects peerpb.Suspects
	Quotas   peerpb.Quotas
}

// Pool keeps the clients of all peers over one shared transport.
type Pool struct {
	client *http.Client

	mutex   sync.Mutex
	clients map[string]Clients
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnectionLimit,
		IdleConnTimeout:     idleTimeout,
	}
	return &Pool{
		client:  &http.Client{Transport: transport},
		clients: make(map[string]Clients),
	}
}

// CountTraffic counts the calls from now on; it goes before the first call.
func (p *Pool) CountTraffic(channel *traffic.ChannelCounters) {
	channel.InstrumentClient(p.client)
}

// To returns the clients of the peer that listens at the address (IP:port).
// Each call must bound itself by its context's deadline.
func (p *Pool) To(address string) Clients {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.clients[address]; found {
		return known
	}
	base := "http://" + address
	created := Clients{
		Config:   peerpb.NewConfigProtobufClient(base, p.client),
		Control:  peerpb.NewControlProtobufClient(base, p.client),
		Claims:   peerpb.NewClaimsProtobufClient(base, p.client),
		Suspects: peerpb.NewSuspectsProtobufClient(base, p.client),
		Quotas:   peerpb.NewQuotasProtobufClient(base, p.client),
	}
	p.clients[address] = created
	return created
}
