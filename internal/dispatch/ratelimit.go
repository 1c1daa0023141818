package dispatch

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// rateLimit is the rate limit that one start of a server names, and what this node was told when it
// asked for a grant of it.
type rateLimit struct {
	admission.RateLimit
	// closedUntil is until when the server is left alone, as a request was not granted, and foretold
	// when one may be.
	closedUntil, foretold time.Time
	// toldAt is when the limit was heard as it was news last.
	toldAt time.Time
}

const (
	// limitedCost is added for a server that names a rate limit: others go first while they serve
	// within what the tightest objectives leave.
	limitedCost = 200 * time.Millisecond
	// limitProbeAge is the age from which on that cost is left out: unless something is sent there
	// nobody hears that the limit has ended.
	limitProbeAge = 2 * time.Second
	// limitAge is for how long a limit that nobody hears any more counts for those who place models.
	limitAge = 10 * time.Second
	// limitRenewal is by how much later a limit has to be heard to be news though it is the same.
	limitRenewal = 2 * time.Second
	// limitedShare of its slots is what a server takes in a second at the least for what it holds to
	// count as a copy.
	limitedShare = 0.5
	// shortestLimitPause and longestLimitPause bound for how long a limited server is left alone
	// that did not grant a request.
	shortestLimitPause = 10 * time.Millisecond
	longestLimitPause  = 250 * time.Millisecond
)

// namedLimit reports whether the start ever named a rate limit.
func (c *Core) namedLimit(start inventory.Start) bool {
	told, ok := c.words[start]
	return ok && told.rate.IsKnown()
}

// HearOfLimit takes what a peer says that one start of a server told it of its rate limit, which is
// for all nodes together.
func (c *Core) HearOfLimit(now time.Time, start inventory.Start, limit admission.Observation) (news bool) {
	if !limit.Limit.IsNamed() && !c.namedLimit(start) {
		return false
	}
	told := c.wordsOf(now, start)
	if !c.observe(told, limit) {
		return false
	}
	if !limit.Limit.IsNamed() {
		// What was long under way may look newer than it is: one request shows whether the limit
		// has ended.
		told.isProving, told.proof = true, nil
	}
	return true
}

// observe takes what an answer said of the rate limit. It is news where the limit changed, or was
// heard last long ago: others let go of one that nobody hears any more.
func (c *Core) observe(told *words, observed admission.Observation) (news bool) {
	if told.rate.Observe(observed) {
		told.rate.closedUntil, told.rate.foretold = time.Time{}, time.Time{}
		told.rate.toldAt = observed.HeardAt
		c.notify()
		return true
	}
	if !observed.Limit.IsNamed() || observed.HeardAt.Sub(told.rate.toldAt) <= limitRenewal {
		return false
	}
	told.rate.toldAt = observed.HeardAt
	return true
}

// RateLimit is the rate limit of a server's start as this node knows it; ok is false where it names
// none.
func (c *Core) RateLimit(start inventory.Start) (limit admission.RateLimit, ok bool) {
	told, known := c.words[start]
	if !known {
		return limit, false
	}
	_, ok = told.rate.PerSecond()
	return told.rate.RateLimit, ok
}

// HasRateLimits reports whether some server names a rate limit.
func (c *Core) HasRateLimits() bool {
	for _, told := range c.words {
		if _, ok := told.rate.PerSecond(); ok {
			return true
		}
	}
	return false
}

// holdRate leaves a limited server alone that did not grant a request.
func (s *server) holdRate(now time.Time, retryIn time.Duration) {
	if s.isRateLimited() {
		s.words.rate.closedUntil = now.Add(min(max(retryIn, shortestLimitPause), longestLimitPause))
		s.words.rate.foretold = now.Add(retryIn)
	}
}

func (s *server) isRateLimited() bool {
	if s.words == nil {
		return false
	}
	_, ok := s.words.rate.PerSecond()
	return ok
}

// isRateHeld reports whether the server is left alone for now, as it names a rate limit.
func (s *server) isRateHeld(now time.Time) bool {
	return s.isRateLimited() && now.Before(s.words.rate.closedUntil)
}

// rateCost is what a rate limit adds to the cost of the server.
func (s *server) rateCost(now time.Time) time.Duration {
	if !s.isRateLimited() || s.words.rate.Age(now) > limitProbeAge {
		return 0
	}
	return limitedCost
}

// isShortOfRate reports whether a server takes far less than it has slots for.
func (c *Core) isShortOfRate(now time.Time, told *words) bool {
	perSecond, ok := told.rate.PerSecond()
	if !ok || told.rate.Age(now) > limitAge || !c.isListed(told.start) {
		return false
	}
	return perSecond < limitedShare*float64(c.servers[told.start.ID].info.Slots)
}

// IsHeldByRate reports whether what is wanted stands on servers that take work, all of which name a
// rate limit.
func (c *Core) IsHeldByRate(now time.Time, wanted Wanted) bool {
	found := false
	for _, s := range c.listed(wanted.Service, wanted.Model) {
		if s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions) || !s.offers(now, wanted) {
			continue
		}
		if !s.isRateLimited() {
			return false
		}
		found = true
	}
	return found
}
