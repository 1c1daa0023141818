package waiting

import "time"

// Request holds the properties of a request that decisions depend on.
type Request struct {
	Arrived  time.Time
	Deadline time.Time
	// Stream is set if the response is a stream, so that the caller waits for its first event.
	Stream bool
	// LatencyGoal is the objective for the time to the first event, and EventGapGoal the
	// objective for the longest gap between events; 0 means none.
	LatencyGoal  time.Duration
	EventGapGoal time.Duration
	// NeedsModel is set if only a server that has a certain model loaded can serve the
	// request. Otherwise any server of the service can.
	NeedsModel bool
	// IsRetry is set if the caller was refused with a retry delay before.
	IsRetry bool
}

// Callers abandon a stream if its first or next event doesn't arrive within the longest of
// these: a fixed time, a multiple of LatencyGoal and a multiple of EventGapGoal.
const (
	minStreamWait       = 2 * time.Second
	latencyGoalMultiple = 4
	eventGapMultiple    = 8
)

// MaxWait returns how long after the arrival of the request the caller waits for the response
// to begin.
func (r Request) MaxWait() time.Duration {
	timeout := r.Deadline.Sub(r.Arrived)
	if !r.Stream {
		return timeout
	}
	return min(timeout, max(minStreamWait, latencyGoalMultiple*r.LatencyGoal, eventGapMultiple*r.EventGapGoal))
}

// State is the current state of a request that has no server.
type State struct {
	// CallerGone is set if the caller no longer waits for the response.
	CallerGone bool
	// IsBarred is set if the request is known to crash servers, and IsOnTrial while a single
	// trial run tests whether it still does. A request on trial must not wait: copies that
	// waited at several nodes would be tried together.
	IsBarred, IsOnTrial bool
	// NodeStopping is set once the drain period of a node that shuts down is over.
	NodeStopping bool
	// AllServersTried is set if every server of a plain service was tried.
	AllServersTried bool
	// MayHaveRun is set if a server may have run the request or its response has begun. Such
	// a request must not be refused, as a refusal states that it did not run.
	MayHaveRun bool
}
