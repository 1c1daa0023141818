package dispatch

import "time"

// Word is what a server tells of its own future with an answer.
type Word struct {
	// Leaving is set where the server goes away and wants no new work.
	Leaving bool
	// Rest is for how long the server wants nothing from this node; 0 where it does not say.
	Rest time.Duration
}
