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

// MayStillSend reports whether an attempt may still be sent to its server now, within the regions:
// the same start of the server must still be known, available and not backing off.
func (c *Core) MayStillSend(now time.Time, attempt *Attempt, regions locality.Regions) bool {
	known, ok := c.servers[attempt.start.ID]
	return ok && known == attempt.server && known.isAvailable() && known.admissionState.CheckInternalCall(now).Admits() && c.isInRegions(known, regions)
}

// HasServer reports whether some server of the service in the regions takes work.
func (c *Core) HasServer(service string, regions locality.Regions) bool {
	for _, s := range c.byService[service] {
		if s.isAvailable() && c.isInRegions(s, regions) {
			return true
		}
	}
	return false
}
