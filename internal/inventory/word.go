package inventory

import "time"

// Word is what a server tells of its own future with an answer. It binds who heard it for as
// long as it says, and holds for that start of the server alone.
type Word struct {
	// Leaving is set where the server goes away and wants no new work.
	Leaving bool
	// Rest is for how long the server wants nothing from the node that it answered; 0 where it
	// does not say.
	Rest time.Duration
	// Limit is the rate that the server takes from all nodes together.
	Limit RateLimit
	// SentAt is when the request left that the answer is to.
	SentAt time.Time
}

// IsEmpty reports whether the server told nothing that binds later requests.
func (w Word) IsEmpty() bool { return !w.Leaving && w.Rest <= 0 && !w.Limit.IsNamed() }

// RateLimitKind is what an answer says of its server's rate limit.
type RateLimitKind int

const (
	// RateLimitUntold says nothing: no answer came, or what it says cannot be read.
	RateLimitUntold RateLimitKind = iota
	// RateLimitNone says that the server names no limit.
	RateLimitNone
	// RateLimitNamed says that the server names one.
	RateLimitNamed
)

// RateLimit is the rate that a server takes from all nodes together, as one answer tells it. It
// is in force for as long as answers name it.
type RateLimit struct {
	Kind RateLimitKind
	// PerSecond is the rate in requests a second, 0 or more; set where it is named.
	PerSecond float64
}

// NamedRate is a rate limit that an answer names.
func NamedRate(perSecond float64) RateLimit {
	return RateLimit{Kind: RateLimitNamed, PerSecond: perSecond}
}

// IsNamed reports whether the answer names a limit.
func (r RateLimit) IsNamed() bool { return r.Kind == RateLimitNamed }
