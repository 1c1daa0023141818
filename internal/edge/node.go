package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Store is what a node reads of the platform's store.
type Store interface {
	// Configuration gives no table where none was written yet.
	Configuration(ctx context.Context) (table *routetable.Table, at storepos.Position, err error)
	// DecodeConfiguration reads a table's source as another node hands it on.
	DecodeConfiguration(source []byte) (*routetable.Table, error)
	WatchConfiguration(ctx context.Context, from storepos.Position, wait time.Duration) (table *routetable.Table, at storepos.Position, err error)
	Servers(ctx context.Context) (servers []inventory.Server, at storepos.Position, err error)
	WatchServers(ctx context.Context, from storepos.Position, wait time.Duration) (changes []inventory.Change, at storepos.Position, err error)
	// Evacuations and WatchEvacuations are called only where Options.EvacuateWithin
	// is set.
	Evacuations(ctx context.Context) (evacuation.Snapshot, error)
	WatchEvacuations(ctx context.Context, from storepos.Position, wait time.Duration) (events []evacuation.Event, at storepos.Position, err error)
}

// Options set up a Node.
type Options struct {
	Name string
	// Build names the build of the program, for logs and metrics.
	Build string
	Zone  string
	// Topology are the zones and regions of the deployment.
	Topology locality.Map
	// FrontendAddress and Ready are the addresses for callers and for the question
	// whether the node is ready, which is asked at ReadyPath.
	FrontendAddress string
	ReadyAddress    string
	ReadyPath       string
	// PeerAddress is the address, by UDP and TCP, that peers are told to speak to.
	PeerAddress string
	// PeerListenAddress is where the node hears them, where that is another address;
	// empty is PeerAddress.
	PeerListenAddress string
	// Strength tells strong machines from weak ones: the strongest do what is to
	// be done for all.
	Strength uint32
	Tunables Tunables
	// ApplyWithin is the time within which a change in the store must be in force
	// here; 0 is usualApplyWithin.
	ApplyWithin time.Duration
	// EvacuateWithin is the time within which the evacuation of a zone must be in
	// force here; 0 where the platform evacuates none.
	EvacuateWithin time.Duration
	// Zones are those that the settings name.
	Zones []string
	// IsBootstrap is set where all nodes start together for the first time.
	IsBootstrap bool
	// LeaseQuietPeriod is the least time between orders of different holders.
	LeaseQuietPeriod time.Duration
	// ModelLoadWindow and LoadOverage bound the loads from the weight store.
	ModelLoadWindow  time.Duration
	ModelLoadOverage float64
	Store            Store
	Lease            LeaseStore
	Engines          EngineClient
	// QuotaTolerance is by how much the tenants' quotas may be passed.
	QuotaTolerance quota.Tolerance
	// ColdOverage and ColdSlack are by how much a cold server may receive more than it
	// bears: a factor, and requests of one second.
	ColdOverage float64
	ColdSlack   float64
	Pool        *backendconn.Pool
	Dialect     relay.Dialect
	Logger      *log.Logger
	// MetricsEndpoint is where figures are served, as ADDRESS/PATH; empty is nowhere.
	MetricsEndpoint string
	// DroppedLogLines counts the log lines left out, and Unreadable the entries of the store that
	// could not be read; nil where none are.
	DroppedLogLines   func() int64
	UnreadableEntries func() int64
}

// Tunables are the options that may change while a node runs.
type Tunables struct {
	// GracePeriod is the time from the signal to stop until the process is killed.
	GracePeriod time.Duration
	// PeerSeeds are the UDP addresses of some other nodes.
	PeerSeeds   []string
	RetryBudget retrybudget.Options
}

// Node is one process.
type Node struct {
	options     Options
	dispatch    *dispatch.Shared
	pool        *backendconn.Pool
	handler     *relay.Handler
	peers       *peers
	leader      *leader
	metrics     *metrics
	callerConns *callerConns
	quotas      *quotas
	suspects    *suspects
	hints       *serverHints
	// admissions keeps what is sent to servers below what they bear.
	admissions *admissions
	// evacuations are the zones to whose servers nothing new is sent.
	evacuations *evacuations

	started time.Time
	// firstRead is how long after its start this node may first ask the store,
	// unless its peers have told it what it needs by then.
	firstRead time.Duration
	snapshots *snapshots
	// What peers confirmed of what this node knows.
	configConfirmed  confirmation
	serversConfirmed confirmation

	// Nudges end a watch that seems to have missed something.
	configRefresh  chan struct{}
	serversRefresh chan struct{}
	directory      *directory
	configLag      configLag
	expiryGrace    expiryGrace

	gracePeriodNanos atomic.Int64
	storeFailing     atomic.Bool
	// failingSince is when, from the start on, storeFailing was set last.
	failingSince atomic.Int64
	hasServers   atomic.Bool
	// reloadServers is set where the list of servers is to be read whole: a nudge alone may
	// fall into a rest between two calls for changes, which it only ends.
	reloadServers atomic.Bool
	// callerWaiting is set once a caller came that the node knew too little to answer.
	callerWaiting atomic.Bool
	stopping      atomic.Bool
	// seedsQueried is set once this node has asked the seeds for what they know: the store may have
	// come back from a copy that is behind them.
	seedsQueried atomic.Bool
	// storeEra is what the store last named.
	storeEra atomic.Pointer[string]
}

// defaultApplyWithin is taken where no bound is told.
const defaultApplyWithin = 2 * time.Second

// New returns a node; Run starts it.
func New(options Options) *Node {
	if options.ApplyWithin <= 0 {
		options.ApplyWithin = defaultApplyWithin
	}
	if options.PeerListenAddress == "" {
		options.PeerListenAddress = options.PeerAddress
	}
	readSpread := restartReadSpread
	if options.IsBootstrap {
		readSpread = bootstrapReadSpread
	}
	node := &Node{
		options:     options,
		dispatch:    dispatch.NewShared(dispatch.Options{Zone: options.Zone, Topology: options.Topology, Seed: rand.Uint64()}),
		pool:        options.Pool,
		callerConns: newCallerConns(),

		started:   clock.Now(),
		firstRead: rand.N(readSpread),

		configRefresh:  make(chan struct{}, 1),
		serversRefresh: make(chan struct{}, 1),
		directory:      newDirectory(),
	}
	node.seedsQueried.Store(len(options.Tunables.PeerSeeds) == 0)
	node.gracePeriodNanos.Store(int64(options.Tunables.GracePeriod))
	node.leader = newLeader(node)
	node.snapshots = newSnapshots(node)
	node.quotas = newQuotas(node, options.QuotaTolerance, options.IsBootstrap)
	node.suspects = newSuspects(node)
	node.hints = newServerHints(node)
	node.admissions = newAdmissions(node)
	node.evacuations = newEvacuations(node)
	node.handler = relay.New(relay.Options{
		Dialect:   options.Dialect,
		Dispatch:  node.dispatch,
		Pool:      node.pool,
		Budget:    options.Tunables.RetryBudget,
		Logger:    options.Logger,
		OnWaiting: func() { node.peers.sendWaitingDemand() },
		Quotas:    node.quotas,
		Suspects:  node.suspects,
		OnHint: func(start inventory.Start, hint inventory.Hint) {
			node.hints.propagate(start, hint, hintFromAnswer)
		},
		OnUnreadField: node.hints.recordUnreadField,

		Admission: node.admissions,

		IsReady:    node.hasRequiredState,
		AwaitReady: node.awaitRequiredState,
	})
	node.metrics = newMetrics(node)
	node.handler.OnFinished = func(route, outcome string, took time.Duration) {
		node.metrics.requests.WithLabelValues(route, outcome).Observe(took.Seconds())
	}
	return node
}

// UpdateTunables puts other tunables in force.
func (n *Node) UpdateTunables(tunables Tunables) {
	n.gracePeriodNanos.Store(int64(tunables.GracePeriod))
	n.handler.SetBudget(tunables.RetryBudget)
	if n.peers != nil {
		n.peers.addSeeds(tunables.PeerSeeds)
	}
}

func (n *Node) gracePeriod() time.Duration { return time.Duration(n.gracePeriodNanos.Load()) }

// Run serves until stop ends, and then until what is under way has ended.
func (n *Node) Run(stop context.Context) error {
	frontend, err := net.Listen("tcp", n.options.FrontendAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", n.options.ReadyAddress)
	if err != nil {
		return err
	}
	if n.peers, err = newPeers(n); err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", n.options.PeerListenAddress)
	if err != nil {
		return err
	}
	n.options.Logger.Info().Str("frontend", n.options.FrontendAddress).Str("build", n.options.Build).Msg("node_started")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	callers := n.callerServer()
	group.Go(func() error { return serve(callers, frontend) })
	group.Go(func() error { return serve(n.readyServer(), ready) })
	if err := n.serveMetrics(group); err != nil {
		return err
	}
	group.Go(func() error { return n.snapshots.serve(ctx, peerListener) })
	group.Go(func() error { n.snapshots.run(ctx); return nil })
	group.Go(func() error { n.followConfiguration(ctx); return nil })
	group.Go(func() error { n.followServers(ctx); return nil })
	group.Go(func() error { n.evacuations.follow(ctx); return nil })
	group.Go(func() error { n.sweep(ctx); return nil })
	group.Go(func() error { n.peers.receive(ctx); return nil })
	group.Go(func() error { n.peers.run(ctx); return nil })
	group.Go(func() error { n.leader.run(ctx); return nil })
	select {
	case <-stop.Done():
		n.drain(callers, frontend)
		return nil
	case <-ctx.Done():
		return group.Wait()
	}
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Bounds on callers until a configuration tells others.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	// defaultIdleTimeout bounds rest until a configuration tells less.
	defaultIdleTimeout = 2 * time.Minute
	// idleSlack is added to the bound: callers take connections up within it.
	idleSlack = time.Second
)

func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler:           n.callerConns.rejectClosed(n.handler),
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
		ConnState:         n.callerConns.onConnState,
		ConnContext:       withConn,
	}
}

// serveMetrics serves the figures where the options say so.
func (n *Node) serveMetrics(group *errgroup.Group) error {
	address, path, _ := strings.Cut(n.options.MetricsEndpoint, "/")
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/"+path, n.metrics.handler())
	group.Go(func() error {
		return serve(&http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout}, listener)
	})
	return nil
}

func (n *Node) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(n.options.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout}
}

func (n *Node) isReady() bool {
	seedsQueried := n.seedsQueried.Load() || clock.Since(n.started) > maxSeedsWait
	return n.hasRequiredState() && seedsQueried && !n.stopping.Load()
}

// maxSeedsWait is how long a node that started waits for the answers of its seeds.
const maxSeedsWait = time.Second

// hasRequiredState reports whether callers can be answered.
func (n *Node) hasRequiredState() bool {
	return n.handler.Table() != nil && n.hasServers.Load() && n.evacuations.isInitialized()
}

// stateCheckPeriod is the time between looks whether the node knows enough.
const stateCheckPeriod = 5 * time.Millisecond

// awaitRequiredState waits until the node knows enough to answer a caller, the store fails
// or ctx ends. A node that a caller waits for asks the store at once.
func (n *Node) awaitRequiredState(ctx context.Context) {
	n.callerWaiting.Store(true)
	for !n.hasRequiredState() && !n.storeFailing.Load() && ctx.Err() == nil {
		sleep(ctx, stateCheckPeriod)
	}
}

const (
	// entryDrainDelay is how long new connections still come after the node says
	// that it is not ready. A request on a kept connection that comes later
	// might not end within the grace.
	entryDrainDelay = 2600 * time.Millisecond
	// stopMargin is left before the process is killed.
	stopMargin = 300 * time.Millisecond
	// refusalMargin is left for what has no server yet, so that it is refused and
	// not cut.
	refusalMargin = 1200 * time.Millisecond
	sweepPeriod   = time.Second
	// drainCheckPeriod is the time between looks at what is still under way.
	drainCheckPeriod = 25 * time.Millisecond
)

// drain serves on while callers may still come, closes the connections that
// rest then, and waits for what is under way, at the most for the grace.
func (n *Node) drain(server *http.Server, frontend net.Listener) {
	deadline := clock.Now().Add(n.gracePeriod() - stopMargin)
	n.stopping.Store(true)
	n.handler.SetDraining(deadline.Add(stopMargin - refusalMargin))
	n.options.Logger.Info().Int64("active", n.handler.Active()).Msg("node_draining")
	time.Sleep(entryDrainDelay)
	_ = frontend.Close()
	// The library's Shutdown would close connections with a request that it has
	// read and not yet counted.
	busy := n.callerConns.closeAllIdle()
	for busy > 0 && clock.Now().Before(deadline) {
		time.Sleep(drainCheckPeriod)
		busy = n.callerConns.closeAllIdle()
	}
	_ = server.Close()
	n.options.Logger.Info().Int64("active", n.handler.Active()).Bool("whole", busy == 0).Msg("node_stopped")
}

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	var regions regionCheck
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.pool.CloseExpired()
			n.checkRegions(&regions)
			n.leader.post(func() { n.leader.demand.Prune(clock.Now()) })
			n.clearOldStoreFailure(clock.Now())
			n.quotas.sweep(clock.Now())
			n.suspects.sweep(clock.Now())
			n.admissions.sweep(clock.Now())
			n.evacuations.reportUnknown()
			if table := n.handler.Table(); table != nil && table.Limits.IdleTimeout > 0 {
				n.callerConns.closeIdle(clock.Now(), table.Limits.IdleTimeout+idleSlack)
			}
		}
	}
}
