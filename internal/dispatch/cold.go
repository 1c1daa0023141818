package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// coldCost is added to the cost of a cold server: a warm server is preferred unless its expected
// time to first byte is longer by more than this. It is a fraction of the tightest latency
// objectives that callers of models have.
const coldCost = 60 * time.Millisecond

// coldState is what this node knows about the warm-up of one server.
type coldState struct {
	warmUp admission.WarmUp
	// limit is the cold-start limit of the server's service.
	limit routetable.ColdStart
	// retryAt is when a request that the server's coordinator denied may be granted.
	retryAt time.Time
	// source is where the latest information came from, and loggedPhase the phase reported by the
	// last call of ColdChanges.
	source      ColdSource
	loggedPhase admission.Phase
}

// ColdSource says where the information that a server is cold or warm came from.
type ColdSource string

const (
	// ColdFirstSeen means that the server was seen for the first time and nothing was reported
	// about it.
	ColdFirstSeen ColdSource = "first_seen"
	// ColdEntry is the server's entry, from the store or a peer.
	ColdEntry ColdSource = "entry"
	// ColdResponse is a response of the server itself.
	ColdResponse ColdSource = "answer"
	// ColdUnreachable means that no connection to the server could be established.
	ColdUnreachable ColdSource = "unreachable"
	// ColdZone means that the server's zone takes work again.
	ColdZone ColdSource = "zone"
	// ColdElapsed means that the cold time is over.
	ColdElapsed ColdSource = "elapsed"
)

// SetColdStarts sets the limits of the services whose cold servers accept less than warm ones.
func (c *Core) SetColdStarts(limits map[string]routetable.ColdStart) {
	c.coldStarts = limits
	for _, s := range c.servers {
		s.cold.limit = limits[s.info.Service]
	}
}

// UpdateColdFromEntry applies the warm-up state in a server's entry, or its absence.
func (c *Core) UpdateColdFromEntry(now time.Time, entry inventory.Server) {
	s, ok := c.servers[entry.ID]
	if !ok {
		return
	}
	s.cold.limit = c.coldStarts[s.info.Service]
	if entry.ReportsCold {
		if s.cold.warmUp.ApplyEntry(now, entry.ColdRemaining, entry.Position, s.cold.limit.Time) {
			s.cold.source = ColdEntry
		}
		return
	}
	if s.cold.source == "" {
		s.cold.source = ColdFirstSeen
	}
	s.cold.warmUp.MarkSeen(now)
}

// UpdateColdFromResponse applies the remaining cold time that a server reported in a response.
func (c *Core) UpdateColdFromResponse(now time.Time, serverID string, left time.Duration) {
	if s, ok := c.servers[serverID]; ok {
		s.cold.warmUp.ApplyResponse(now, left, s.cold.limit.Time)
		s.cold.source = ColdResponse
	}
}

// MarkPossiblyCold records that the servers of a zone may have turned cold, for example at the end
// of the zone's evacuation. Entries up to the position upTo don't reflect this yet.
func (c *Core) MarkPossiblyCold(now time.Time, zone string, upTo storepos.Position) {
	for _, s := range c.servers {
		if s.info.Zone == zone {
			s.cold.warmUp.MarkPossiblyCold(now, upTo)
			s.cold.source = ColdZone
		}
	}
}

// MarkUnreachable records that no connection to the server can be established. It may have been
// down and be cold when it comes back; its entry may take a second to say so.
func (c *Core) MarkUnreachable(now time.Time, serverID string) {
	if s, ok := c.servers[serverID]; ok {
		s.cold.warmUp.MarkPossiblyCold(now, s.info.Position)
		s.cold.source = ColdUnreachable
		c.MarkVersionUncertain(now, serverID)
	}
}

// RecordDenial records that a request was not granted at a server and may be granted after retryIn.
func (c *Core) RecordDenial(now time.Time, serverID string, requirements Requirements, retryIn time.Duration) {
	if s, ok := c.servers[serverID]; ok {
		_, isBrittle := c.Brittleness(now, s.info.Service)
		if isBrittle {
			c.stateOf(now, s.info.Start())
		}
		s.admissionState.RecordDenial(now, retryIn, requirements.kind(), isBrittle)
		s.cold.warmUp.RecordDenial(now, retryIn)
		s.cold.retryAt = now.Add(retryIn)
	}
}

// ColdPhase returns the server's warm-up phase and its service.
func (c *Core) ColdPhase(now time.Time, serverID string) (phase admission.Phase, service string) {
	s, ok := c.servers[serverID]
	if !ok {
		return admission.Warm, ""
	}
	return s.coldPhase(now), s.info.Service
}

// ColdRemaining returns how much longer the server is cold; known is false where that was never
// reported.
func (c *Core) ColdRemaining(now time.Time, serverID string) (left time.Duration, known bool) {
	s, ok := c.servers[serverID]
	if !ok {
		return 0, false
	}
	return s.cold.warmUp.ColdRemaining(now, s.cold.limit.Time)
}

// HasEntry reports whether the server has an entry.
func (c *Core) HasEntry(serverID string) bool {
	_, ok := c.servers[serverID]
	return ok
}

// CountCold returns the number of cold servers.
func (c *Core) CountCold(now time.Time) int {
	count := 0
	for _, s := range c.servers {
		if s.coldPhase(now) == admission.Cold {
			count++
		}
	}
	return count
}

// ColdChange is a server's transition from warm to cold or back.
type ColdChange struct {
	ServerID  string
	Zone      string
	IsCold    bool
	Remaining time.Duration
	Source    ColdSource
}

// ColdChanges returns the servers that turned cold or warm since the last call. If there are any,
// it wakes waiting requests, since a server that turned warm may serve them.
func (c *Core) ColdChanges(now time.Time) []ColdChange {
	var changes []ColdChange
	for id, s := range c.servers {
		phase := s.coldPhase(now)
		if (phase == admission.Cold) == (s.cold.loggedPhase == admission.Cold) {
			continue
		}
		s.cold.loggedPhase = phase
		left, known := s.cold.warmUp.ColdRemaining(now, s.cold.limit.Time)
		change := ColdChange{ServerID: id, Zone: s.info.Zone, IsCold: phase == admission.Cold, Remaining: left, Source: s.cold.source}
		if !change.IsCold && !known {
			change.Source = ColdElapsed
		}
		changes = append(changes, change)
	}
	if len(changes) > 0 {
		c.notify()
	}
	return changes
}

// HasOnlyColdServers reports whether the requirements are met by at least one available server, and
// all such servers are cold or were until a moment ago.
func (c *Core) HasOnlyColdServers(now time.Time, requirements Requirements) bool {
	found := false
	for _, s := range c.serversFor(requirements.Service, requirements.Model) {
		if !c.mayServe(now, s, requirements) || !s.canServe(now, requirements) {
			continue
		}
		if s.coldPhase(now) == admission.Warm {
			return false
		}
		found = true
	}
	return found
}

// maxColdWait is the longest wait for a cold server before loading another copy would serve the
// request sooner. A coordinator that grants requests at all announces waits of 1.2 s at most.
const maxColdWait = 1500 * time.Millisecond

// WaitingForCopies returns how many waiting requests of a count another copy would serve. Requests
// that wait briefly for cold servers don't count: loading a copy takes longer than the servers stay
// cold, and evicts models that other requests need.
func (c *Core) WaitingForCopies(now time.Time, count DemandCount) int {
	if count.Waiting == 0 || !c.HasOnlyColdServers(now, count.Requirements) {
		return count.Waiting
	}
	if left, known := c.ReadyIn(now, count.Requirements); known && left > maxColdWait {
		return count.Waiting
	}
	return 0
}

func (s *server) coldPhase(now time.Time) admission.Phase {
	if !s.cold.limit.IsLimited() {
		return admission.Warm
	}
	return s.cold.warmUp.Phase(now, s.cold.limit.Time)
}

// isWarmUpLimited reports whether nothing is sent to the server for now because it is cold.
func (s *server) isWarmUpLimited(now time.Time) bool {
	return s.cold.limit.IsLimited() && s.cold.warmUp.RetryAfter(now, s.cold.limit.Time) > 0
}

// acceptsRequests reports whether a request may be sent to the server now, by the limits that it
// announced and by its warm-up.
func (s *server) acceptsRequests(now time.Time, requirements Requirements) bool {
	return s.admissionState.Check(now, requirements.kind()).Admits() && !s.isWarmUpLimited(now)
}

// availableIn returns the time until a request may be sent to a server that meets the requirements
// but is paused: it is cold, a request was denied there, or a single probe request is finding out
// whether it takes work. ok is false for any other server.
func (s *server) availableIn(now time.Time, requirements Requirements) (left time.Duration, ok bool) {
	decision, isWarmUpLimited := s.admissionState.Check(now, requirements.kind()), s.isWarmUpLimited(now)
	if decision.Admits() && !isWarmUpLimited || !s.canServe(now, requirements) {
		return 0, false
	}
	if isWarmUpLimited {
		left = max(s.cold.warmUp.RetryAfter(now, s.cold.limit.Time), s.cold.retryAt.Sub(now))
	}
	return max(left, decision.RetryAfter), true
}

// canServe reports whether the server can serve requests with these requirements.
func (s *server) canServe(now time.Time, requirements Requirements) bool {
	return requirements.Model == "" || s.hasUsableModel(now, requirements.Model, requirements.Adapter)
}
