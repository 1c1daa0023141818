package waiting

import "time"

// Request is what decisions go by of one request.
type Request struct {
	Arrived  time.Time
	Deadline time.Time
	// Stream is set where the caller waits for the first event of a stream.
	Stream bool
	// Goal is the latency objective, and GapGoal the longest pause between events that
	// is in time; 0 is none.
	Goal    time.Duration
	GapGoal time.Duration
	// NeedsModel is set where it takes a model's server; others take any of a service.
	NeedsModel bool
	// Returned is set where the caller was told to come back before.
	Returned bool
}

// Callers give up a stream whose first event, or next, does not come within the
// longest of these: a fixed time, a multiple of the objective, and one of the
// longest pause that is in time.
const (
	patienceLeast = 2 * time.Second
	patienceGoals = 4
	patienceGaps  = 8
)

// Patience is how long the caller waits for an answer to begin, from its arrival.
func (r Request) Patience() time.Duration {
	held := r.Deadline.Sub(r.Arrived)
	if !r.Stream {
		return held
	}
	return min(held, max(patienceLeast, patienceGoals*r.Goal, patienceGaps*r.GapGoal))
}

// State is how a request stands that has no server now.
type State struct {
	// CallerLeft is set where nobody waits for the answer any more.
	CallerLeft bool
	// IsBarred is set where the request ends servers, and IsOnTrial while it is tried
	// whether it does: copies that waited at several nodes would be tried together.
	IsBarred, IsOnTrial bool
	// NodeStops is set where the node's time for what waits is over.
	NodeStops bool
	// AllTried is set where every server of a plain service has had it.
	AllTried bool
	// HasBegun is set where it may have run, or its answer has begun: it must not be
	// refused as one that has not run.
	HasBegun bool
}
