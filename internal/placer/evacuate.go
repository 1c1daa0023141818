package placer

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// SetEvacuated closes the servers in the zones and opens all others. A closed server
// gets no order and is not asked for its report; what it holds stays there and counts
// as no copy, so that what stood nowhere else is loaded elsewhere.
func (c *Core) SetEvacuated(now time.Time, zones []string) {
	if slices.Equal(zones, c.evacuated) {
		return
	}
	c.evacuated = slices.Clone(zones)
	for _, s := range c.servers {
		c.closeOrOpen(now, s)
	}
	c.effects.ViewsChanged = true
}

// SetUnavailable closes the servers that said that they leave, or that they want nothing for a while,
// likewise, and opens those that are not among them any more.
func (c *Core) SetUnavailable(now time.Time, starts []inventory.Start) {
	if len(starts) == 0 && len(c.away) == 0 {
		return
	}
	away := make(map[inventory.Start]bool, len(starts))
	for _, start := range starts {
		away[start] = true
	}
	before := c.away
	c.away = away
	for _, changed := range []map[inventory.Start]bool{before, away} {
		for start := range changed {
			if s, ok := c.servers[start.ID]; ok && c.closeOrOpen(now, s) {
				c.effects.ViewsChanged = true
			}
		}
	}
}

// close notes whether the server's zone is evacuated, or the server is away.
func (c *Core) close(s *server) {
	s.isClosed = c.away[s.info.Start()] || slices.Contains(c.evacuated, s.info.Zone)
}

// closeOrOpen does that for a server which may be known as another; it reports whether it was.
func (c *Core) closeOrOpen(now time.Time, s *server) (changed bool) {
	was := s.isClosed
	c.close(s)
	if s.isClosed == was {
		return false
	}
	s.intent = intent{}
	if !s.isClosed {
		// Its report may be as old as what closed it.
		s.askReport(now)
	}
	return true
}

// takesOrders reports whether the server stays, and neither its zone nor its own word closes it.
func (s *server) takesOrders() bool { return !s.info.Draining && !s.isClosed }

// endClosedLoad ends a load at a closed server by the server's own entry, since its
// report is not asked for: a load that seemed to go on would take the place of one
// elsewhere.
func (s *server) endClosedLoad() {
	if !s.isClosed || s.loading == nil || s.ordering != nil {
		return
	}
	for _, model := range s.info.Models {
		if model.Name == s.loading.model {
			s.loading, s.busy, s.synced = nil, false, false
			return
		}
	}
}

// ZoneOf is the zone of a server; empty where it is not known.
func (c *Core) ZoneOf(serverID string) string {
	known, ok := c.servers[serverID]
	if !ok {
		return ""
	}
	return known.info.Zone
}

// isDisplaced reports whether the model stands in evacuated zones alone and is asked
// for so often that somebody will wait for it before it is loaded elsewhere.
func (r *round) isDisplaced(wanted want) bool {
	return r.placementOf(wanted.model.Name).closed > 0 && wanted.rate*wanted.model.Load.Seconds() >= 1
}
