package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Request is a request to select a server for.
type Request struct {
	Service string
	// Model is empty for services whose servers hold no models.
	Model        string
	Adapter      string
	Parts        []PromptPart
	PromptTokens int
	// Exclude lists the servers at which this request failed.
	Exclude []string
	// AllowedServers lists the servers to which the request may go; empty allows any.
	AllowedServers []string
	// ColocationKey is set for a request that may crash its server: all nodes send requests with
	// the same key to the same server, so that several at once crash one server and not many.
	ColocationKey uint64
	// Regions are those in which the request may run.
	Regions locality.Regions
	// SoftwareVersion is the version at which a stream must go on; empty allows any.
	SoftwareVersion string
	// BeginsStream is set if callers may resume the response, and have nothing of it yet.
	BeginsStream bool
}

// requirements returns what the request needs from a server.
func (r Request) requirements() Requirements {
	return Requirements{Service: r.Service, Model: r.Model, Adapter: r.Adapter, Regions: r.Regions, SoftwareVersion: r.SoftwareVersion}
}

// Choice is the server selected for a request.
type Choice struct {
	ServerID string
	Address  string
	// Estimate is the expected time to the first byte.
	Estimate time.Duration
	// Distance is the network distance of the server.
	Distance locality.Distance
	// SoftwareVersion is the version of the server's software; empty if unknown.
	SoftwareVersion string
	Attempt         *Attempt
}

// Attempt is one request in flight at a server.
type Attempt struct {
	server *server
	// start is the start of the server to which the request was sent.
	start    inventory.Start
	tokens   float64
	estimate time.Duration
	started  time.Time
	// probe is set if this request probes whether its server takes work again.
	probe        *admission.Probe
	hasFirstByte bool
	ended        bool
}

// Constants of the cost by which servers are ordered.
const (
	// assumedPrefillRate is the assumed number of prompt tokens that a server processes in a
	// second. It need not be accurate: the measured slowness of a server corrects for it.
	assumedPrefillRate = 30_000
	// runningRequestCost is the delay that each running request adds.
	runningRequestCost = 500 * time.Microsecond
	// failureCost is the assumed cost of a failed request.
	failureCost = 2 * time.Second
	// baseCost is the time for an empty prompt at an idle server.
	baseCost = 12 * time.Millisecond
	// affinityShare is the assumed cached share of the tokens in a prompt's shared parts, at the
	// server that all nodes prefer for them.
	affinityShare = 0.5
)

// Pick selects a server that can take the request now. If there is none, ok is false, and ReadyIn
// estimates the wait.
func (c *Core) Pick(now time.Time, request Request) (choice Choice, ok bool) {
	keys := partKeys(request.Model, request.Adapter, request.Parts)
	candidates := c.filter(now, request)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	switch {
	case request.SoftwareVersion != "":
		candidates = c.preferCertainVersions(now, candidates)
	case request.BeginsStream && request.ColocationKey == 0:
		candidates = c.preferRecordedVersions(now, candidates)
	}
	chosen, cost, tokens := c.cheapest(now, request, keys, candidates)
	chosen.cache.add(now, keys)
	chosen.running++
	chosen.pendingTokens += tokens
	attempt := &Attempt{server: chosen, start: chosen.info.Start(), tokens: tokens, estimate: cost, started: now}
	attempt.probe = chosen.admissionState.StartProbe(now)
	return Choice{ServerID: chosen.info.ID, Address: chosen.info.Address, Estimate: cost, Distance: c.topology.Distance(c.zone, chosen.info.Zone), SoftwareVersion: chosen.info.SoftwareVersion, Attempt: attempt}, true
}

// CanPick reports whether Pick would find a server.
func (c *Core) CanPick(now time.Time, request Request) bool {
	return len(c.filter(now, request)) > 0
}

// filter returns the servers to which the request may be sent.
func (c *Core) filter(now time.Time, request Request) []*server {
	var candidates []*server
	requirements := request.requirements()
	for _, s := range c.serversFor(request.Service, request.Model) {
		if !c.mayServe(now, s, requirements) || slices.Contains(request.Exclude, s.info.ID) {
			continue
		}
		if len(request.AllowedServers) > 0 && !slices.Contains(request.AllowedServers, s.info.ID) {
			continue
		}
		if request.Model != "" && !s.hasUsableModel(now, request.Model, request.Adapter) {
			continue
		}
		if !s.acceptsRequests(now, requirements) {
			continue
		}
		candidates = append(candidates, s)
	}
	return candidates
}

// cheapest returns the candidate with the lowest cost, the cost as a duration, and the prompt tokens
// that are likely not cached there.
func (c *Core) cheapest(now time.Time, request Request, keys []uint64, candidates []*server) (*server, time.Duration, float64) {
	if request.ColocationKey != 0 {
		candidates = []*server{rendezvousServer(request.ColocationKey, candidates)}
	}
	preferred := c.preferred(keys, candidates)
	var chosen *server
	var lowest float64
	var uncached float64
	for _, s := range candidates {
		tokens := float64(request.PromptTokens) - s.cache.cachedTokens(now, keys, request.Parts)
		if s == preferred {
			tokens = min(tokens, float64(request.PromptTokens)-affinityShare*sharedTokens(request.Parts))
		}
		tokens = max(0, tokens)
		cost := c.cost(now, s, tokens) * (1 + 0.02*c.random.Float64())
		if chosen == nil || cost < lowest {
			chosen, lowest, uncached = s, cost, tokens
		}
	}
	return chosen, time.Duration(lowest * float64(time.Second)), uncached
}

// preferred returns the server that all nodes prefer for the prompt's shared parts.
func (c *Core) preferred(keys []uint64, candidates []*server) *server {
	if len(keys) < 2 {
		return nil
	}
	return rendezvousServer(keys[len(keys)-2], candidates)
}

// rendezvousServer returns the server that all nodes select for a key by rendezvous hashing.
func rendezvousServer(key uint64, candidates []*server) *server {
	return slices.MaxFunc(candidates, func(a, b *server) int {
		if rendezvousWeight(a.info.ID, key) < rendezvousWeight(b.info.ID, key) {
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

// cost returns the expected seconds to the first byte, with a penalty for failures.
func (c *Core) cost(now time.Time, s *server, tokens float64) float64 {
	running, pending := s.load(now)
	cost := baseCost.Seconds() + (pending+tokens)/assumedPrefillRate + float64(running)*runningRequestCost.Seconds()
	if s.info.Slots > 0 && running >= s.info.Slots {
		cost += baseCost.Seconds() * float64(running-s.info.Slots+1)
	}
	failures := s.health.failureRate(now)
	cost *= max(1, s.health.slowness)
	cost += failures * failures * failureCost.Seconds()
	cost += c.distanceCost(s).Seconds()
	if s.coldPhase(now) == admission.Cold {
		cost += coldCost.Seconds()
	}
	cost += s.rateLimitCost(now).Seconds()
	if s.admissionState.HasPeerBackoff(now) {
		cost += peerBackoffCost.Seconds()
	}
	return cost
}

// Outcome is the result of a request with respect to its server.
type Outcome int

const (
	// OutcomeServed is a complete response.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed is a server error or no response.
	OutcomeFailed
	// OutcomeRejected is a refusal by the server before it ran the request.
	OutcomeRejected
	// OutcomeAbandoned says nothing about the server: the caller left.
	OutcomeAbandoned
)

// RecordFirstByte records that the first byte of the response arrived.
func (c *Core) RecordFirstByte(now time.Time, attempt *Attempt) {
	c.RecordHeard(now, attempt)
	if attempt.hasFirstByte || attempt.ended {
		return
	}
	attempt.hasFirstByte = true
	if attempt.server.admissionState.EndProbe(now, attempt.probe, true) {
		c.notify()
	}
	c.clearPending(attempt)
	took := now.Sub(attempt.started)
	if attempt.estimate > 0 {
		attempt.server.health.addSlowness(now, took.Seconds()/attempt.estimate.Seconds())
	}
}

// RecordHeard records that something was read of the response.
func (c *Core) RecordHeard(now time.Time, attempt *Attempt) { attempt.server.heardAt = now }

// IsHeardSince reports whether anything was read from the attempt's server at that time or later.
func (c *Core) IsHeardSince(attempt *Attempt, since time.Time) bool {
	return !attempt.server.heardAt.Before(since)
}

func (c *Core) clearPending(attempt *Attempt) {
	attempt.server.pendingTokens = math.Max(0, attempt.server.pendingTokens-attempt.tokens)
}

// End records the outcome of the request.
func (c *Core) End(now time.Time, attempt *Attempt, outcome Outcome) {
	if attempt.ended {
		return
	}
	if !attempt.hasFirstByte {
		c.clearPending(attempt)
	}
	attempt.ended = true
	if attempt.server.admissionState.EndProbe(now, attempt.probe, false) {
		c.notify()
	}
	attempt.server.running--
	switch outcome {
	case OutcomeServed:
		attempt.server.health.add(now, false)
	case OutcomeFailed:
		attempt.server.health.add(now, true)
	}
}

// MarkModelAbsent records that a server refused a request because it doesn't hold the model.
func (c *Core) MarkModelAbsent(now time.Time, serverID, model, adapter string) {
	until := now.Add(absentModelTTL)
	if adapter != "" {
		until = now.Add(absentAdapterTTL)
	}
	if s, ok := c.servers[serverID]; ok {
		s.absentUntil[modelKey(model, adapter)] = until
	}
}

const (
	// absentModelTTL is how long a server's own report that it doesn't hold a model overrides the
	// store and the leader.
	absentModelTTL = 300 * time.Millisecond
	// absentAdapterTTL is the same for an adapter, which may be about to be loaded.
	absentAdapterTTL = 50 * time.Millisecond
)

// SetReportedLoad stores the load that a server reported in a response.
func (c *Core) SetReportedLoad(now time.Time, serverID string, load Load) {
	if s, ok := c.servers[serverID]; ok {
		s.reportedLoad = load
		s.reportedAt = now
	}
}
