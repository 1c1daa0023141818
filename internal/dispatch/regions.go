package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// wayCosts are added for a server by how far it is: the time of the way there and back,
// and what its bytes are priced at.
var wayCosts = [locality.DistanceCount]time.Duration{
	locality.SameZone:    0,
	locality.SameRegion:  3 * time.Millisecond,
	locality.OtherRegion: 16 * time.Millisecond,
}

func (c *Core) wayCost(s *server) time.Duration {
	return wayCosts[c.places.Distance(c.zone, s.info.Zone)]
}

// isIn reports whether the server stands in one of the regions: the one filter by which
// picks, retries, resumed streams and what is foretold to waiting requests go.
func (c *Core) isIn(s *server, regions locality.Regions) bool {
	return !regions.IsBounded() || regions.Allows(c.places.Region(s.info.Zone))
}

// MayStillSend reports whether a request that was to go to a server, and that may run in the
// regions, may still go there now: to the same start of it, which stays and does not rest.
func (c *Core) MayStillSend(now time.Time, flight *Attempt, regions locality.Regions) bool {
	known, ok := c.servers[flight.start.ID]
	return ok && known == flight.server && known.takesWork() && known.bounds.CheckInternalCall(now).Admits() && c.isIn(known, regions)
}

// HasServer reports whether some server of the service in the regions takes work.
func (c *Core) HasServer(service string, regions locality.Regions) bool {
	for _, s := range c.byService[service] {
		if s.takesWork() && c.isIn(s, regions) {
			return true
		}
	}
	return false
}
