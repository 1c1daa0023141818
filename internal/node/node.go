package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/spanlanding/spanlanding/internal/buildid"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/gateway"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/traffic"
	"github.com/spanlanding/spanlanding/internal/views"
)

// Node is one running node: its settings, its components and its listeners.
type Node struct {
	settings Settings
	self     fleet.Member
	started  time.Time
	logger   *log.Logger

	system   *actor.ActorSystem
	views    *views.Views
	platform *objectstore.Client
	peers    *peer.Pool
	metrics  *prometheus.Registry
	servers  servers
	traffic  *traffic.Counters

	membership *Membership
	config     *Configuration
	claims     *Claims
	control    *Control
	suspects   *Suspects
	quotas     *Quotas
	gateway    *gateway.Gateway
	tableAges  tableAges
	catalogAge *catalogAge

	drainOnce   sync.Once
	draining    atomic.Bool
	drained     chan struct{}
	cutRequests []string
}

// Start binds the node's addresses and starts all components and servers.
func Start(settings Settings, logger *log.Logger) (*Node, error) {
	bound, err := bind(settings.Listen)
	if err != nil {
		return nil, err
	}
	node := newNode(settings, logger)
	pprof.Do(context.Background(), profileLabels(settings.Name, PartCallers), func(context.Context) {
		node.startShells(bound)
		node.startServers(bound)
	})
	logger.Info().Str("caller", settings.Listen.Caller).Str("operator", settings.Listen.Operator).
		Uint64("boot", node.self.BootID).Str("build", buildid.Current()).Msg("node_started")
	return node, nil
}

func newNode(settings Settings, logger *log.Logger) *Node {
	self := fleet.Member{
		Name:      settings.Name,
		Zone:      settings.Zone,
		State:     fleet.MemberAlive,
		Addresses: settings.addresses(),
		BootID:    rand.Uint64(),
	}
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	created := &Node{
		settings: settings,
		self:     self,
		started:  time.Now(),
		logger:   logger,
		system:   actor.NewActorSystem(actor.WithLoggerFactory(actorLoggerFactory(logger))),
		views:    &views.Views{},
		platform: objectstore.NewClient(settings.Platform, settings.Zone),
		peers:    peer.NewPool(),
		metrics:  metrics,
		servers:  servers{logger: logger, node: self.Name},
		traffic:  traffic.NewCounters(metrics),
		drained:  make(chan struct{}),
	}
	created.platform.CountTraffic(created.traffic.Channel("store"))
	created.peers.CountTraffic(created.traffic.Channel("peer"))
	return created
}

func actorLoggerFactory(logger *log.Logger) func(*actor.ActorSystem) *slog.Logger {
	return func(*actor.ActorSystem) *slog.Logger { return logging.NewActorLogger(logger) }
}

// startShells starts the shells. A shell that others depend on is started before them.
func (n *Node) startShells(bound sockets) {
	n.tableAges.watch(n.views)
	n.catalogAge = watchCatalog(n.views, n.metrics)
	n.membership = StartMembership(MembershipDependencies{
		System:     n.system,
		Connection: n.traffic.Channel("gossip").InstrumentPacketConn(bound.gossip),
		Core: membership.Options{
			Self:          n.self,
			Seeds:         append(append([]string(nil), n.settings.Seeds...), n.settings.RemoteSeeds...),
			RandomSeed:    rand.Uint64(),
			ProbeInterval: time.Duration(n.settings.ProbeInterval),
		},
		Views:  n.views,
		Logger: n.logger,
	})
	n.control = n.startControl()
	n.config = n.startConfiguration()
	n.views.Catalog.Watch(func(snapshot *catalog.Snapshot) { n.membership.SetConfigVersion(snapshot.Version()) })
	n.claims = StartClaims(ClaimDependencies{
		System: n.system,
		Self:   n.self,
		Pool:   n.peers,
		Views:  n.views,
		Store:  n.platform,
		Logger: n.logger,
		Keeper: claim.KeeperOptions{},
	})
	n.suspects = StartSuspects(SuspectsDependencies{Self: n.self, Views: n.views, Peers: n.peers, Logger: n.logger})
	n.quotas = StartQuotas(QuotasDependencies{Self: n.self, Views: n.views, Peers: n.peers, Logger: n.logger})
	n.gateway = n.startGateway()
	n.metrics.MustRegister(viewCollector{node: n})
}

func (n *Node) startGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		Views:      n.views,
		Catalog:    n.currentCatalog,
		Demand:     n.control,
		Guard:      n.claims,
		Leaving:    n.control.BackendLeaving,
		Suspects:   n.suspects,
		Quotas:     n.quotas,
		Admission:  n.quotas,
		Self:       n.self,
		Logger:     n.logger,
		System:     n.system,
		Registerer: n.metrics,
		Limits:     n.settings.gatewayLimits(),
		Queue:      queue.Options{MaxItems: n.settings.Limits.MaxWaiting, MaxBytes: int64(n.settings.Limits.MaxWaitingBytes)},
		Seed:       rand.Uint64(),
	})
}

func (n *Node) startServers(bound sockets) {
	peers := n.traffic.Channel("peer")
	n.servers.serve(partPeers, peers.InstrumentListener(bound.peer), peers.InstrumentHandler(peer.NewHandler(peer.Handlers{
		Config:   n.config.Server(),
		Control:  n.control.Server(),
		Claims:   n.claims.Server(),
		Suspects: n.suspects.Server(),
		Quotas:   n.quotas.Server(),
	})))
	n.servers.serve(partOperators, bound.operator, operator.NewHandler(operatorSource{node: n}, n.metrics))
	n.servers.serve(PartCallers, bound.caller, n.gateway)
}

// Drain performs a planned stop: it announces the drain to the peers, refuses new requests,
// hands over the leadership and the keeper's records, and lets running requests finish. It
// returns when that is done or the drain limit has passed; Cut then lists the requests that
// were cut off. A second call waits for the first.
func (n *Node) Drain(ctx context.Context) {
	n.drainOnce.Do(func() {
		defer close(n.drained)
		n.drain(ctx)
	})
	<-n.drained
}

func (n *Node) drain(ctx context.Context) {
	started := time.Now()
	allowed := time.Duration(n.settings.DrainLimit)
	limit, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	n.draining.Store(true)
	n.logger.Info().Dur("limit", allowed).Msg("drain_started")
	n.membership.SetDraining(true)
	var handOvers sync.WaitGroup
	n.control.HandOver()
	handOvers.Go(func() {
		if err := n.claims.Drain(limit); err != nil {
			n.logger.Warn().Err(err).Msg("keeper_records_not_handed_over")
		}
	})
	n.cutRequests = n.gateway.Drain(limit).Cut
	handOvers.Wait()
	n.membership.Leave(limit)
	n.logger.Info().Dur("took", time.Since(started)).Int("cut", len(n.cutRequests)).Msg("drain_finished")
}

// Drained returns a channel that is closed when a planned stop is over.
func (n *Node) Drained() <-chan struct{} {
	return n.drained
}

// Cut returns the requests that were cut off at the drain limit.
func (n *Node) Cut() []string {
	return n.cutRequests
}

// stopTimeout bounds the shutdown of the servers.
const stopTimeout = 2 * time.Second

// Stop ends all components at once. At a planned stop, call Drain first.
func (n *Node) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.servers.shutdown(ctx)
	n.gateway.Close()
	n.suspects.Stop()
	n.quotas.Stop()
	n.claims.Stop()
	n.config.Stop()
	n.control.Stop()
	n.membership.Stop()
	n.platform.Close()
	n.logger.Info().Dur("uptime", time.Since(n.started)).Msg("node_stopped")
}
