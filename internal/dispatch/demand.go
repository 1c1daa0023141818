package dispatch

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Requirements names what requests ask for: a model of a service, with an adapter or
// without, in the regions in which they may run.
type Requirements struct {
	Service string
	Model   string
	Adapter string
	Regions locality.Regions
}

type demand struct {
	asked   int
	tokens  int
	goal    time.Duration
	waiting int
	lastAsk time.Time
}

// DemandCount is what a node counted of the requests for one Wanted.
type DemandCount struct {
	Requirements Requirements
	// Requests counts up from the node's start.
	Requests int
	// PromptTokens are those of the requests asked.
	PromptTokens int
	// LatencyGoal is the tightest objective among them.
	LatencyGoal time.Duration
	// Waiting requests have no server now.
	Waiting     int
	LastRequest time.Time
}

// CountRequest counts a request with its prompt.
func (c *Core) CountRequest(now time.Time, wanted Requirements, promptTokens int, goal time.Duration) {
	counted := c.demandOf(wanted)
	counted.asked++
	counted.tokens += promptTokens
	if goal > 0 && (counted.goal == 0 || goal < counted.goal) {
		counted.goal = goal
	}
	counted.lastAsk = now
}

// AddWaiting adds to the requests that have no server now.
func (c *Core) AddWaiting(wanted Requirements, by int) {
	c.demandOf(wanted).waiting += by
}

func (c *Core) demandOf(wanted Requirements) *demand {
	counted, ok := c.demand[wanted]
	if !ok {
		counted = &demand{}
		c.demand[wanted] = counted
	}
	return counted
}

// Demand returns the counts that changed since, or still have waiting ones.
func (c *Core) Demand(since time.Time) []DemandCount {
	var counts []DemandCount
	for wanted, counted := range c.demand {
		if counted.waiting > 0 || counted.lastAsk.After(since) {
			counts = append(counts, DemandCount{
				Requirements: wanted, Requests: counted.asked, PromptTokens: counted.tokens, LatencyGoal: counted.goal, Waiting: counted.waiting, LastRequest: counted.lastAsk,
			})
		}
	}
	return counts
}

// usualAdapterTime is taken for an adapter that nobody has ordered yet, at a
// server that holds its model.
const usualAdapterTime = 80 * time.Millisecond

// ReadyIn is the time until some server of the service can take requests for
// what is wanted; known is false where nobody has said that it is on its way. Servers that
// rest are left out: see Rests.
// An adapter comes soon wherever its model stands.
func (c *Core) ReadyIn(now time.Time, wanted Requirements) (left time.Duration, known bool) {
	for _, s := range c.listed(wanted.Service, wanted.Model) {
		if s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions) || s.bounds.Backoff(now) > 0 {
			continue
		}
		ready, ok := s.opensIn(now, wanted)
		if !ok {
			ready, ok = s.comesIn(now, wanted, c.OrdersIn(now))
		}
		if ok && (!known || ready < left) {
			left, known = ready, true
		}
	}
	return left, known
}

// CopyLocation is where weights lie that a server can load.
type CopyLocation int

const (
	// CopyInStore weights lie in the weight store alone.
	CopyInStore CopyLocation = iota
	// CopyOnDisk weights lie on some server's disk.
	CopyOnDisk
	// CopyInMemory weights lie in some server's memory, beside those it holds.
	CopyInMemory
)

// NearestCopy is the copy of a model's weights that some server can load
// soonest, by the leader's views or the servers' own entries.
func (c *Core) NearestCopy(now time.Time, wanted Requirements) CopyLocation {
	nearest := CopyInStore
	for _, s := range c.index.keeping[wanted.Model] {
		inMemory, onDisk := s.copies(now)
		switch {
		case s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions):
		case slices.Contains(inMemory, wanted.Model):
			return CopyInMemory
		case slices.Contains(onDisk, wanted.Model):
			nearest = CopyOnDisk
		}
	}
	return nearest
}

// copies are the models whose weights the server keeps beside those held.
func (s *server) copies(now time.Time) (inMemory, onDisk []string) {
	if s.hasView(now) {
		return s.view.InMemory, s.view.OnDisk
	}
	return s.info.InMemory, s.info.OnDisk
}

// comesIn is the time until the server has what is wanted, where that can be
// told; ordersIn is the time until somebody may order.
func (s *server) comesIn(now time.Time, wanted Requirements, ordersIn time.Duration) (time.Duration, bool) {
	ready, ok := s.readyIn(now, wanted.Model, wanted.Adapter)
	if ok || wanted.Adapter == "" {
		return ready, ok
	}
	if s.has(now, wanted.Model, "") {
		return usualAdapterTime + ordersIn, true
	}
	ready, ok = s.readyIn(now, wanted.Model, "")
	return ready + usualAdapterTime, ok
}

// ServerReadyIn is the time until one server has what is wanted, where it is on its
// way or there.
func (c *Core) ServerReadyIn(now time.Time, serverID string, wanted Requirements) (left time.Duration, known bool) {
	s, ok := c.servers[serverID]
	if !ok || !s.takesWork() || !c.isIn(s, wanted.Regions) {
		return 0, false
	}
	rest := s.bounds.Backoff(now)
	if s.has(now, wanted.Model, wanted.Adapter) {
		return max(rest, s.absentUntil[joined(wanted.Model, wanted.Adapter)].Sub(now)), true
	}
	left, known = s.readyIn(now, wanted.Model, wanted.Adapter)
	return max(rest, left), known
}
