package inventory

import (
	"math"
	"strconv"
	"strings"
)

// RateLimitKind is what an answer says of its server's rate limit.
type RateLimitKind int

const (
	// RateLimitUnknown says nothing: no answer came, or what it says cannot be read.
	RateLimitUnknown RateLimitKind = iota
	// RateLimitNone says that the server names no limit.
	RateLimitNone
	// RateLimitSet says that the server names one.
	RateLimitSet
)

// RateLimit is the rate that a server takes from all nodes together, as one answer tells it. It
// is in force for as long as answers name it.
type RateLimit struct {
	Kind RateLimitKind
	// PerSecond is the rate in requests a second, 0 or more; set where it is named.
	PerSecond float64
}

// NewRateLimit is a rate limit that an answer names.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{Kind: RateLimitSet, PerSecond: perSecond}
}

// IsSet reports whether the answer names a limit.
func (r RateLimit) IsSet() bool { return r.Kind == RateLimitSet }

// MaxRate bounds the rate limit that a server may name, in requests a second; what is above it
// limits nothing.
const MaxRate = 1e6

// ParseRateLimit reads the rate limit that an answer names, as the values of its header. Of several
// the least counts; where none of them is a finite number from 0 on the answer tells nothing of a
// limit, and the one in force stays.
func ParseRateLimit(named []string) RateLimit {
	if len(named) == 0 {
		return RateLimit{Kind: RateLimitNone}
	}
	var limit RateLimit
	for _, text := range named {
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

// IsValidRate reports whether the figure is a rate: finite, and 0 or more.
func IsValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }
