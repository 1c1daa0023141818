package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// coldCost is added for a server that is cold: one that is warm goes first unless its
// callers wait longer than that for a first byte, which is a part of the tightest
// objectives that callers of models have.
const coldCost = 60 * time.Millisecond

// coldness is what a node believes of one server's cold time.
type coldness struct {
	state admission.WarmUp
	// limit is that of the server's service.
	limit routetable.ColdStart
	// foretold is when a request may be granted that was not.
	foretold time.Time
	// by is what was last told, and noted the phase that was last logged.
	by    ColdSource
	noted admission.Phase
}

// ColdSource is where it is known from that a server is cold, or not.
type ColdSource string

const (
	// ColdFirstSeen servers were seen first, and nothing was told.
	ColdFirstSeen ColdSource = "first_seen"
	// ColdEntry is a server's entry, as the store or a peer tells it.
	ColdEntry ColdSource = "entry"
	// ColdResponse is a server's own answer.
	ColdResponse ColdSource = "answer"
	// ColdUnreachable servers could not be connected to.
	ColdUnreachable ColdSource = "unreachable"
	// ColdZone servers are of a zone that takes work again.
	ColdZone ColdSource = "zone"
	// ColdElapsed is the end of a cold time.
	ColdElapsed ColdSource = "elapsed"
)

// SetColdStarts takes the services whose cold servers bear less than warm ones.
func (c *Core) SetColdStarts(limits map[string]routetable.ColdStart) {
	c.coldStarts = limits
	for _, s := range c.servers {
		s.cold.limit = limits[s.info.Service]
	}
}

// UpdateColdFromEntry takes what a server's entry says, or that it says nothing.
func (c *Core) UpdateColdFromEntry(now time.Time, told inventory.Server) {
	s, ok := c.servers[told.ID]
	if !ok {
		return
	}
	s.cold.limit = c.coldStarts[s.info.Service]
	if told.ReportsCold {
		if s.cold.state.ApplyEntry(now, told.ColdRemaining, told.Position, s.cold.limit.Time) {
			s.cold.by = ColdEntry
		}
		return
	}
	if s.cold.by == "" {
		s.cold.by = ColdFirstSeen
	}
	s.cold.state.MarkSeen(now)
}

// UpdateColdFromResponse takes what a server's own answer says.
func (c *Core) UpdateColdFromResponse(now time.Time, serverID string, left time.Duration) {
	if s, ok := c.servers[serverID]; ok {
		s.cold.state.ApplyResponse(now, left, s.cold.limit.Time)
		s.cold.by = ColdResponse
	}
}

// MarkPossiblyCold takes that the servers of a zone may have turned cold, which entries up to
// the position do not say yet: as at the end of the zone's evacuation.
func (c *Core) MarkPossiblyCold(now time.Time, zone string, upTo storepos.Position) {
	for _, s := range c.servers {
		if s.info.Zone == zone {
			s.cold.state.MarkPossiblyCold(now, upTo)
			s.cold.by = ColdZone
		}
	}
}

// MarkUnreachable takes that no connection to the server comes up: it may have been away, and be
// cold once it is back. Its entry may not say so for a second.
func (c *Core) MarkUnreachable(now time.Time, serverID string) {
	if s, ok := c.servers[serverID]; ok {
		s.cold.state.MarkPossiblyCold(now, s.info.Position)
		s.cold.by = ColdUnreachable
	}
}

// RecordDenial takes that a request was not granted at a server, and may be after retryIn.
func (c *Core) RecordDenial(now time.Time, serverID string, retryIn time.Duration) {
	if s, ok := c.servers[serverID]; ok {
		s.bounds.RecordDenial(now, retryIn)
		s.cold.state.RecordDenial(now, retryIn)
		s.cold.foretold = now.Add(retryIn)
	}
}

// ColdPhase is how the server is to be treated, and its service.
func (c *Core) ColdPhase(now time.Time, serverID string) (phase admission.Phase, service string) {
	s, ok := c.servers[serverID]
	if !ok {
		return admission.Warm, ""
	}
	return s.coldPhase(now), s.info.Service
}

// ColdRemaining is for how long the server is cold yet, where that was told.
func (c *Core) ColdRemaining(now time.Time, serverID string) (left time.Duration, told bool) {
	s, ok := c.servers[serverID]
	if !ok {
		return 0, false
	}
	return s.cold.state.ColdRemaining(now, s.cold.limit.Time)
}

// HasEntry reports whether the server has an entry.
func (c *Core) HasEntry(serverID string) bool {
	_, ok := c.servers[serverID]
	return ok
}

// CountCold counts the servers that are cold.
func (c *Core) CountCold(now time.Time) int {
	count := 0
	for _, s := range c.servers {
		if s.coldPhase(now) == admission.Cold {
			count++
		}
	}
	return count
}

// ColdChange is a server that turned cold, or warm.
type ColdChange struct {
	ServerID  string
	Zone      string
	IsCold    bool
	Remaining time.Duration
	Source    ColdSource
}

// ColdChanges are the servers that turned cold or warm since it was asked last. Who waits
// for one that turned warm is to ask again.
func (c *Core) ColdChanges(now time.Time) []ColdChange {
	var changes []ColdChange
	for id, s := range c.servers {
		phase := s.coldPhase(now)
		if (phase == admission.Cold) == (s.cold.noted == admission.Cold) {
			continue
		}
		s.cold.noted = phase
		left, told := s.cold.state.ColdRemaining(now, s.cold.limit.Time)
		change := ColdChange{ServerID: id, Zone: s.info.Zone, IsCold: phase == admission.Cold, Remaining: left, Source: s.cold.by}
		if !change.IsCold && !told {
			change.Source = ColdElapsed
		}
		changes = append(changes, change)
	}
	if len(changes) > 0 {
		c.notify()
	}
	return changes
}

// HasOnlyColdServers reports whether what is wanted stands on servers that take work, all of
// which are cold or just were.
func (c *Core) HasOnlyColdServers(now time.Time, wanted Requirements) bool {
	found := false
	for _, s := range c.listed(wanted.Service, wanted.Model) {
		if s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions) || !s.offers(now, wanted) {
			continue
		}
		if s.coldPhase(now) == admission.Warm {
			return false
		}
		found = true
	}
	return found
}

// longestColdLine is how long a request stands in line for a cold server until another copy
// would serve it sooner: a coordinator foretells 1.2 s at the most where it grants at all.
const longestColdLine = 1500 * time.Millisecond

// WaitingForCopies are the requests of a count that one more copy would serve. Those that
// stand in line for a moment at cold servers are none: a load takes longer than they are
// cold, and drops what others ask for.
func (c *Core) WaitingForCopies(now time.Time, count DemandCount) int {
	if count.Waiting == 0 || !c.HasOnlyColdServers(now, count.Requirements) {
		return count.Waiting
	}
	if left, known := c.ReadyIn(now, count.Requirements); known && left > longestColdLine {
		return count.Waiting
	}
	return 0
}

func (s *server) coldPhase(now time.Time) admission.Phase {
	if !s.cold.limit.IsLimited() {
		return admission.Warm
	}
	return s.cold.state.Phase(now, s.cold.limit.Time)
}

// isHeldBack reports whether the server is left alone for now, as it is cold.
func (s *server) isHeldBack(now time.Time) bool {
	return s.cold.limit.IsLimited() && s.cold.state.RetryAfter(now, s.cold.limit.Time) > 0
}

// mayTake reports whether a request may go to the server now, by what the server told and by its
// warm-up.
func (s *server) mayTake(now time.Time) bool {
	return s.bounds.Check(now).Admits() && !s.isHeldBack(now)
}

// opensIn is when a request may go to a server that holds what is wanted, and that is left alone for a
// moment: as it is cold, did not grant a request, or answers one that shows whether it takes work.
func (s *server) opensIn(now time.Time, wanted Requirements) (left time.Duration, ok bool) {
	decision, isHeldBack := s.bounds.Check(now), s.isHeldBack(now)
	if decision.Admits() && !isHeldBack || !s.offers(now, wanted) {
		return 0, false
	}
	if isHeldBack {
		left = max(s.cold.state.RetryAfter(now, s.cold.limit.Time), s.cold.foretold.Sub(now))
	}
	return max(left, decision.RetryAfter), true
}

// offers reports whether the server can serve what is wanted.
func (s *server) offers(now time.Time, wanted Requirements) bool {
	return wanted.Model == "" || s.holds(now, wanted.Model, wanted.Adapter)
}
