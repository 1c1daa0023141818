package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// distanceCosts are added to a server's cost by its distance: the round-trip time, and the price of
// the transferred bytes expressed as time.
var distanceCosts = [locality.DistanceCount]time.Duration{
	locality.SameZone:    0,
	locality.SameRegion:  3 * time.Millisecond,
	locality.OtherRegion: 16 * time.Millisecond,
}

func (c *Core) distanceCost(s *server) time.Duration {
	return distanceCosts[c.topology.Distance(c.zone, s.info.Zone)]
}

// isInRegions reports whether the server is in one of the regions. It is the only region filter:
// selection, retries, resumed streams and the estimates for waiting requests all use it.
func (c *Core) isInRegions(s *server, regions locality.Regions) bool {
	return !regions.IsBounded() || regions.Allows(c.topology.Region(s.info.Zone))
}

// MayStillSend reports whether an attempt may still be sent to its server now: the same start of the
// server must still be known, not backing off, and one that may serve the requirements.
func (c *Core) MayStillSend(now time.Time, attempt *Attempt, requirements Requirements) bool {
	known, ok := c.servers[attempt.start.ID]
	return ok && known == attempt.server && known.admissionState.CheckInternalCall(now).Admits() && c.mayServe(now, known, requirements)
}

// HasServer reports whether some server takes work with these requirements, whatever it holds.
func (c *Core) HasServer(now time.Time, requirements Requirements) bool {
	for _, s := range c.byService[requirements.Service] {
		if c.mayServe(now, s, requirements) {
			return true
		}
	}
	return false
}
