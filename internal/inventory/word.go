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
