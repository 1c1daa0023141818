package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// limitedCost is added for a server that names a rate limit: others go first while they serve
	// within what the tightest objectives leave.
	limitedCost = 200 * time.Millisecond
	// limitProbeAge is the age from which on that cost is left out: unless something is sent there
	// nobody hears that the limit has ended.
	limitProbeAge = 2 * time.Second
	// limitAge is for how long a limit that nobody hears any more counts for those who place models.
	limitAge = 10 * time.Second
	// limitedShare of its slots is what a server takes in a second at the least for what it holds to
	// count as a copy.
	limitedShare = 0.5
)

// namedLimit reports whether the start ever named a rate limit.
func (c *Core) namedLimit(start inventory.Start) bool {
	limit := c.boundsOf(start).Limit()
	return limit.HasBeenSet()
}

// RateLimit is the rate limit of a server's start as this node knows it; ok is false where it names
// none.
func (c *Core) RateLimit(start inventory.Start) (limit admission.RateLimit, ok bool) {
	bounds := c.boundsOf(start)
	return bounds.Limit(), bounds.IsRateLimited()
}

// HasRateLimits reports whether some server names a rate limit.
func (c *Core) HasRateLimits() bool {
	for _, state := range c.starts {
		if state.bounds.IsRateLimited() {
			return true
		}
	}
	return false
}

// rateCost is what a rate limit adds to the cost of the server.
func (s *server) rateCost(now time.Time) time.Duration {
	if !s.bounds.IsRateLimited() || s.bounds.Limit().Age(now) > limitProbeAge {
		return 0
	}
	return limitedCost
}

// isShortOfRate reports whether a server takes far less than it has slots for.
func (c *Core) isShortOfRate(now time.Time, state *startState) bool {
	limit := state.bounds.Limit()
	perSecond, ok := limit.PerSecond()
	if !ok || limit.Age(now) > limitAge || !c.isListed(state.start) {
		return false
	}
	return perSecond < limitedShare*float64(c.servers[state.start.ID].info.Slots)
}

// HasOnlyRateLimitedServers reports whether what is wanted stands on servers that take work, all of which name a
// rate limit.
func (c *Core) HasOnlyRateLimitedServers(now time.Time, wanted Requirements) bool {
	found := false
	for _, s := range c.listed(wanted.Service, wanted.Model) {
		if s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions) || !s.offers(now, wanted) {
			continue
		}
		if !s.bounds.IsRateLimited() {
			return false
		}
		found = true
	}
	return found
}
