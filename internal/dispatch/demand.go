package dispatch

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Requirements are what a request needs from a server: a service, a model, optionally an adapter,
// the regions in which it may run and the software version that it needs.
type Requirements struct {
	Service string
	Model   string
	Adapter string
	Regions locality.Regions
	// SoftwareVersion is the version at which a stream must go on; empty allows any.
	SoftwareVersion string
}

// kind tells requests that go on with a stream, which alone require a software version, from new ones.
func (r Requirements) kind() admission.Kind {
	if r.SoftwareVersion != "" {
		return admission.KindGoingOn
	}
	return admission.KindNew
}

type demand struct {
	requests     int
	promptTokens int
	latencyGoal  time.Duration
	waiting      int
	lastRequest  time.Time
}

// DemandCount is what a node counted of the requests with the same Requirements.
type DemandCount struct {
	Requirements Requirements
	// Requests is the total since the node's start.
	Requests int
	// PromptTokens is the total of prompt tokens of these requests.
	PromptTokens int
	// LatencyGoal is the tightest latency objective among them.
	LatencyGoal time.Duration
	// Waiting is the number of requests that have no server now.
	Waiting     int
	LastRequest time.Time
}

// CountRequest counts a request with the tokens of its prompt.
func (c *Core) CountRequest(now time.Time, requirements Requirements, promptTokens int, latencyGoal time.Duration) {
	stats := c.demandOf(requirements)
	stats.requests++
	stats.promptTokens += promptTokens
	if latencyGoal > 0 && (stats.latencyGoal == 0 || latencyGoal < stats.latencyGoal) {
		stats.latencyGoal = latencyGoal
	}
	stats.lastRequest = now
}

// AddWaiting adds delta to the number of requests that have no server now.
func (c *Core) AddWaiting(requirements Requirements, delta int) {
	c.demandOf(requirements).waiting += delta
}

func (c *Core) demandOf(requirements Requirements) *demand {
	stats, ok := c.demand[requirements]
	if !ok {
		stats = &demand{}
		c.demand[requirements] = stats
	}
	return stats
}

// Demand returns the counts that changed after since, or have waiting requests.
func (c *Core) Demand(since time.Time) []DemandCount {
	var counts []DemandCount
	for requirements, stats := range c.demand {
		if stats.waiting > 0 || stats.lastRequest.After(since) {
			counts = append(counts, DemandCount{
				Requirements: requirements, Requests: stats.requests, PromptTokens: stats.promptTokens, LatencyGoal: stats.latencyGoal, Waiting: stats.waiting, LastRequest: stats.lastRequest,
			})
		}
	}
	return counts
}

// defaultAdapterLoadTime is the assumed load time of an adapter that has not been ordered yet, at a
// server that holds its model.
const defaultAdapterLoadTime = 80 * time.Millisecond

// ReadyIn returns the time until some server of the service can take requests with these
// requirements; known is false if nothing indicates that one will. Servers that asked for a backoff
// are left out: see BackoffEndsIn. An adapter is expected soon wherever its model is held.
func (c *Core) ReadyIn(now time.Time, requirements Requirements) (left time.Duration, known bool) {
	for _, s := range c.serversFor(requirements.Service, requirements.Model) {
		if !c.mayServe(now, s, requirements) || s.admissionState.Backoff(now) > 0 {
			continue
		}
		ready, ok := s.availableIn(now, requirements)
		if !ok {
			ready, ok = s.estimateReadyIn(now, requirements, c.OrdersIn(now))
		}
		if ok && (!known || ready < left) {
			left, known = ready, true
		}
	}
	return left, known
}

// CopyLocation is a place from which a server can load a model's weights.
type CopyLocation int

const (
	// CopyInStore weights are only in the weight store.
	CopyInStore CopyLocation = iota
	// CopyOnDisk weights are on some server's disk.
	CopyOnDisk
	// CopyInMemory weights are in some server's memory, besides the models that it holds.
	CopyInMemory
)

// NearestCopy returns the location of a model's weights that some server can load fastest, by the
// leader's views or the servers' own entries.
func (c *Core) NearestCopy(now time.Time, requirements Requirements) CopyLocation {
	nearest := CopyInStore
	for _, s := range c.index.storing[requirements.Model] {
		inMemory, onDisk := s.copies(now)
		switch {
		case !c.mayServe(now, s, requirements):
		case slices.Contains(inMemory, requirements.Model):
			return CopyInMemory
		case slices.Contains(onDisk, requirements.Model):
			nearest = CopyOnDisk
		}
	}
	return nearest
}

// copies returns the models whose weights the server keeps besides those that it holds.
func (s *server) copies(now time.Time) (inMemory, onDisk []string) {
	if s.hasView(now) {
		return s.view.InMemory, s.view.OnDisk
	}
	return s.info.InMemory, s.info.OnDisk
}

// estimateReadyIn returns the time until the server can serve the requirements, where that can be
// estimated. ordersIn is the time until a leader may issue orders.
func (s *server) estimateReadyIn(now time.Time, requirements Requirements, ordersIn time.Duration) (time.Duration, bool) {
	ready, ok := s.loadReadyIn(now, requirements.Model, requirements.Adapter)
	if ok || requirements.Adapter == "" {
		return ready, ok
	}
	if s.hasModel(now, requirements.Model, "") {
		return defaultAdapterLoadTime + ordersIn, true
	}
	ready, ok = s.loadReadyIn(now, requirements.Model, "")
	return ready + defaultAdapterLoadTime, ok
}

// ServerReadyIn returns the time until one server can serve the requirements, where the model is
// there or being loaded.
func (c *Core) ServerReadyIn(now time.Time, serverID string, requirements Requirements) (left time.Duration, known bool) {
	s, ok := c.servers[serverID]
	if !ok || !c.mayServe(now, s, requirements) {
		return 0, false
	}
	backoff := s.admissionState.Backoff(now)
	if s.hasModel(now, requirements.Model, requirements.Adapter) {
		return max(backoff, s.absentUntil[modelKey(requirements.Model, requirements.Adapter)].Sub(now)), true
	}
	left, known = s.loadReadyIn(now, requirements.Model, requirements.Adapter)
	return max(backoff, left), known
}
