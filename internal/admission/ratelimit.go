package admission

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Observation is what one response of a server said about its rate limit.
type Observation struct {
	Limit inventory.RateLimit
	// SentAt is when the request was sent, and ReceivedAt when the head of its response arrived.
	// The server decided on the limit between the two.
	SentAt, ReceivedAt time.Time
}

// RateLimit is the rate limit of one start of a server, as one node knows it. The zero value is a
// server that never announced one.
//
// Responses arrive out of order and by way of other nodes. A lower rate therefore takes effect as
// soon as it is received. A higher rate, or no limit, is accepted only from the response to a
// request that was sent after the limit was last received.
type RateLimit struct {
	limit inventory.RateLimit
	// lastSetAt is when a response last announced this limit, or a lower one.
	lastSetAt time.Time
	// raiseSentAt is when the request was sent whose response last raised or ended the limit.
	// Anything received before that is older.
	raiseSentAt time.Time
	// latestSentAt is when the latest request was sent whose response announced the limit in force.
	latestSentAt time.Time
}

// Observe applies what a response said, and reports whether the limit changed.
func (r *RateLimit) Observe(observation Observation) (changed bool) {
	if observation.Limit.Kind == inventory.RateLimitUnknown || !r.isNewer(observation) {
		return false
	}
	previous := r.limit
	isRaise := rateOf(observation.Limit) > rateOf(previous)
	r.limit = observation.Limit
	switch {
	case isRaise:
		r.raiseSentAt, r.latestSentAt = observation.SentAt, observation.SentAt
	case !observation.Limit.IsSet():
		r.raiseSentAt = later(r.raiseSentAt, observation.SentAt)
		r.latestSentAt = r.raiseSentAt
	case observation.Limit != previous:
		r.latestSentAt = observation.SentAt
	default:
		r.latestSentAt = later(r.latestSentAt, observation.SentAt)
	}
	if observation.Limit.IsSet() {
		r.lastSetAt = later(r.lastSetAt, observation.ReceivedAt)
	}
	return rateOf(observation.Limit) != rateOf(previous)
}

// isNewer reports whether the observation may be newer than the known limit. In doubt the lower
// rate wins: a higher one has to be newer for certain.
func (r *RateLimit) isNewer(observation Observation) bool {
	if rateOf(observation.Limit) > rateOf(r.limit) {
		return observation.SentAt.After(r.lastSetAt)
	}
	return observation.ReceivedAt.After(r.raiseSentAt)
}

// rateOf returns a rate by which limits are ordered: no limit is the highest.
func rateOf(limit inventory.RateLimit) float64 {
	if !limit.IsSet() {
		return math.Inf(1)
	}
	return limit.PerSecond
}

// PerSecond returns the rate in force; ok is false if there is none.
func (r RateLimit) PerSecond() (rate float64, ok bool) { return r.limit.PerSecond, r.limit.IsSet() }

// Age returns the time since the limit was last received.
func (r RateLimit) Age(now time.Time) time.Duration { return now.Sub(r.lastSetAt) }

// HasBeenSet reports whether the server ever announced a limit.
func (r RateLimit) HasBeenSet() bool { return !r.lastSetAt.IsZero() }

// Latest returns the limit in force as an observation, to send to other nodes.
func (r RateLimit) Latest() Observation {
	return Observation{Limit: r.limit, SentAt: r.latestSentAt, ReceivedAt: r.lastSetAt}
}

const (
	// rateLimitWindow is the time over which the requests to a rate-limited server are bounded.
	// rateLimitOverage and rateLimitSlack say by how much they may exceed the limit within such a
	// window.
	rateLimitWindow  = 4 * time.Second
	rateLimitOverage = 1.5
	rateLimitSlack   = 5

	// probeRate is the lowest rate that is granted, in requests per second: only a response can
	// tell that a limit has ended.
	probeRate = 0.25
	// rateLimitBurst is the number of grants at once for a server with a rate of 0. Each request
	// per second adds one, up to maxBurst, with which a coordinator that hears from the smallest
	// permitted part of the fleet can grant one.
	rateLimitBurst = 3
	// rateLimitBurstShare of the rate is the burst if that is more.
	rateLimitBurstShare = 0.25
)

// RateLimitBound bounds what a server that announces a rate limit may receive from all nodes
// together.
type RateLimitBound struct {
	// PerSecond is the limit, in requests per second.
	PerSecond float64
}

// MaxRequests returns the number of requests that the server may receive in any window.
func (b RateLimitBound) MaxRequests() float64 {
	return rateLimitOverage*b.PerSecond*rateLimitWindow.Seconds() + rateLimitSlack
}

// Quota returns what a coordinator grants: the limit itself, so that the overage and the slack
// remain for faults.
func (b RateLimitBound) Quota() routetable.Quota {
	burst := rateLimitBurst + min(b.PerSecond, maxBurst-rateLimitBurst)
	return routetable.Quota{
		PerSecond: max(b.PerSecond, probeRate),
		Burst:     max(burst, rateLimitBurstShare*b.PerSecond),
	}
}

// RateLimitTolerance returns the tolerance of the coordinator for rate-limited servers: it grants
// nothing beyond Quota.
func RateLimitTolerance() quota.Tolerance {
	return quota.Tolerance{Window: rateLimitWindow + GrantLifetime, StrictRate: true}
}

// NewRateLimitFallback returns the allowance for rate-limited servers of the node with that
// address.
func NewRateLimitFallback(node string) *FallbackAllowance {
	return newFallbackAllowance(node, rateLimitWindow+GrantLifetime)
}
