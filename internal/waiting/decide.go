package waiting

import "time"

// Verdict is what becomes of a request that has no server now.
type Verdict int

const (
	// Keep lets it wait on.
	Keep Verdict = iota + 1
	// Leave ends it without an answer: the caller is gone.
	Leave
	// GiveUpDeadline ends it, since its deadline passes.
	GiveUpDeadline
	// RefuseBarred refuses it for good.
	RefuseBarred
	// RefuseOnTrial refuses it until its trial is over.
	RefuseOnTrial
	// GiveUpStops ends it, since the node stops.
	GiveUpStops
	// GiveUpTried ends it, since no server of its service takes it.
	GiveUpTried
	// RefuseTooLate refuses it, since its model comes after the caller's patience.
	RefuseTooLate
	// RefuseNoServer refuses it, since its service has no server.
	RefuseNoServer
)

// Decision is a verdict, and for those that refuse when a place is expected.
type Decision struct {
	Verdict Verdict
	Ready   time.Duration
}

const (
	// NewsTime is left for news that are under way before it is decided on a request
	// whose model nobody has announced: an order takes up to a period of the leader's,
	// and what it decided another to come here.
	NewsTime = 100 * time.Millisecond
	// refusalMargin covers what a caller's clock and the network add.
	refusalMargin = 20 * time.Millisecond
	// readTime is taken to pass between a server being ready and the answer's
	// first byte.
	readTime = 100 * time.Millisecond
	// FinishMargin is left before the deadline for the final answer.
	FinishMargin = 10 * time.Millisecond
	// ServerReturnTime is when a service that has no server is expected to have one
	// again: servers enter themselves in the store about every second. No request
	// waits longer than that for one.
	ServerReturnTime = time.Second
)

// Decide says what becomes of a request that has no server now. What can be served
// within the caller's patience is kept; what cannot is refused at once.
func Decide(now time.Time, request Request, state State, expected Expectation) Decision {
	left := request.Deadline.Sub(now)
	switch {
	case state.CallerLeft:
		return Decision{Verdict: Leave}
	case left <= FinishMargin:
		return Decision{Verdict: GiveUpDeadline}
	case state.IsBarred:
		return Decision{Verdict: RefuseBarred}
	case state.IsOnTrial:
		return Decision{Verdict: RefuseOnTrial, Ready: expected.returnIn()}
	case state.NodeStops:
		return Decision{Verdict: GiveUpStops}
	case state.AllTried:
		return Decision{Verdict: GiveUpTried}
	}
	elapsed := now.Sub(request.Arrived)
	switch {
	case state.HasBegun, !expected.Announced && elapsed < NewsTime:
		return Decision{Verdict: Keep}
	case !request.NeedsModel && !expected.Announced:
		return decideForServer(request, elapsed, left)
	case elapsed+expected.AtWorst()+readTime > request.Patience():
		return Decision{Verdict: RefuseTooLate, Ready: expected.returnIn()}
	default:
		return Decision{Verdict: Keep}
	}
}

// decideForServer decides on a request of a plain service that has no server, once
// news had a moment to come: one that came back waits if a server is expected before
// its deadline and within ServerReturnTime of its arrival.
func decideForServer(request Request, elapsed, left time.Duration) Decision {
	if request.Returned && left > ServerReturnTime && elapsed < ServerReturnTime {
		return Decision{Verdict: Keep}
	}
	return Decision{Verdict: RefuseNoServer, Ready: ServerReturnTime}
}

// RecheckTime bounds how long a waiting request sleeps: the leader's views come about
// that often, and one that is lost is made up for.
const RecheckTime = 250 * time.Millisecond

// NextLook is how long a request sleeps that was kept, unless news come before: until
// its model is expected, it is decided on for the first time, or its deadline.
func NextLook(now, since time.Time, request Request, expected Expectation) time.Duration {
	pause := min(RecheckTime, request.Deadline.Sub(now)-FinishMargin)
	if decided := NewsTime - now.Sub(since); decided > 0 {
		pause = min(pause, decided+time.Millisecond)
	}
	if expected.Announced && expected.ReadyIn > 0 {
		pause = min(pause, expected.ReadyIn+time.Millisecond)
	}
	return max(pause, time.Millisecond)
}
