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
	// RetryNever allows a request to run at most once.
	RetryNever RetryPolicy = iota
	// RetrySafe allows a request to run more than once.
	RetrySafe
	// RetryResume allows another server to resume a stream after the last complete event.
	RetryResume
)

// Route says where requests of a host below a path prefix go, and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream is set if responses are event streams.
	Stream bool
	// Sticky is set if requests name a model and the parts of a prompt.
	Sticky bool
	// Timeout is how long a request may be held; 0 means no limit.
	Timeout time.Duration
	// LatencyGoal is the time within which a response, or the first event of a stream, counts as in
	// time; 0 if there is no goal.
	LatencyGoal time.Duration
	// EventGapGoal is the longest pause between events that counts as in time.
	EventGapGoal time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// MaxAttempts is the largest number of servers that a request is sent to.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Services are the services that requests are distributed to; weights are relative.
	Services []WeightedService
	// Regions are the regions in which the route's requests may run.
	Regions locality.Regions
}

// WeightedService is one service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all nodes together;
	// 0 if not configured.
	MaxConnections int
	ColdStart      ColdStart
	// Engine is nil if the servers hold no models.
	Engine *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the capacity for running requests and cached prompts, in tokens.
	MemoryTokens int
	Models       map[string]Model
	// MemoryMB is the capacity of one server for weights and adapters.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store, over all servers.
	LoadsPerSecond float64
	// EventStreams is how many waiting event calls one server accepts.
	EventStreams int
}

// Model is one model that servers of a service may hold.
type Model struct {
	Name      string
	WeightsMB float64
	// Load, DiskLoad and MemoryLoad are the times to load the model from the weight store, from the
	// server's disk and from its memory.
	Load       time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	Adapters   int
	AdapterMB  float64
}

// Limits are the limits on what callers may send.
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
	// Source is the text that the table was decoded from. It is passed on to nodes that do not read
	// it from the store themselves.
	Source []byte
	routes map[string][]Route
	// tenants are the owners of keys; the values of owners are indices into tenants.
	tenants      []Tenant
	owners       map[KeyHash]int
	hasQuotas    bool
	restrictions []RegionRestriction
}

// New returns a table of the routes.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:      version,
		Services:     make(map[string]Service, len(services)),
		Limits:       limits,
		routes:       make(map[string][]Route),
		restrictions: findRestrictions(routes),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		host := canonicalHost(route.Host)
		table.routes[host] = append(table.routes[host], route)
	}
	for _, hostRoutes := range table.routes {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	hostRoutes := t.routes[canonicalHost(host)]
	for i := range hostRoutes {
		if strings.HasPrefix(path, hostRoutes[i].Prefix) {
			return &hostRoutes[i], true
		}
	}
	return nil, false
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, hostRoutes := range t.routes {
		count += len(hostRoutes)
	}
	return count
}

// canonicalHost returns the host without its port, in lower case.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
