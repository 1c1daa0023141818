package inventory

import "time"

// Hint is what a server announces about itself in a response. It binds the receiver for as long as
// it says, and applies to that start of the server only.
type Hint struct {
	// Draining is set if the server is shutting down and wants no new work.
	Draining bool
	// Backoff is how long the server wants nothing from the node that it answered; 0 if it does not
	// say.
	Backoff time.Duration
	// Limit is the rate that the server accepts from all nodes together.
	Limit RateLimit
	// Brittleness is how many requests the server can reject in a second without failing; 0 if it does
	// not say.
	Brittleness int
	// SentAt is when the request was sent that the response answers.
	SentAt time.Time
}

// IsEmpty reports whether the hint has nothing that affects later requests.
func (h Hint) IsEmpty() bool { return !h.Draining && h.Backoff <= 0 && !h.Limit.IsSet() }
