package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// rateLimitedCost is added to the cost of a server with a rate limit: other servers are
	// preferred as long as they serve within the tightest latency objectives.
	rateLimitedCost = 200 * time.Millisecond
	// rateLimitProbeAge is the age of a limit from which this cost is left out: unless a request is
	// sent to the server, no node learns that the limit has ended.
	rateLimitProbeAge = 2 * time.Second
	// rateLimitMaxAge is how long a limit that is no longer reported counts for model placement.
	rateLimitMaxAge = 10 * time.Second
	// minRateShare is the requests per second, as a share of its slots, that a server has to accept
	// for its models to count as copies.
	minRateShare = 0.5
)

// everRateLimited reports whether the start ever announced a rate limit.
func (c *Core) everRateLimited(start inventory.Start) bool {
	limit := c.admissionOf(start).Limit()
	return limit.HasBeenSet()
}

// RateLimit returns the rate limit of a server's start as this node knows it; ok is false if there
// is none.
func (c *Core) RateLimit(start inventory.Start) (limit admission.RateLimit, ok bool) {
	state := c.admissionOf(start)
	return state.Limit(), state.IsRateLimited()
}

// HasRateLimits reports whether any server announced a rate limit.
func (c *Core) HasRateLimits() bool {
	for _, state := range c.starts {
		if state.admissionState.IsRateLimited() {
			return true
		}
	}
	return false
}

// rateLimitCost is the part of the server's cost that is due to its rate limit.
func (s *server) rateLimitCost(now time.Time) time.Duration {
	if !s.admissionState.IsRateLimited() || s.admissionState.Limit().Age(now) > rateLimitProbeAge {
		return 0
	}
	return rateLimitedCost
}

// hasLowRateLimit reports whether a server accepts far fewer requests than it has slots for.
func (c *Core) hasLowRateLimit(now time.Time, state *startState) bool {
	limit := state.admissionState.Limit()
	perSecond, ok := limit.PerSecond()
	if !ok || limit.Age(now) > rateLimitMaxAge || !c.isListed(state.start) {
		return false
	}
	return perSecond < minRateShare*float64(c.servers[state.start.ID].info.Slots)
}

// HasOnlyRateLimitedServers reports whether the requirements are met by at least one available
// server, and all such servers announced a rate limit.
func (c *Core) HasOnlyRateLimitedServers(now time.Time, requirements Requirements) bool {
	found := false
	for _, s := range c.serversFor(requirements.Service, requirements.Model) {
		if !c.mayServe(now, s, requirements) || !s.canServe(now, requirements) {
			continue
		}
		if !s.admissionState.IsRateLimited() {
			return false
		}
		found = true
	}
	return found
}
