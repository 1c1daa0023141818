package inventory

import "time"

// Hint is what a server tells of its own future with an answer. It binds who heard it for as
// long as it says, and holds for that start of the server alone.
type Hint struct {
	// Draining is set where the server goes away and wants no new work.
	Draining bool
	// Backoff is for how long the server wants nothing from the node that it answered; 0 where it
	// does not say.
	Backoff time.Duration
	// Limit is the rate that the server takes from all nodes together.
	Limit RateLimit
	// SentAt is when the request left that the answer is to.
	SentAt time.Time
}

// IsEmpty reports whether the server told nothing that binds later requests.
func (h Hint) IsEmpty() bool { return !h.Draining && h.Backoff <= 0 && !h.Limit.IsSet() }
