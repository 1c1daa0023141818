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
}

// IsEmpty reports whether the server told nothing.
func (w Word) IsEmpty() bool { return !w.Leaving && w.Rest <= 0 }
