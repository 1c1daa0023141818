package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// Admission decides what may be sent to servers that bear little, over all nodes: cold ones, and
// those that name a rate limit.
type Admission interface {
	// Admit asks whether a request may be sent to the start of a server now; of several the
	// urgent ones go first, priority 0 before all.
	Admit(ctx context.Context, start inventory.Start, priority int) AdmissionDecision
	// ReturnGrant returns a grant that was not used.
	ReturnGrant(start inventory.Start, verdict AdmissionDecision)
}

// AdmissionDecision says whether a request may be sent to a server.
type AdmissionDecision struct {
	Granted bool
	// ValidUntil is until when a grant may be used; zero where the server takes whatever comes.
	ValidUntil time.Time
	// GrantedBy is the address of the coordinator that granted it; empty where none did.
	GrantedBy string
	// RetryAfter is when a request may be granted.
	RetryAfter time.Duration
}

// isGrant reports whether it is a grant that may be given back.
func (v AdmissionDecision) isGrant() bool { return v.Granted && v.GrantedBy != "" }

// admitsServer asks whether the request may go to the chosen server. Where it may not the
// server is left alone for a moment.
func (x *exchange) admitsServer(choice dispatch.Choice) (verdict AdmissionDecision) {
	if x.handler.options.Admission == nil {
		return AdmissionDecision{Granted: true}
	}
	verdict = x.handler.options.Admission.Admit(x.ctx, choice.Attempt.Start(), x.priority())
	if !verdict.Granted {
		x.handler.Metrics.ColdHeld.Add(1)
		x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.RecordDenial(clock.Now(), choice.ServerID, verdict.RetryAfter) })
	}
	return verdict
}

// giveBackGrant returns the grant of a send that did not leave.
func (x *exchange) giveBackGrant(choice dispatch.Choice, verdict AdmissionDecision) {
	if verdict.isGrant() {
		x.handler.options.Admission.ReturnGrant(choice.Attempt.Start(), verdict)
	}
}

// isStillAdmitted checks right before the send: opening a connection may have taken longer
// than a grant holds, and the server may have turned cold or named a rate limit meanwhile.
func (x *exchange) isStillAdmitted(choice dispatch.Choice, verdict *AdmissionDecision) bool {
	if x.handler.options.Admission == nil {
		return true
	}
	now := clock.Now()
	if !verdict.ValidUntil.IsZero() && now.Before(verdict.ValidUntil) {
		return true
	}
	isBounded := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		phase, _ := core.ColdPhase(now, choice.ServerID)
		_, isLimited := core.RateLimit(choice.Attempt.Start())
		isBounded = phase != admission.Warm || isLimited
	})
	if !isBounded {
		return true
	}
	x.giveBackGrant(choice, *verdict)
	*verdict = x.admitsServer(choice)
	return verdict.Granted
}

// noteUnreachable takes that no connection to the server comes up: it may be back, and
// cold, before its entry says so.
func (x *exchange) noteUnreachable(choice dispatch.Choice) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.MarkUnreachable(clock.Now(), choice.ServerID) })
}

// reasonLate is why a request is refused that would be served too late.
func (x *exchange) reasonLate() string {
	reason := reasonTooLate
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		switch {
		case core.HasOnlyColdServers(clock.Now(), x.wanted()):
			reason = reasonColdServers
		case core.HasOnlyRateLimitedServers(clock.Now(), x.wanted()):
			reason = reasonRateLimited
		}
	})
	return reason
}
