package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/membudget"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Store gives a node read access to the platform's store.
type Store interface {
	// Configuration returns a nil table if none has been written yet.
	Configuration(ctx context.Context) (table *routetable.Table, at storepos.Position, err error)
	// DecodeConfiguration decodes a table's source as passed on by another node.
	DecodeConfiguration(source []byte) (*routetable.Table, error)
	WatchConfiguration(ctx context.Context, from storepos.Position, wait time.Duration) (table *routetable.Table, at storepos.Position, err error)
	Servers(ctx context.Context) (servers []inventory.Server, at storepos.Position, err error)
	WatchServers(ctx context.Context, from storepos.Position, wait time.Duration) (changes []inventory.Change, at storepos.Position, err error)
	// Evacuations and WatchEvacuations are called only if Options.EvacuateWithin is set.
	Evacuations(ctx context.Context) (evacuation.Snapshot, error)
	WatchEvacuations(ctx context.Context, from storepos.Position, wait time.Duration) (events []evacuation.Event, at storepos.Position, err error)
}

// Options configures a Node.
type Options struct {
	Name string
	// Build names the build of the program, for logs and metrics.
	Build string
	Zone  string
	// Topology describes the zones and regions of the deployment.
	Topology locality.Map
	// FrontendAddress is the listen address for callers, and ReadyAddress that of the readiness
	// probe, which is served at ReadyPath.
	FrontendAddress string
	ReadyAddress    string
	ReadyPath       string
	// PeerAddress is the advertised address for peers, used for UDP and TCP.
	PeerAddress string
	// PeerListenAddress is the listen address for peers if it differs; empty means PeerAddress.
	PeerListenAddress string
	// Strength ranks machines by capacity: the strongest nodes take on tasks for the whole
	// fleet.
	Strength uint32
	Tunables Tunables
	// ApplyWithin is the time within which a change in the store must be in force here; 0 means
	// defaultApplyWithin.
	ApplyWithin time.Duration
	// EvacuateWithin is the time within which the evacuation of a zone must be in force here; 0
	// if the platform does not evacuate zones.
	EvacuateWithin time.Duration
	// Zones are the zones named in the settings.
	Zones []string
	// IsBootstrap is set if all nodes start together for the first time.
	IsBootstrap bool
	// LeaseQuietPeriod is the minimum time between orders of different lease holders.
	LeaseQuietPeriod time.Duration
	// ModelLoadWindow and ModelLoadOverage bound the model loads from the weight store.
	ModelLoadWindow  time.Duration
	ModelLoadOverage float64
	Store            Store
	Lease            LeaseStore
	// Checkpoints keeps what outlives all nodes; nil if nothing does.
	Checkpoints CheckpointStore
	// StoreReadsPerSecond and StoreWritesPerSecond are the calls that the store takes from all nodes together;
	// 0 if it names no rate.
	StoreReadsPerSecond, StoreWritesPerSecond float64
	Engines                                   EngineClient
	// QuotaTolerance is by how much tenants may exceed their quotas.
	QuotaTolerance quota.Tolerance
	// ColdOverage and ColdSlack are by how much the requests sent to a cold server may exceed
	// its capacity: a factor, and a constant number of requests per second.
	ColdOverage float64
	ColdSlack   float64
	Pool        *backendconn.Pool
	Dialect     relay.Dialect
	Logger      *log.Logger
	// MetricsEndpoint is where metrics are served, as ADDRESS/PATH; empty disables them.
	MetricsEndpoint string
	// DroppedLogLines counts the dropped log lines, and UnreadableEntries the store entries that
	// could not be decoded. Either may be nil.
	DroppedLogLines   func() int64
	UnreadableEntries func() int64
}

// Tunables are the options that may change while a node runs.
type Tunables struct {
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// PeerSeeds are the UDP addresses of some other nodes.
	PeerSeeds   []string
	RetryBudget retrybudget.Options
	// ResponseLimits bound what one server can make this node hold.
	ResponseLimits bounded.Limits
	// RequestMemory is the number of bytes kept for requests in flight; 0 is DefaultRequestMemory.
	RequestMemory int64
}

// DefaultRequestMemory is the default of Tunables.RequestMemory, in bytes.
const DefaultRequestMemory = 256 << 20

// Node is one gateway process.
type Node struct {
	options  Options
	dispatch *dispatch.Shared
	pool     *backendconn.Pool
	handler  *relay.Handler
	// memory is what requests in flight share.
	memory      *membudget.Budget
	peers       *peers
	leader      *leader
	metrics     *metrics
	callerConns *callerConns
	quotas      *quotas
	suspects    *suspects
	hints       *serverHints
	// admissions keeps the requests to servers within their capacity.
	admissions *admissions
	// evacuations holds the zones whose servers receive no new work.
	evacuations *evacuations
	// reachable tracks to which services this node can open connections.
	reachable *reachable
	// origins remembers where streams began, and history at which software versions they may have.
	origins *streamOrigins
	history *versionHistory
	// forwarder passes requests to peers that reach servers which this node does not.
	forwarder *forwarder

	started time.Time
	// firstRead is how long after its start this node may first query the store, unless its
	// peers have sent it the required data by then.
	firstRead time.Duration
	snapshots *snapshots
	// When the data known here was last confirmed, by this node or by peers.
	configConfirmed  confirmation
	serversConfirmed confirmation

	// Signals that end a watch which may have missed a change.
	configRefresh  chan struct{}
	serversRefresh chan struct{}
	directory      *directory
	// priorRequestedAt is when a peer was last asked for what it knew before the store was restored.
	// It is used only by the goroutine that receives datagrams.
	priorRequestedAt time.Time
	configLag        configLag
	expiryGrace      expiryGrace

	gracePeriodNanos atomic.Int64
	storeFailing     atomic.Bool
	// failingSince is when storeFailing was last set, relative to the start.
	failingSince atomic.Int64
	// activation is held while a configuration is compared with the one in force and replaces it.
	activation sync.Mutex
	// serversActivation is held while changes of the servers are taken into the directory and put into effect.
	serversActivation sync.Mutex
	// storeSucceededAt is when a call to the store last succeeded, relative to the start.
	storeSucceededAt atomic.Int64
	hasServers       atomic.Bool
	// reloadServers is set when the list of servers must be reloaded completely. A refresh
	// signal alone is not enough: during the pause between two calls for changes it only ends
	// the pause.
	reloadServers atomic.Bool
	// callerWaiting is set once a request arrived that the node lacked the state to serve.
	callerWaiting atomic.Bool
	stopping      atomic.Bool
	// seedsQueried is set once this node has asked the seeds for their data. The store may have
	// been restored from a copy that is older than theirs.
	seedsQueried atomic.Bool
	// storeEra is the era last reported by the store.
	storeEra atomic.Pointer[string]
}

// defaultApplyWithin is used if Options.ApplyWithin is not set.
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
		memory:         membudget.New(DefaultRequestMemory),
	}
	node.seedsQueried.Store(len(options.Tunables.PeerSeeds) == 0)
	node.leader = newLeader(node)
	node.snapshots = newSnapshots(node)
	node.quotas = newQuotas(node, options.QuotaTolerance, options.IsBootstrap)
	node.suspects = newSuspects(node)
	node.hints = newServerHints(node)
	node.admissions = newAdmissions(node)
	node.evacuations = newEvacuations(node)
	node.reachable = newReachable(node)
	node.forwarder = newForwarder(node)
	node.origins = newStreamOrigins(node)
	node.history = newVersionHistory(node)
	node.handler = relay.New(relay.Options{
		Dialect:   options.Dialect,
		Dispatch:  node.dispatch,
		Pool:      node.pool,
		Budget:    options.Tunables.RetryBudget,
		Memory:    node.memory,
		Logger:    options.Logger,
		OnWaiting: func() { node.peers.sendWaitingDemand() },
		Quotas:    node.quotas,
		Suspects:  node.suspects,
		Origins:   node.origins,

		CurrentStart: node.origins.currentStart,
		LiveStarts:   node.origins.live,
		OnHint: func(start inventory.Start, hint inventory.Hint) {
			node.hints.propagate(start, hint, hintFromAnswer)
		},
		OnUnreadField: node.hints.recordUnreadField,

		Admission:    node.admissions,
		Reachability: node.reachable,
		Forwarder:    node.forwarder,

		IsReady:    node.hasRequiredState,
		AwaitReady: node.awaitRequiredState,
	})
	node.UpdateTunables(options.Tunables)
	node.metrics = newMetrics(node)
	node.handler.OnFinished = func(route, outcome string, took time.Duration) {
		node.metrics.requests.WithLabelValues(route, outcome).Observe(took.Seconds())
	}
	return node
}

// UpdateTunables applies new tunables.
func (n *Node) UpdateTunables(tunables Tunables) {
	n.gracePeriodNanos.Store(int64(tunables.GracePeriod))
	n.handler.SetBudget(tunables.RetryBudget)
	n.handler.SetMaxEventBytes(tunables.ResponseLimits.EventBytes)
	n.pool.SetMaxHeadBytes(tunables.ResponseLimits.HeadBytes)
	n.forwarder.pool.SetMaxHeadBytes(tunables.ResponseLimits.HeadBytes)
	n.memory.SetLimit(cmp.Or(tunables.RequestMemory, DefaultRequestMemory))
	if n.peers != nil {
		n.peers.addSeeds(tunables.PeerSeeds)
	}
}

func (n *Node) gracePeriod() time.Duration { return time.Duration(n.gracePeriodNanos.Load()) }

// Run serves until stop is done, and then until the requests in progress have ended.
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
	group.Go(func() error { n.history.run(ctx); return nil })
	group.Go(func() error { n.origins.checkpoints.run(ctx); return nil })
	group.Go(func() error { n.reachable.run(ctx); return nil })
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

// Limits on callers until a configuration sets others.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	// defaultIdleTimeout bounds idle connections until a configuration sets a lower value.
	defaultIdleTimeout = 2 * time.Minute
	// idleSlack is added to the configured bound, within which callers reuse connections.
	idleSlack = time.Second
)

func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler:           n.callerConns.rejectClosed(n.handler),
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
		ConnState:         n.callerConns.onConnState,
		ConnContext:       callerconn.WithConn,
	}
}

// serveMetrics serves the metrics if the options enable them.
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
	return n.hasRequiredState() && seedsQueried && !n.stopping.Load() && !n.isIsolated()
}

// isIsolated reports whether this node can serve nobody: it reaches no server of any service, and hears
// no peer of a fleet that has others.
func (n *Node) isIsolated() bool {
	table := n.handler.Table()
	if n.peers == nil || table == nil || !n.reachable.reachesNone(table) {
		return false
	}
	nodes, _ := n.quotas.fleetSize(clock.Now())
	return nodes > 1 && n.peers.isAlone(clock.Now())
}

// maxSeedsWait is how long a starting node waits for the responses of its seeds.
const maxSeedsWait = time.Second

// hasRequiredState reports whether requests can be served.
func (n *Node) hasRequiredState() bool {
	return n.handler.Table() != nil && n.hasServers.Load() && n.evacuations.isInitialized()
}

// stateCheckPeriod is the interval between checks for the required state.
const stateCheckPeriod = 5 * time.Millisecond

// awaitRequiredState waits until the node can serve a request, the store fails or ctx ends. A
// waiting request makes the node query the store at once.
func (n *Node) awaitRequiredState(ctx context.Context) {
	n.callerWaiting.Store(true)
	for !n.hasRequiredState() && !n.storeFailing.Load() && ctx.Err() == nil {
		sleep(ctx, stateCheckPeriod)
	}
}

const (
	// entryDrainDelay is how long new connections still arrive after the node reports that it is
	// not ready. A later request on a kept connection might not finish within the grace period.
	entryDrainDelay = 2600 * time.Millisecond
	// lastRequestDelay is how long requests are passed on. Operators excuse that the grace period cuts a request only
	// if it was sent within 3 s of the signal.
	lastRequestDelay = 2900 * time.Millisecond
	// stopMargin is left before the process is killed.
	stopMargin = 300 * time.Millisecond
	// refusalMargin is left for requests without a server, so that they are refused rather than
	// cut off.
	refusalMargin = 1200 * time.Millisecond
	sweepPeriod   = time.Second
	// lastAnswersTime is the part of stopMargin in which requests that have not ended get a response.
	lastAnswersTime = 100 * time.Millisecond
	// drainCheckPeriod is the interval between checks for requests in progress.
	drainCheckPeriod = 25 * time.Millisecond
)

// drain keeps serving while new requests may still arrive, then closes idle connections and
// waits for the requests in progress, at most for the grace period.
func (n *Node) drain(server *http.Server, frontend net.Listener) {
	deadline := clock.Now().Add(n.gracePeriod() - stopMargin)
	n.stopping.Store(true)
	n.peers.announceStop()
	n.origins.handOff(clock.Now())
	n.handler.SetDraining(relay.StopSchedule{RefuseWaitingAt: deadline.Add(stopMargin - refusalMargin), EndAt: deadline})
	n.options.Logger.Info().Int64("active", n.handler.Active()).Msg("node_draining")
	time.Sleep(min(entryDrainDelay, clock.Until(deadline)))
	_ = frontend.Close()
	// Connections that were accepted until now may still bring their first request.
	time.AfterFunc(lastRequestDelay-entryDrainDelay, n.handler.Close)
	// http.Server.Shutdown would close connections whose request it has read but not yet
	// counted.
	busy := n.awaitIdle(deadline)
	n.handler.EndRequests()
	n.awaitIdle(deadline.Add(lastAnswersTime))
	_ = server.Close()
	n.origins.handOff(clock.Now())
	n.handler.LogRetryBudget(clock.Now(), 0)
	n.options.Logger.Info().Int64("active", n.handler.Active()).Bool("whole", busy == 0).Msg("node_stopped")
}

// awaitIdle closes idle connections until no request is in flight, or until the deadline. It returns the number of
// callers' connections that are busy.
func (n *Node) awaitIdle(deadline time.Time) (busy int) {
	for {
		busy = n.callerConns.closeAllIdle()
		if busy+int(n.handler.ForwardedActive()) == 0 || !clock.Now().Before(deadline) {
			return busy
		}
		time.Sleep(drainCheckPeriod)
	}
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
			n.forwarder.pool.CloseExpired()
			n.checkRegions(&regions)
			n.leader.post(func() { n.leader.demand.Prune(clock.Now()) })
			n.clearOldStoreFailure(clock.Now())
			n.quotas.sweep(clock.Now())
			n.suspects.sweep(clock.Now())
			n.origins.sweep(clock.Now())
			n.admissions.sweep(clock.Now())
			n.evacuations.reportUnknown()
			if table := n.handler.Table(); table != nil && table.Limits.IdleTimeout > 0 {
				n.callerConns.closeIdle(clock.Now(), table.Limits.IdleTimeout+idleSlack)
			}
		}
	}
}
