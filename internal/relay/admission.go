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
	Admit(ctx context.Context, start inventory.Start, priority int) AdmissionVerdict
	// GiveBack returns a grant that was not used.
	GiveBack(start inventory.Start, verdict AdmissionVerdict)
}

// AdmissionVerdict says whether a request may be sent to a server.
type AdmissionVerdict struct {
	Granted bool
	// Until is until when a grant may be used; zero where the server takes whatever comes.
	Until time.Time
	// By is the address of the coordinator that granted it; empty where none did.
	By string
	// RetryIn is when a request may be granted.
	RetryIn time.Duration
}

// isGrant reports whether it is a grant that may be given back.
func (v AdmissionVerdict) isGrant() bool { return v.Granted && v.By != "" }

// admitsServer asks whether the request may go to the chosen server. Where it may not the
// server is left alone for a moment.
func (x *exchange) admitsServer(choice dispatch.Choice) (verdict AdmissionVerdict) {
	if x.handler.options.Admission == nil {
		return AdmissionVerdict{Granted: true}
	}
	verdict = x.handler.options.Admission.Admit(x.ctx, choice.Flight.Start(), x.priority())
	if !verdict.Granted {
		x.handler.Metrics.ColdHeld.Add(1)
		x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.HoldBack(clock.Now(), choice.ServerID, verdict.RetryIn) })
	}
	return verdict
}

// giveBackGrant returns the grant of a send that did not leave.
func (x *exchange) giveBackGrant(choice dispatch.Choice, verdict AdmissionVerdict) {
	if verdict.isGrant() {
		x.handler.options.Admission.GiveBack(choice.Flight.Start(), verdict)
	}
}

// isStillAdmitted checks right before the send: opening a connection may have taken longer
// than a grant holds, and the server may have turned cold or named a rate limit meanwhile.
func (x *exchange) isStillAdmitted(choice dispatch.Choice, verdict *AdmissionVerdict) bool {
	if x.handler.options.Admission == nil {
		return true
	}
	now := clock.Now()
	if !verdict.Until.IsZero() && now.Before(verdict.Until) {
		return true
	}
	isBounded := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		phase, _ := core.ColdPhase(now, choice.ServerID)
		_, isLimited := core.RateLimit(choice.Flight.Start())
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
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.Unreachable(clock.Now(), choice.ServerID) })
}

// reasonLate is why a request is refused that would be served too late.
func (x *exchange) reasonLate() string {
	reason := reasonTooLate
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		switch {
		case core.IsHeldByCold(clock.Now(), x.wanted()):
			reason = reasonColdServers
		case core.IsHeldByRate(clock.Now(), x.wanted()):
			reason = reasonRateLimited
		}
	})
	return reason
}
