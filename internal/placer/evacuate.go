package placer

import (
	"slices"
	"time"
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
		isClosed := slices.Contains(zones, s.info.Zone)
		if s.isClosed == isClosed {
			continue
		}
		s.isClosed = isClosed
		s.intent = intent{}
		if !isClosed {
			// Its report may be as old as the evacuation.
			s.askReport(now)
		}
	}
	c.effects.Changed = true
}

// takesOrders reports whether the server stays and its zone is not evacuated.
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
