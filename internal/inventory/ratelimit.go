package inventory

import (
	"math"
	"strconv"
	"strings"
)

// RateLimitKind is what a response says about its server's rate limit.
type RateLimitKind int

const (
	// RateLimitUnknown means that nothing is known: there was no response, or its rate limit cannot
	// be parsed.
	RateLimitUnknown RateLimitKind = iota
	// RateLimitNone means that the server announces no limit.
	RateLimitNone
	// RateLimitSet means that the server announces a limit.
	RateLimitSet
)

// RateLimit is the rate that a server accepts from all nodes together, as announced in one
// response. It is in force for as long as responses announce it.
type RateLimit struct {
	Kind RateLimitKind
	// PerSecond is the rate in requests per second, 0 or more. It is valid if Kind is RateLimitSet.
	PerSecond float64
}

// NewRateLimit returns a rate limit that a response announces.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{Kind: RateLimitSet, PerSecond: perSecond}
}

// IsSet reports whether the response announces a limit.
func (r RateLimit) IsSet() bool { return r.Kind == RateLimitSet }

// MaxRate caps the rate limit that a server may announce, in requests per second. A higher one
// limits nothing.
const MaxRate = 1e6

// ParseRateLimit parses the rate limit that a response announces; values are those of its header.
// The lowest of several counts. If none of them is a finite number of at least 0, the response says
// nothing about a limit, and the one in force stays.
func ParseRateLimit(values []string) RateLimit {
	if len(values) == 0 {
		return RateLimit{Kind: RateLimitNone}
	}
	var limit RateLimit
	for _, text := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !IsValidRate(perSecond) {
			continue
		}
		if !limit.IsSet() || perSecond < limit.PerSecond {
			limit = NewRateLimit(min(perSecond, MaxRate))
		}
	}
	return limit
}

// IsValidRate reports whether the number is a rate: finite, and 0 or more.
func IsValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }
