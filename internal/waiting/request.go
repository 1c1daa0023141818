package waiting

import "time"

// Request is what decisions go by of one request.
type Request struct {
	Arrived  time.Time
	Deadline time.Time
	// Stream is set where the caller waits for the first event of a stream.
	Stream bool
	// LatencyGoal is the latency objective, and GapGoal the longest pause between events that
	// is in time; 0 is none.
	LatencyGoal  time.Duration
	EventGapGoal time.Duration
	// NeedsModel is set where it takes a model's server; others take any of a service.
	NeedsModel bool
	// IsRetry is set where the caller was told to come back before.
	IsRetry bool
}

// Callers give up a stream whose first event, or next, does not come within the
// longest of these: a fixed time, a multiple of the objective, and one of the
// longest pause that is in time.
const (
	patienceLeast = 2 * time.Second
	patienceGoals = 4
	patienceGaps  = 8
)

// MaxWait is how long the caller waits for an answer to begin, from its arrival.
func (r Request) MaxWait() time.Duration {
	held := r.Deadline.Sub(r.Arrived)
	if !r.Stream {
		return held
	}
	return min(held, max(patienceLeast, patienceGoals*r.LatencyGoal, patienceGaps*r.EventGapGoal))
}

// State is how a request stands that has no server now.
type State struct {
	// CallerGone is set where nobody waits for the answer any more.
	CallerGone bool
	// IsBarred is set where the request ends servers, and IsOnTrial while it is tried
	// whether it does: copies that waited at several nodes would be tried together.
	IsBarred, IsOnTrial bool
	// NodeStopping is set where the node's time for what waits is over.
	NodeStopping bool
	// AllServersTried is set where every server of a plain service has had it.
	AllServersTried bool
	// MayHaveRun is set where it may have run, or its answer has begun: it must not be
	// refused as one that has not run.
	MayHaveRun bool
}
