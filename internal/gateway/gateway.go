package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membudget"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/views"
)

// Catalog looks up routes in the declarations in force.
type Catalog interface {
	// ModelRoute finds the route of a model request with the given labels.
	ModelRoute(labels map[string]string) (catalog.ModelRoute, bool)
	// ServiceRoute finds the route of a service call.
	ServiceRoute(method, path string) (catalog.ServiceRoute, bool)
	// ModelNames lists, in order, the names that callers may use as model.
	ModelNames() []string
}

// Options configure a Gateway.
type Options struct {
	Views *views.Views
	// Catalog returns the declarations in force, and false while there are none.
	Catalog func() (Catalog, bool)
	Demand  fleet.DemandReporter
	Guard   claim.Guard
	// Leaving is called with a back end that refuses requests because it is shutting
	// down. It must not block. Nil ignores the event.
	Leaving func(fleet.BackendName)
	// Suspects tracks requests that crash servers; nil tracks none.
	Suspects Suspects
	// Quotas enforces the quotas of tenants; nil enforces none.
	Quotas Quotas
	// Admission enforces the rate limits of back ends; nil enforces none.
	Admission Admission
	// Self names the node and its zone.
	Self   fleet.Member
	Logger *log.Logger
	// System runs the gateway's actors; nil creates a system of its own.
	System     *actor.ActorSystem
	Registerer prometheus.Registerer
	Limits     Limits
	Queue      queue.Options
	Routing    routing.Options
	Seed       uint64
	// DialEngine opens connections to engines; nil uses the real network.
	DialEngine backend.DialFunc
	// Now is the clock; nil uses time.Now.
	Now func() time.Time
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	options       Options
	limits        Limits
	now           func() time.Time
	catalog       func() (Catalog, bool)
	system        *actor.ActorSystem
	models        *dispatcher
	services      *dispatcher
	engineClient  *backend.Generator
	serviceClient *backend.Services
	// probes tells crashed servers from broken connections.
	probes  *backendconn.Pool
	metrics *metrics
	tickets atomic.Uint64
	// memory is what the bodies of all requests share.
	memory *membudget.Budget
	// modelCalls and serviceCalls count the requests in progress.
	modelCalls, serviceCalls atomic.Int64

	randomMutex sync.Mutex
	random      *rand.Rand

	running requestTracker
	// background tracks cancels, hedged attempts and reports to key keepers in progress.
	background sync.WaitGroup
}

// New starts a gateway. Close stops it.
func New(options Options) *Gateway {
	now := options.Now
	if now == nil {
		now = time.Now
	}
	if options.Logger == nil {
		options.Logger = &log.Logger{Level: log.PanicLevel}
	}
	if options.Registerer == nil {
		options.Registerer = prometheus.NewRegistry()
	}
	options.Queue.Node = options.Self.Name
	options.Queue.Zone = options.Self.Zone
	options.Routing.Zone = options.Self.Zone
	options.Routing.Seed = options.Seed
	gateway := &Gateway{
		options:       options,
		limits:        options.Limits.withDefaults(),
		now:           now,
		catalog:       options.Catalog,
		engineClient:  backend.NewGenerator(options.Self.Zone, options.DialEngine),
		serviceClient: backend.NewServices(options.Self.Zone),
		probes:        backendconn.New(backendconn.Options{}),
		metrics:       newMetrics(options.Registerer),
		random:        rand.New(rand.NewPCG(options.Seed, seedStream)),
	}
	gateway.memory = membudget.New(gateway.limits.MaxBodyBytesTotal)
	gateway.running.active = make(map[uint64]*activeRequest)
	gateway.system = options.System
	if gateway.system == nil {
		gateway.system = newActorSystem()
	}
	gateway.models = startDispatcher(gateway)
	gateway.services = startDispatcher(gateway)
	gateway.watch()
	return gateway
}

// newActorSystem creates an actor system for gateways that are used without a node.
func newActorSystem() *actor.ActorSystem {
	discardLogs := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return actor.NewActorSystem(actor.WithLoggerFactory(discardLogs))
}

// seedStream separates the gateway's random numbers from those of the cores.
const seedStream = 0x676174657761790a

// watch forwards published views to both dispatchers.
func (g *Gateway) watch() {
	for _, dispatcher := range []*dispatcher{g.models, g.services} {
		g.options.Views.RouteTables.Watch(func(tables views.RouteTables) { dispatcher.send(tablesChanged{tables: tables}) })
		g.options.Views.Catalog.Watch(func(snapshot *catalog.Snapshot) {
			dispatcher.send(configurationChanged{evacuations: snapshot.Evacuations(), topology: snapshot.Topology()})
		})
		g.options.Views.Members.Watch(func([]fleet.Member) { dispatcher.send(nodesChanged{nodes: g.usableNodes()}) })
		g.options.Views.Machines.Watch(func(machines objectstore.MachineList) {
			dispatcher.send(nodesChanged{nodes: g.usableNodes()})
			dispatcher.send(leavingChanged{backends: leavingBackends(machines)})
		})
	}
	if g.options.Demand != nil {
		g.options.Demand.OnRefusal(func(refusals []fleet.LoadRefusal) { g.models.send(loadRefused{refusals: refusals}) })
	}
}

// Close stops the gateway's actors and closes idle connections; call Drain first.
func (g *Gateway) Close() {
	g.models.stop()
	g.services.stop()
	if g.options.System == nil {
		g.system.Shutdown()
	}
	g.background.Wait()
	g.engineClient.Close()
	g.serviceClient.Close()
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	call := g.newCall(writer, request)
	g.serve(call)
	if call.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) serve(call *call) {
	defer call.finish()
	if !g.running.add(call) {
		call.writer.Header().Set("Connection", "close")
		call.fail(problemStopping(g.limits.DrainRetryAfter))
		return
	}
	defer g.running.remove(call)
	g.metrics.running.Inc()
	defer g.metrics.running.Dec()
	current, found := g.catalog()
	if !found {
		call.fail(problemNoCatalog)
		return
	}
	if failed := call.authenticate(); failed != nil {
		call.fail(*failed)
		return
	}
	switch path := call.request.URL.Path; {
	case path == backend.PathChat || path == backend.PathCompletions:
		call.serveModel(current)
	case path == pathModels:
		call.serveModelList(current)
	case strings.HasPrefix(path, pathModels+"/"):
		call.serveModelName(current, strings.TrimPrefix(path, pathModels+"/"))
	default:
		call.serveService(current)
	}
}

const pathModels = "/v1/models"

func (g *Gateway) nextRandom() uint64 {
	g.randomMutex.Lock()
	defer g.randomMutex.Unlock()
	return g.random.Uint64()
}
