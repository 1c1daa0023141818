package placer

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// SetEvacuated marks the servers in the zones as unavailable, and all others as available again.
// An unavailable server gets no orders and is not asked for reports. It keeps its models, but
// they do not count as copies, so models that have no other copy are loaded elsewhere.
func (c *Core) SetEvacuated(now time.Time, zones []string) {
	if slices.Equal(zones, c.evacuatedZones) {
		return
	}
	c.evacuatedZones = slices.Clone(zones)
	for _, s := range c.servers {
		c.updateAvailability(now, s)
	}
	c.effects.ViewsChanged = true
}

// SetUnavailable does the same for single server starts that announced that they shut down or
// want no requests for a while, and makes those that are no longer listed available again.
func (c *Core) SetUnavailable(now time.Time, starts []inventory.Start) {
	if len(starts) == 0 && len(c.unavailable) == 0 {
		return
	}
	unavailable := make(map[inventory.Start]bool, len(starts))
	for _, start := range starts {
		unavailable[start] = true
	}
	previous := c.unavailable
	c.unavailable = unavailable
	for _, changed := range []map[inventory.Start]bool{previous, unavailable} {
		for start := range changed {
			if s, ok := c.servers[start.ID]; ok && c.updateAvailability(now, s) {
				c.effects.ViewsChanged = true
			}
		}
	}
}

// setAvailability sets whether the server is unavailable, by its zone or by its own announcement.
func (c *Core) setAvailability(s *server) {
	s.isUnavailable = c.unavailable[s.info.Start()] || slices.Contains(c.evacuatedZones, s.info.Zone)
}

// updateAvailability recomputes the availability of a known server, and reports whether it
// changed.
func (c *Core) updateAvailability(now time.Time, s *server) (changed bool) {
	wasUnavailable := s.isUnavailable
	c.setAvailability(s)
	if s.isUnavailable == wasUnavailable {
		return false
	}
	s.reservation = reservation{}
	if !s.isUnavailable {
		// The last report may be from before the server became unavailable.
		s.scheduleReport(now)
	}
	return true
}

// isSchedulable reports whether the server is neither draining nor unavailable.
func (s *server) isSchedulable() bool { return !s.info.Draining && !s.isUnavailable }

// finishUnavailableLoad ends the load on an unavailable server once its store entry lists the
// model, because no report is requested from it. A load that seemed to continue would use up a
// place among the concurrent loads.
func (s *server) finishUnavailableLoad() {
	if !s.isUnavailable || s.loading == nil || s.pendingOrder != nil {
		return
	}
	for _, model := range s.info.Models {
		if model.Name == s.loading.model {
			s.loading, s.busy, s.synced = nil, false, false
			return
		}
	}
}

// ZoneOf returns the zone of a server, or an empty string if the server is unknown.
func (c *Core) ZoneOf(serverID string) string {
	s, ok := c.servers[serverID]
	if !ok {
		return ""
	}
	return s.info.Zone
}

// isDisplaced reports whether the model has copies on unavailable servers only, and is requested
// so often that a request is likely to wait for it before it is loaded elsewhere.
func (r *planRound) isDisplaced(shortage modelShortage) bool {
	return r.placementOf(shortage.model.Name).unavailableCopies > 0 && shortage.rate*shortage.model.Load.Seconds() >= 1
}
