package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/spec"
)

// routeLimiter enforces this node's share of each route's limits: the limit divided
// by the number of usable nodes. Nodes do not coordinate, so callers that use only
// a few nodes get less than the limit.
type routeLimiter struct {
	nodes        int
	usageByRoute map[string]*routeUsage
}

type routeUsage struct {
	running    int
	tokens     float64
	refilledAt time.Time
}

func newRouteLimiter() *routeLimiter {
	return &routeLimiter{nodes: 1, usageByRoute: make(map[string]*routeUsage)}
}

func (s *routeLimiter) setNodes(nodes int) {
	s.nodes = max(1, nodes)
}

// admit counts a request against the route's limits, or refuses it.
func (s *routeLimiter) admit(now time.Time, route string, limits spec.Limits) *failure {
	usage, found := s.usageByRoute[route]
	if !found {
		usage = &routeUsage{tokens: s.burst(limits), refilledAt: now}
		s.usageByRoute[route] = usage
	}
	if limits.Concurrency > 0 && usage.running >= max(1, limits.Concurrency/s.nodes) {
		refused := newRefusal(http.StatusTooManyRequests, codeConcurrency, "too many requests of this route are running").withRetryAfter(time.Second)
		return &refused
	}
	if limits.RequestsPerSecond > 0 {
		rate := limits.RequestsPerSecond / float64(s.nodes)
		usage.tokens = min(s.burst(limits), usage.tokens+rate*now.Sub(usage.refilledAt).Seconds())
		usage.refilledAt = now
		if usage.tokens < 1 {
			wait := time.Duration((1 - usage.tokens) / rate * float64(time.Second))
			refused := newRefusal(http.StatusTooManyRequests, codeRateLimited, "too many requests of this route a second").withRetryAfter(wait)
			return &refused
		}
		usage.tokens--
	}
	usage.running++
	return nil
}

// burst is one second's worth of requests, at least one.
func (s *routeLimiter) burst(limits spec.Limits) float64 {
	return math.Max(1, limits.RequestsPerSecond/float64(s.nodes))
}

// release ends a request that admit counted.
func (s *routeLimiter) release(route string) {
	if usage, found := s.usageByRoute[route]; found && usage.running > 0 {
		usage.running--
	}
}
