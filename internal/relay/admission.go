package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// Admission limits, across all nodes, what is sent to cold servers and to servers that announced a
// rate limit.
type Admission interface {
	// Admit asks whether one request may be sent to this start of a server now.
	Admit(ctx context.Context, start inventory.Start, request AdmissionRequest) AdmissionDecision
	// AdmitInternalCall asks the same for a call of the system itself, such as a question for the
	// current start. Cold servers accept such calls.
	AdmitInternalCall(ctx context.Context, start inventory.Start, request AdmissionRequest) AdmissionDecision
	// ReturnGrant returns a grant that was not used.
	ReturnGrant(start inventory.Start, decision AdmissionDecision)
}

// AdmissionRequest describes a request that is to be sent to a server.
type AdmissionRequest struct {
	// Priority ranks waiting requests; 0 is the highest.
	Priority int
	// IsGoingOn is set if the request goes on with a stream that has begun. It ranks one before its
	// priority: what its caller has read is lost otherwise, and no more of them come than streams begin.
	IsGoingOn bool
	// WithStartQuestion is set if the server has to be asked for its start after the head of the response:
	// the grant is to cover both calls.
	WithStartQuestion bool
}

// startQuestionLifetime is how long the grant of a question for a server's start may be used: the question
// follows the head of the answer. No server gets more questions than requests, so within the window of a
// rate limit the delay adds less than the limit's overage.
const startQuestionLifetime = 2 * time.Second

// AdmissionDecision says whether a request may be sent to a server.
type AdmissionDecision struct {
	Granted bool
	// ValidUntil is when the grant expires; zero where the server needs no grants.
	ValidUntil time.Time
	// GrantedBy is the address of the coordinator that granted it; empty where none did.
	GrantedBy string
	// CoversStartQuestion is set if the grant covers the question for the server's start as well.
	CoversStartQuestion bool
	// RetryAfter is when a denied request may be granted.
	RetryAfter time.Duration
	// Settle, where it is set, must be called once it is known whether the server rejected the
	// request, or that nothing was sent. It may be called again if the server rejects it after all.
	Settle func(isRejected bool)
}

// settle calls Settle if it is set.
func (d AdmissionDecision) settle(isRejected bool) {
	if d.Settle != nil {
		d.Settle(isRejected)
	}
}

// isReturnable reports whether a coordinator granted it, so that the grant can be returned.
func (d AdmissionDecision) isReturnable() bool { return d.Granted && d.GrantedBy != "" }

// requestAdmission asks whether the request may be sent to the chosen server, and the question for the
// server's start with it: an answer that has begun would be cut if the question were denied. After a
// denial the dispatcher leaves the server out until RetryAfter has passed.
func (x *exchange) requestAdmission(choice dispatch.Choice) (decision AdmissionDecision) {
	if x.handler.options.Admission == nil {
		return AdmissionDecision{Granted: true}
	}
	request := x.admissionRequest()
	request.WithStartQuestion = x.asksStart
	decision = x.handler.options.Admission.Admit(x.ctx, choice.Attempt.Start(), request)
	if decision.Granted && x.asksStart {
		x.startQuestion = x.admitStartQuestion(choice, decision)
		if !x.startQuestion.Granted {
			x.returnGrant(choice, decision)
			decision = x.startQuestion
		}
	}
	if !decision.Granted {
		x.handler.Metrics.ColdHeld.Add(1)
		x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
			core.RecordDenial(clock.Now(), choice.ServerID, x.requirements(), decision.RetryAfter)
		})
	}
	return decision
}

// admissionRequest describes the request to the admission, without a question for its server's start.
func (x *exchange) admissionRequest() AdmissionRequest {
	return AdmissionRequest{Priority: x.priority(), IsGoingOn: x.isGoingOn()}
}

// admitStartQuestion is the grant of the question for the server's start: that of the request, or one of
// its own where that one does not cover it.
func (x *exchange) admitStartQuestion(choice dispatch.Choice, request AdmissionDecision) AdmissionDecision {
	question := AdmissionDecision{Granted: true, ValidUntil: request.ValidUntil, GrantedBy: request.GrantedBy}
	if !request.CoversStartQuestion {
		question = x.handler.options.Admission.AdmitInternalCall(x.ctx, choice.Attempt.Start(), x.admissionRequest())
	}
	if question.Granted && !question.ValidUntil.IsZero() {
		question.ValidUntil = clock.Now().Add(startQuestionLifetime)
	}
	return question
}

// returnStartQuestion returns the grant of the question for the server's start if it was not asked.
func (x *exchange) returnStartQuestion(choice dispatch.Choice) {
	x.returnGrant(choice, x.startQuestion)
	x.startQuestion = AdmissionDecision{}
}

// returnGrant returns the grant of a send that was abandoned.
func (x *exchange) returnGrant(choice dispatch.Choice, decision AdmissionDecision) {
	decision.settle(false)
	if decision.isReturnable() {
		x.handler.options.Admission.ReturnGrant(choice.Attempt.Start(), decision)
	}
}

// isStillAdmitted checks the grant again immediately before the send: opening a connection may have
// outlasted it, and the server may have become cold or announced a rate limit in the meantime.
func (x *exchange) isStillAdmitted(choice dispatch.Choice, decision *AdmissionDecision) bool {
	if x.handler.options.Admission == nil {
		return true
	}
	now := clock.Now()
	if !decision.ValidUntil.IsZero() && now.Before(decision.ValidUntil) {
		return true
	}
	needsGrant := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		phase, _ := core.ColdPhase(now, choice.ServerID)
		_, isLimited := core.RateLimit(choice.Attempt.Start())
		needsGrant = phase != admission.Warm || isLimited
	})
	if !needsGrant {
		return true
	}
	x.returnGrant(choice, *decision)
	x.returnStartQuestion(choice)
	*decision = x.requestAdmission(choice)
	return decision.Granted
}

// markUnreachable records that no connection to the server can be opened. It may have restarted, and
// be cold, before its entry says so.
func (x *exchange) markUnreachable(choice dispatch.Choice) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.MarkUnreachable(clock.Now(), choice.ServerID) })
}

// lateReason is the reason given when a request would be served too late.
func (x *exchange) lateReason() string {
	reason := reasonTooLate
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		switch {
		case core.HasOnlyColdServers(clock.Now(), x.requirements()):
			reason = reasonColdServers
		case core.HasOnlyRateLimitedServers(clock.Now(), x.requirements()):
			reason = reasonRateLimited
		}
	})
	return reason
}
