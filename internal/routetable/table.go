package routetable

import (
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// RetryPolicy says how often a request of a route may run.
type RetryPolicy int

const (
	// RetryNever is a request that runs at most once.
	RetryNever RetryPolicy = iota
	// RetrySafe is a request that may run more than once.
	RetrySafe
	// RetryResume is a stream that another server may take up behind the last
	// whole event.
	RetryResume
)

// Route says where requests of a host below a path prefix go, and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream is set where answers are event streams.
	Stream bool
	// Sticky is set where requests name a model and the parts of a prompt.
	Sticky bool
	// Timeout is how long a request may be held; 0 is without a bound.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer, or a stream's first event, is
	// in time; 0 where none is given.
	LatencyGoal time.Duration
	// EventGapGoal is the longest pause between events that is still in time.
	EventGapGoal time.Duration
	// Priority is the rank among requests; 0 is the highest.
	Priority int
	// MaxAttempts is the greatest number of servers that a request is sent to.
	MaxAttempts int
	// Public is set where requests need no key.
	Public bool
	// Services are the services that requests go to; weights are relative.
	Services []WeightedService
	// Regions are those in which its requests may run.
	Regions locality.Regions
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of servers that can take each other's requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all nodes together; 0 where none is told.
	MaxConnections int
	ColdStart      ColdStart
	// Engine is nil where servers hold no models.
	Engine *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the room for running requests and cached prompts.
	MemoryTokens int
	Models       map[string]Model
	// MemoryMB is the room of one server for weights and adapters.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store of all servers.
	LoadsPerSecond float64
	// EventStreams is how many waiting event calls one server holds.
	EventStreams int
}

// Model is one model that servers of a service may hold.
type Model struct {
	Name      string
	WeightsMB float64
	// Load, DiskLoad and MemoryLoad are the times of a load from the weight
	// store, from the server's disk and from its memory.
	Load       time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	Adapters   int
	AdapterMB  float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Source is the text that the table was decoded from, for nodes that do not
	// read it from the store themselves.
	Source []byte
	routes map[string][]Route
	// tenants are the owners of keys; owners are indices into them.
	tenants   []Tenant
	owners    map[KeyHash]int
	hasQuotas bool
	bounded   []RegionRestriction
}

// New returns a table of the routes.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		routes:   make(map[string][]Route),
		bounded:  findBounded(routes),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		host := canonicalHost(route.Host)
		table.routes[host] = append(table.routes[host], route)
	}
	for _, ofHost := range table.routes {
		slices.SortStableFunc(ofHost, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	ofHost := t.routes[canonicalHost(host)]
	for i := range ofHost {
		if strings.HasPrefix(path, ofHost[i].Prefix) {
			return &ofHost[i], true
		}
	}
	return nil, false
}

// RouteCount is the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, ofHost := range t.routes {
		count += len(ofHost)
	}
	return count
}

// canonicalHost is the host without its port, in lower case.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
