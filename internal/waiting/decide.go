package waiting

import "time"

// Verdict is the outcome of Decide for a request that currently has no server.
type Verdict int

const (
	// KeepWaiting leaves the request waiting.
	KeepWaiting Verdict = iota + 1
	// CallerGone ends the request without a response because the caller has disconnected.
	CallerGone
	// FailDeadline fails the request because its deadline is reached.
	FailDeadline
	// RefuseBarred refuses the request permanently because it is barred (see State.IsBarred).
	RefuseBarred
	// RefuseOnTrial refuses the request until its trial is over (see State.IsOnTrial).
	RefuseOnTrial
	// FailNodeStopping fails the request because the node is shutting down.
	FailNodeStopping
	// FailAllServersTried fails the request because every server of its service was tried.
	FailAllServersTried
	// RefuseLoadTooSlow refuses the request because its model would be loaded only after
	// Request.MaxWait.
	RefuseLoadTooSlow
	// RefuseNoServer refuses the request because its service has no server.
	RefuseNoServer
)

// Decision is a verdict with the time after which a refused caller may retry.
type Decision struct {
	Verdict Verdict
	// ReadyIn is the time until the request can be expected to be served. It is set for
	// RefuseOnTrial, RefuseLoadTooSlow and RefuseNoServer.
	ReadyIn time.Duration
}

const (
	// AnnouncementGracePeriod is how long a request waits before it can be refused because
	// no load of its model is announced. The announcement may still be on its way: up to one
	// leader period passes until the load is ordered, and another until the announcement
	// reaches this node.
	AnnouncementGracePeriod = 100 * time.Millisecond
	// retryAfterMargin covers network latency and the inaccuracy of the caller's timer.
	retryAfterMargin = 20 * time.Millisecond
	// firstByteTime is the assumed time from a server being ready to the first byte of
	// its response.
	firstByteTime = 100 * time.Millisecond
	// ResponseMargin is reserved before the deadline for sending the final response.
	ResponseMargin = 10 * time.Millisecond
	// ServerRegistrationTime is the time within which a service without a server is
	// expected to have one again: servers register in the store about every second. No
	// request waits longer than that for a server.
	ServerRegistrationTime = time.Second
)

// Decide decides on a request that currently has no server. A request that can be served
// within its MaxWait is kept; any other is refused at once, so that its caller can retry or
// give up early.
func Decide(now time.Time, request Request, state State, estimate ReadinessEstimate) Decision {
	remaining := request.Deadline.Sub(now)
	switch {
	case state.CallerGone:
		return Decision{Verdict: CallerGone}
	case remaining <= ResponseMargin:
		return Decision{Verdict: FailDeadline}
	case state.IsBarred:
		return Decision{Verdict: RefuseBarred}
	case state.IsOnTrial:
		return Decision{Verdict: RefuseOnTrial, ReadyIn: estimate.retryAfter()}
	case state.NodeStopping:
		return Decision{Verdict: FailNodeStopping}
	case state.AllServersTried:
		return Decision{Verdict: FailAllServersTried}
	}
	elapsed := now.Sub(request.Arrived)
	switch {
	case state.MayHaveRun, !estimate.Announced && elapsed < AnnouncementGracePeriod:
		return Decision{Verdict: KeepWaiting}
	case !request.NeedsModel && !estimate.Announced:
		return decideWithoutServer(request, elapsed, remaining)
	case elapsed+estimate.WorstCase()+firstByteTime > request.MaxWait():
		return Decision{Verdict: RefuseLoadTooSlow, ReadyIn: estimate.retryAfter()}
	default:
		return Decision{Verdict: KeepWaiting}
	}
}

// decideWithoutServer decides on a request to a plain service that has no server, after
// AnnouncementGracePeriod. A retry waits if a server is expected before its deadline and
// it arrived less than ServerRegistrationTime ago; a first attempt is refused.
func decideWithoutServer(request Request, elapsed, remaining time.Duration) Decision {
	if request.IsRetry && remaining > ServerRegistrationTime && elapsed < ServerRegistrationTime {
		return Decision{Verdict: KeepWaiting}
	}
	return Decision{Verdict: RefuseNoServer, ReadyIn: ServerRegistrationTime}
}

// RecheckInterval bounds the time between two decisions on a waiting request. It is about
// the interval of the leader's view updates and makes up for an update that is lost.
const RecheckInterval = 250 * time.Millisecond

// RecheckDelay returns how long a kept request sleeps before the next decision, unless an
// update arrives earlier: until its model is expected to be ready, AnnouncementGracePeriod
// ends or its deadline is reached, but at most RecheckInterval.
func RecheckDelay(now, waitingSince time.Time, request Request, estimate ReadinessEstimate) time.Duration {
	delay := min(RecheckInterval, request.Deadline.Sub(now)-ResponseMargin)
	if graceLeft := AnnouncementGracePeriod - now.Sub(waitingSince); graceLeft > 0 {
		delay = min(delay, graceLeft+time.Millisecond)
	}
	if estimate.Announced && estimate.ReadyIn > 0 {
		delay = min(delay, estimate.ReadyIn+time.Millisecond)
	}
	return max(delay, time.Millisecond)
}
