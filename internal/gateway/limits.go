package gateway

import (
	"cmp"
	"time"
)

// Limits bound what callers may use of a node. Zero values are replaced by the
// defaults.
type Limits struct {
	// MaxBodyBytes limits one request body, MaxBodyBytesTotal all bodies held at
	// the same time.
	MaxBodyBytes      int64
	MaxBodyBytesTotal int64
	// BodyTimeout limits the time for reading a body.
	BodyTimeout time.Duration
	// WriteTimeout limits one write to a caller that reads slowly.
	WriteTimeout time.Duration
	// MaxRequests limits the concurrent requests, for services and models separately.
	MaxRequests int
	// MaxAnswerBytes limits a response that is sent as one body.
	MaxAnswerBytes int
	// MaxStoredAnswerBytes limits a response stored for an Idempotency-Key.
	MaxStoredAnswerBytes int
	// MaxKeyBytes limits an Idempotency-Key, MaxLabelBytes the labels header.
	MaxKeyBytes   int
	MaxLabelBytes int
	// DefaultDeadline and DefaultServiceDeadline apply to routes without a deadline.
	DefaultDeadline        time.Duration
	DefaultServiceDeadline time.Duration
	// StallTimeout limits the time between two tokens of an engine.
	StallTimeout time.Duration
	// HedgeAfter is how long a model request waits for its first token before a
	// second back end is asked as well; zero disables hedging.
	HedgeAfter time.Duration
	// RetryShare is the fraction of the traffic that may be retries; RetryBurst is
	// the number of retries that the budget can accumulate.
	RetryShare float64
	RetryBurst float64
	// DrainRetryAfter is the Retry-After while the node is stopping.
	DrainRetryAfter time.Duration
}

func (l Limits) withDefaults() Limits {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 4<<20)
	l.MaxBodyBytesTotal = cmp.Or(l.MaxBodyBytesTotal, 256<<20)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, 10*time.Second)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, 10*time.Second)
	l.MaxRequests = cmp.Or(l.MaxRequests, 8192)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, 8<<20)
	l.MaxStoredAnswerBytes = cmp.Or(l.MaxStoredAnswerBytes, 64<<10)
	l.MaxKeyBytes = cmp.Or(l.MaxKeyBytes, 255)
	l.MaxLabelBytes = cmp.Or(l.MaxLabelBytes, 4<<10)
	l.DefaultDeadline = cmp.Or(l.DefaultDeadline, 30*time.Second)
	l.DefaultServiceDeadline = cmp.Or(l.DefaultServiceDeadline, 5*time.Second)
	l.StallTimeout = cmp.Or(l.StallTimeout, 10*time.Second)
	l.RetryShare = cmp.Or(l.RetryShare, 0.1)
	l.RetryBurst = cmp.Or(l.RetryBurst, 20)
	l.DrainRetryAfter = cmp.Or(l.DrainRetryAfter, time.Second)
	return l
}
