package admission

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Observation is what one answer of a server said of its rate limit.
type Observation struct {
	Limit inventory.RateLimit
	// SentAt is when the request left that was answered, and ReceivedAt when the answer's head came:
	// the server said it between the two.
	SentAt, ReceivedAt time.Time
}

// RateLimit is the rate limit of one start of a server, as one node knows it. The zero value is a
// server that never named one.
//
// Answers come out of order and by way of other nodes. A lower rate counts from when it is heard; a
// higher one, and none, only from an answer to a request that left after the limit was last heard.
type RateLimit struct {
	limit inventory.RateLimit
	// namedAt is when an answer last named it, or a limit below it.
	namedAt time.Time
	// raisedFrom is when the request left whose answer last raised the limit, or ended it: what was
	// heard before that is older.
	raisedFrom time.Time
	// saidFrom is when the last request left whose answer told the limit in force.
	saidFrom time.Time
}

// Observe takes what an answer said, and reports whether the limit changed.
func (r *RateLimit) Observe(told Observation) (changed bool) {
	if told.Limit.Kind == inventory.RateLimitUnknown || !r.isNewer(told) {
		return false
	}
	before := r.limit
	isRaise := rateOf(told.Limit) > rateOf(before)
	r.limit = told.Limit
	switch {
	case isRaise:
		r.raisedFrom, r.saidFrom = told.SentAt, told.SentAt
	case !told.Limit.IsSet():
		r.raisedFrom = later(r.raisedFrom, told.SentAt)
		r.saidFrom = r.raisedFrom
	case told.Limit != before:
		r.saidFrom = told.SentAt
	default:
		r.saidFrom = later(r.saidFrom, told.SentAt)
	}
	if told.Limit.IsSet() {
		r.namedAt = later(r.namedAt, told.ReceivedAt)
	}
	return rateOf(told.Limit) != rateOf(before)
}

// isNewer reports whether what was told may be later than what is known, on the side of less: a
// higher rate has to be later for certain.
func (r *RateLimit) isNewer(told Observation) bool {
	if rateOf(told.Limit) > rateOf(r.limit) {
		return told.SentAt.After(r.namedAt)
	}
	return told.ReceivedAt.After(r.raisedFrom)
}

// rateOf orders limits: none is the highest.
func rateOf(limit inventory.RateLimit) float64 {
	if !limit.IsSet() {
		return math.Inf(1)
	}
	return limit.PerSecond
}

// PerSecond is the rate in force; ok is false where there is none.
func (r RateLimit) PerSecond() (rate float64, ok bool) { return r.limit.PerSecond, r.limit.IsSet() }

// Age is the time since the limit was last heard.
func (r RateLimit) Age(now time.Time) time.Duration { return now.Sub(r.namedAt) }

// HasBeenSet reports whether the server ever named a limit.
func (r RateLimit) HasBeenSet() bool { return !r.namedAt.IsZero() }

// Latest is the limit in force as an observation, for other nodes.
func (r RateLimit) Latest() Observation {
	return Observation{Limit: r.limit, SentAt: r.saidFrom, ReceivedAt: r.namedAt}
}

const (
	// rateLimitWindow is the time over which what a limited server receives is bounded, and
	// rateLimitOverage and rateLimitSlack by how much it may pass the limit in such a window.
	rateLimitWindow  = 4 * time.Second
	rateLimitOverage = 1.5
	rateLimitSlack   = 5

	// probeRate is the least rate that is granted, in requests a second: only an answer can tell
	// that a limit has ended.
	probeRate = 0.25
	// rateLimitBurst are the grants that may come at once at a server without a rate; one for each
	// request a second come on top, up to as many as let a coordinator that hears from the least
	// part of the fleet grant one.
	rateLimitBurst = 3
	// rateLimitBurstShare of the rate is the burst where that is more.
	rateLimitBurstShare = 0.25
)

// RateLimitBound is what a server that names a rate limit may receive from all nodes together.
type RateLimitBound struct {
	// PerSecond is the limit, in requests a second.
	PerSecond float64
}

// MaxRequests is the number of requests that the server may receive in any window.
func (b RateLimitBound) MaxRequests() float64 {
	return rateLimitOverage*b.PerSecond*rateLimitWindow.Seconds() + rateLimitSlack
}

// Quota is what a coordinator grants: the limit itself, so that the tolerance is left for faults.
func (b RateLimitBound) Quota() routetable.Quota {
	burst := rateLimitBurst + min(b.PerSecond, mostBurst-rateLimitBurst)
	return routetable.Quota{
		PerSecond: max(b.PerSecond, probeRate),
		Burst:     max(burst, rateLimitBurstShare*b.PerSecond),
	}
}

// RateLimitTolerance is that of a coordinator of limited servers: nothing is given beyond Quota.
func RateLimitTolerance() quota.Tolerance {
	return quota.Tolerance{Window: rateLimitWindow + GrantLifetime, StrictRate: true}
}

// NewRateLimitFallback returns the lots of the node with the address for limited servers.
func NewRateLimitFallback(node string) *FallbackAllowance {
	return newLots(node, rateLimitWindow+GrantLifetime)
}
