package waiting

import "time"

// Verdict is what becomes of a request that has no server now.
type Verdict int

const (
	// KeepWaiting lets it wait on.
	KeepWaiting Verdict = iota + 1
	// CallerGone ends it without an answer: the caller is gone.
	CallerGone
	// FailDeadline ends it, since its deadline passes.
	FailDeadline
	// RefuseBarred refuses it for good.
	RefuseBarred
	// RefuseOnTrial refuses it until its trial is over.
	RefuseOnTrial
	// FailNodeStopping ends it, since the node stops.
	FailNodeStopping
	// FailAllServersTried ends it, since no server of its service takes it.
	FailAllServersTried
	// RefuseLoadTooSlow refuses it, since its model comes after the caller's patience.
	RefuseLoadTooSlow
	// RefuseNoServer refuses it, since its service has no server.
	RefuseNoServer
)

// Decision is a verdict, and for those that refuse when a place is expected.
type Decision struct {
	Verdict Verdict
	ReadyIn time.Duration
}

const (
	// AnnouncementGracePeriod is left for news that are under way before it is decided on a request
	// whose model nobody has announced: an order takes up to a period of the leader's,
	// and what it decided another to come here.
	AnnouncementGracePeriod = 100 * time.Millisecond
	// refusalMargin covers what a caller's clock and the network add.
	refusalMargin = 20 * time.Millisecond
	// readTime is taken to pass between a server being ready and the answer's
	// first byte.
	readTime = 100 * time.Millisecond
	// ResponseMargin is left before the deadline for the final answer.
	ResponseMargin = 10 * time.Millisecond
	// ServerRegistrationTime is when a service that has no server is expected to have one
	// again: servers enter themselves in the store about every second. No request
	// waits longer than that for one.
	ServerRegistrationTime = time.Second
)

// Decide says what becomes of a request that has no server now. What can be served
// within the caller's patience is kept; what cannot is refused at once.
func Decide(now time.Time, request Request, state State, expected ReadinessEstimate) Decision {
	left := request.Deadline.Sub(now)
	switch {
	case state.CallerGone:
		return Decision{Verdict: CallerGone}
	case left <= ResponseMargin:
		return Decision{Verdict: FailDeadline}
	case state.IsBarred:
		return Decision{Verdict: RefuseBarred}
	case state.IsOnTrial:
		return Decision{Verdict: RefuseOnTrial, ReadyIn: expected.returnIn()}
	case state.NodeStopping:
		return Decision{Verdict: FailNodeStopping}
	case state.AllServersTried:
		return Decision{Verdict: FailAllServersTried}
	}
	elapsed := now.Sub(request.Arrived)
	switch {
	case state.MayHaveRun, !expected.Announced && elapsed < AnnouncementGracePeriod:
		return Decision{Verdict: KeepWaiting}
	case !request.NeedsModel && !expected.Announced:
		return decideForServer(request, elapsed, left)
	case elapsed+expected.WorstCase()+readTime > request.MaxWait():
		return Decision{Verdict: RefuseLoadTooSlow, ReadyIn: expected.returnIn()}
	default:
		return Decision{Verdict: KeepWaiting}
	}
}

// decideForServer decides on a request of a plain service that has no server, once
// news had a moment to come: one that came back waits if a server is expected before
// its deadline and within ServerReturnTime of its arrival.
func decideForServer(request Request, elapsed, left time.Duration) Decision {
	if request.IsRetry && left > ServerRegistrationTime && elapsed < ServerRegistrationTime {
		return Decision{Verdict: KeepWaiting}
	}
	return Decision{Verdict: RefuseNoServer, ReadyIn: ServerRegistrationTime}
}

// RecheckInterval bounds how long a waiting request sleeps: the leader's views come about
// that often, and one that is lost is made up for.
const RecheckInterval = 250 * time.Millisecond

// RecheckDelay is how long a request sleeps that was kept, unless news come before: until
// its model is expected, it is decided on for the first time, or its deadline.
func RecheckDelay(now, since time.Time, request Request, expected ReadinessEstimate) time.Duration {
	pause := min(RecheckInterval, request.Deadline.Sub(now)-ResponseMargin)
	if decided := AnnouncementGracePeriod - now.Sub(since); decided > 0 {
		pause = min(pause, decided+time.Millisecond)
	}
	if expected.Announced && expected.ReadyIn > 0 {
		pause = min(pause, expected.ReadyIn+time.Millisecond)
	}
	return max(pause, time.Millisecond)
}
