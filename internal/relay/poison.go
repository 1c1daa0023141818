package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Suspects remembers requests under which servers ended, at whatever node, so that one
// that ends each server that runs it is sent to no more of them.
type Suspects interface {
	// Any reports whether anything is remembered.
	Any() bool
	// Status is what is known of a request.
	Status(fingerprint poison.Fingerprint) poison.Status
	// ReportCrash takes that a server ended as it had the request, for a time.
	ReportCrash(fingerprint poison.Fingerprint, serverID string, ran time.Duration)
	// ReportSuccess takes that a request ended well.
	ReportSuccess(fingerprint poison.Fingerprint)
	// ClaimTrial asks whether this node may send a request on trial once, for all nodes.
	ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool
	// ReportRefusal takes that a copy of a barred request was refused.
	ReportRefusal(fingerprint poison.Fingerprint)
}

// reasonPoison is the reason of refusals of requests that ended too many servers.
const reasonPoison = "poison_request"

// fingerprint tells the request from all others that ask for something else. It is made
// once.
func (x *exchange) fingerprint() poison.Fingerprint {
	if x.identity == nil {
		fingerprint := poison.NewFingerprint(poison.Identity{
			Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Caller: x.head.APIKey,
			Model: x.head.Model, Adapter: x.head.Adapter, Body: x.body,
		})
		x.identity = &fingerprint
	}
	return *x.identity
}

// standing is what is known of the request now.
func (x *exchange) standing() poison.Status {
	suspects := x.handler.options.Suspects
	if suspects == nil || !suspects.Any() {
		return poison.StatusClear
	}
	return suspects.Status(x.fingerprint())
}

// isBarred reports whether the request has ended too many servers. The send of a trial that
// this node claimed goes out all the same.
func (x *exchange) isBarred() bool {
	return !x.isTrial && x.standing() == poison.StatusBarred
}

// mayTry claims the trial of a request on trial for the send that follows.
func (x *exchange) mayTry() bool {
	if x.standing() != poison.StatusOnTrial {
		return true
	}
	x.isTrial = x.handler.options.Suspects.ClaimTrial(x.ctx, x.fingerprint())
	return x.isTrial
}

// answerBarred gives a barred request its final answer: at once, and without a time to
// come back at.
func (x *exchange) answerBarred() {
	x.handler.Metrics.BarredRefused.Add(1)
	x.handler.options.Suspects.ReportRefusal(x.fingerprint())
	if x.ran {
		x.fail(http.StatusBadGateway, reasonPoison)
		return
	}
	x.refuseForGood(reasonPoison)
}

// brokeOff ends a send whose answer did not come, or broke off. Where it was the caller who
// left, the request ends here.
func (x *exchange) brokeOff(choice dispatch.Choice) {
	if x.hasLeft() {
		x.release(choice, dispatch.OutcomeAbandoned)
		x.leave()
	}
	x.suspect(choice)
	x.release(choice, dispatch.OutcomeFailed)
	x.failed = append(x.failed, choice.ServerID)
}

// suspect looks what became of a server that did not answer to the end before the deadline:
// a way that was cut or a connection that was reset looks the same. Where the server ended,
// and nobody had said that it would, the request is suspected.
func (x *exchange) suspect(choice dispatch.Choice) {
	if clock.Until(x.deadline) <= waiting.ResponseMargin {
		return
	}
	x.serverEnd = x.handler.options.Pool.Probe(choice.Address)
	if x.serverEnd != backendconn.LivenessAlive {
		x.noteUnreachable(choice)
	}
	suspects := x.handler.options.Suspects
	if suspects != nil && x.serverEnd == backendconn.LivenessEnded && x.endedUnannounced(choice) {
		suspects.ReportCrash(x.fingerprint(), choice.ServerID, choice.Attempt.Age(clock.Now()))
	}
}

func (x *exchange) endedUnannounced(choice dispatch.Choice) (unannounced bool) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { unannounced = core.EndedUnexpectedly(choice.Attempt) })
	return unannounced
}

// endedWell remembers that the request ended well: it does not end each server that runs
// it, and neither do others that are the same.
func (x *exchange) endedWell() {
	if suspects := x.handler.options.Suspects; suspects != nil {
		suspects.ReportSuccess(x.fingerprint())
	}
}
