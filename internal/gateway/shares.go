package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/spec"
)

// shares keeps each route's limits by this node's share of them: the limit
// divided by the usable nodes. No node asks another; callers that go to few
// nodes get less than the limit.
type shares struct {
	nodes   int
	byRoute map[string]*share
}

type share struct {
	running int
	tokens  float64
	filled  time.Time
}

func newShares() *shares {
	return &shares{nodes: 1, byRoute: make(map[string]*share)}
}

func (s *shares) setNodes(nodes int) {
	s.nodes = max(1, nodes)
}

// take counts a request in, or refuses it.
func (s *shares) take(now time.Time, route string, limits spec.Limits) *failure {
	known, found := s.byRoute[route]
	if !found {
		known = &share{tokens: s.burst(limits), filled: now}
		s.byRoute[route] = known
	}
	if limits.Concurrency > 0 && known.running >= max(1, limits.Concurrency/s.nodes) {
		refused := refuse(http.StatusTooManyRequests, codeConcurrency, "too many requests of this route are running").after(time.Second)
		return &refused
	}
	if limits.RequestsPerSecond > 0 {
		rate := limits.RequestsPerSecond / float64(s.nodes)
		known.tokens = min(s.burst(limits), known.tokens+rate*now.Sub(known.filled).Seconds())
		known.filled = now
		if known.tokens < 1 {
			wait := time.Duration((1 - known.tokens) / rate * float64(time.Second))
			refused := refuse(http.StatusTooManyRequests, codeRateLimited, "too many requests of this route a second").after(wait)
			return &refused
		}
		known.tokens--
	}
	known.running++
	return nil
}

// burst is one second's worth of requests, at least one.
func (s *shares) burst(limits spec.Limits) float64 {
	return math.Max(1, limits.RequestsPerSecond/float64(s.nodes))
}

// done counts a request out.
func (s *shares) done(route string) {
	if known, found := s.byRoute[route]; found && known.running > 0 {
		known.running--
	}
}
