package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Request is a request that wants a server.
type Request struct {
	Service string
	// Model is empty where the service's servers hold no models.
	Model        string
	Adapter      string
	Parts        []PromptPart
	PromptTokens int
	// Exclude are servers that this request failed at.
	Exclude []string
	// AllowedServers are the servers that the request may go to; empty is any.
	AllowedServers []string
	// ColocationKey is set for a request that may end its server: all nodes send those of one
	// number to the same one, so that several at once end one server and not several.
	ColocationKey uint64
	// Regions are those in which the request may run.
	Regions locality.Regions
}

// Choice is a server for a request.
type Choice struct {
	ServerID string
	Address  string
	// Estimate is the expected time to the first byte.
	Estimate time.Duration
	// Distance is how far it is.
	Distance locality.Distance
	Attempt  *Attempt
}

// Attempt is one request under way at a server.
type Attempt struct {
	server *server
	// start is the start of the server that it was sent to.
	start    inventory.Start
	tokens   float64
	estimate time.Duration
	started  time.Time
	// probe is set where the request shows whether its server takes work again.
	probe *admission.Probe
	begun bool
	ended bool
}

// Costs that order the choices.
const (
	// readRate is the prompt tokens that a server is taken to read in a second.
	// It need not be right: where servers are slower or faster than that, their
	// slowness tells them apart.
	readRate = 30_000
	// runningCost is the delay that each running request adds.
	runningCost = 500 * time.Microsecond
	// failureCost is what a failed request is taken to cost.
	failureCost = 2 * time.Second
	// baseCost is the time of an empty prompt at an idle server.
	baseCost = 12 * time.Millisecond
	// affinityShare is the part of a prompt that the server which all nodes
	// prefer for its shared parts is taken to keep.
	affinityShare = 0.5
)

// Pick chooses a server that can take the request now. Where there is none, ok
// is false; ReadyIn says for how long.
func (c *Core) Pick(now time.Time, ask Request) (choice Choice, ok bool) {
	keys := partKeys(ask.Model, ask.Adapter, ask.Parts)
	candidates := c.filter(now, ask)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	chosen, cost, tokens := c.best(now, ask, keys, candidates)
	chosen.cache.add(now, keys)
	chosen.running++
	chosen.pendingTokens += tokens
	flight := &Attempt{server: chosen, start: chosen.info.Start(), tokens: tokens, estimate: cost, started: now}
	flight.probe = chosen.bounds.StartProbe(now)
	return Choice{ServerID: chosen.info.ID, Address: chosen.info.Address, Estimate: cost, Distance: c.places.Distance(c.zone, chosen.info.Zone), Attempt: flight}, true
}

// CanPick reports whether Pick would find a server.
func (c *Core) CanPick(now time.Time, ask Request) bool {
	return len(c.filter(now, ask)) > 0
}

// filter returns the servers that may be sent to.
func (c *Core) filter(now time.Time, ask Request) []*server {
	var candidates []*server
	for _, s := range c.listed(ask.Service, ask.Model) {
		if s.info.Service != ask.Service || !s.takesWork() || !c.isIn(s, ask.Regions) || slices.Contains(ask.Exclude, s.info.ID) {
			continue
		}
		if len(ask.AllowedServers) > 0 && !slices.Contains(ask.AllowedServers, s.info.ID) {
			continue
		}
		if ask.Model != "" && !s.holds(now, ask.Model, ask.Adapter) {
			continue
		}
		if !s.mayTake(now) {
			continue
		}
		candidates = append(candidates, s)
	}
	return candidates
}

func (c *Core) best(now time.Time, ask Request, keys []uint64, candidates []*server) (*server, time.Duration, float64) {
	if ask.ColocationKey != 0 {
		candidates = []*server{agreed(ask.ColocationKey, candidates)}
	}
	preferred := c.preferred(keys, candidates)
	var chosen *server
	var lowest float64
	var uncached float64
	for _, s := range candidates {
		tokens := float64(ask.PromptTokens) - s.cache.kept(now, keys, ask.Parts)
		if s == preferred {
			tokens = min(tokens, float64(ask.PromptTokens)-affinityShare*sharedTokens(ask.Parts))
		}
		tokens = max(0, tokens)
		cost := c.cost(now, s, tokens) * (1 + 0.02*c.random.Float64())
		if chosen == nil || cost < lowest {
			chosen, lowest, uncached = s, cost, tokens
		}
	}
	return chosen, time.Duration(lowest * float64(time.Second)), uncached
}

// preferred is the server that all nodes agree on for the shared parts.
func (c *Core) preferred(keys []uint64, candidates []*server) *server {
	if len(keys) < 2 {
		return nil
	}
	return agreed(keys[len(keys)-2], candidates)
}

// agreed is the server that all nodes choose for a key.
func agreed(key uint64, candidates []*server) *server {
	return slices.MaxFunc(candidates, func(a, b *server) int {
		if affinity(a.info.ID, key) < affinity(b.info.ID, key) {
			return -1
		}
		return 1
	})
}

func sharedTokens(parts []PromptPart) float64 {
	tokens := 0
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
	}
	return float64(tokens)
}

// cost is the expected seconds to the first byte, with a malus for failures.
func (c *Core) cost(now time.Time, s *server, tokens float64) float64 {
	running, pending := s.load(now)
	cost := baseCost.Seconds() + (pending+tokens)/readRate + float64(running)*runningCost.Seconds()
	if s.info.Slots > 0 && running >= s.info.Slots {
		cost += baseCost.Seconds() * float64(running-s.info.Slots+1)
	}
	failures := s.health.failureRate(now)
	cost *= max(1, s.health.slowness)
	cost += failures * failures * failureCost.Seconds()
	cost += c.wayCost(s).Seconds()
	if s.coldPhase(now) == admission.Cold {
		cost += coldCost.Seconds()
	}
	cost += s.rateCost(now).Seconds()
	if s.bounds.HasPeerBackoff(now) {
		cost += peerBackoffCost.Seconds()
	}
	return cost
}

// Outcome is how a request ended, as far as it concerns the server.
type Outcome int

const (
	// OutcomeServed is a whole answer.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed is an error of the server, or no answer.
	OutcomeFailed
	// OutcomeRejected is a refusal by the server, which did not run it.
	OutcomeRejected
	// OutcomeAbandoned says nothing of the server: the caller left.
	OutcomeAbandoned
)

// RecordFirstByte tells that the answer's first byte came.
func (c *Core) RecordFirstByte(now time.Time, flight *Attempt) {
	if flight.begun || flight.ended {
		return
	}
	flight.begun = true
	if flight.server.bounds.EndProbe(now, flight.probe, true) {
		c.notify()
	}
	c.clearPending(flight)
	took := now.Sub(flight.started)
	if flight.estimate > 0 {
		flight.server.health.addSlowness(now, took.Seconds()/flight.estimate.Seconds())
	}
}

func (c *Core) clearPending(flight *Attempt) {
	flight.server.pendingTokens = math.Max(0, flight.server.pendingTokens-flight.tokens)
}

// End tells how the request ended.
func (c *Core) End(now time.Time, flight *Attempt, outcome Outcome) {
	if flight.ended {
		return
	}
	if !flight.begun {
		c.clearPending(flight)
	}
	flight.ended = true
	if flight.server.bounds.EndProbe(now, flight.probe, false) {
		c.notify()
	}
	flight.server.running--
	switch outcome {
	case OutcomeServed:
		flight.server.health.add(now, false)
	case OutcomeFailed:
		flight.server.health.add(now, true)
	}
}

// MarkModelAbsent tells that a server refused a model as not there.
func (c *Core) MarkModelAbsent(now time.Time, serverID, model, adapter string) {
	until := now.Add(absentTime)
	if adapter != "" {
		until = now.Add(absentAdapterTime)
	}
	if s, ok := c.servers[serverID]; ok {
		s.absentUntil[joined(model, adapter)] = until
	}
}

const (
	// absentTime is how long a server's word that a model is not there goes
	// before what the store and the leader say.
	absentTime = 300 * time.Millisecond
	// absentAdapterTime is the same for an adapter, which may be about to come.
	absentAdapterTime = 50 * time.Millisecond
)

// SetReportedLoad takes the load that a server told with an answer.
func (c *Core) SetReportedLoad(now time.Time, serverID string, load Load) {
	if s, ok := c.servers[serverID]; ok {
		s.reported = load
		s.reportedAt = now
	}
}
