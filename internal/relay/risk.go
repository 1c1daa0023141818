package relay

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// sendRisk follows a send that its server may have to reject, until it is known whether it does. A nil
// *sendRisk follows nothing.
type sendRisk struct {
	exchange *exchange
	choice   dispatch.Choice
	settle   func(isRejected bool)
	sentAt   time.Time
	// ended is closed at the end of the exchange.
	ended chan struct{}
}

// newSendRisk follows the exchange's send; nil if its admission need not know the outcome.
func newSendRisk(x *exchange, choice dispatch.Choice, decision AdmissionDecision) *sendRisk {
	if decision.Settle == nil {
		return nil
	}
	r := &sendRisk{exchange: x, choice: choice, settle: decision.Settle, sentAt: x.sentAt, ended: make(chan struct{})}
	go r.await()
	return r
}

// await settles the send as accepted once the server was heard from after it would have rejected it. A
// server that falls silent has accepted nothing yet.
func (r *sendRisk) await() {
	ticker := time.NewTicker(admission.RejectionTime)
	defer ticker.Stop()
	for clock.Since(r.sentAt) < admission.RiskLifetime {
		select {
		case <-ticker.C:
		case <-r.ended:
			return
		}
		if r.isHeard() {
			r.settleInTime(false)
			return
		}
	}
}

// isHeard reports whether the server was heard from after it would have rejected the send.
func (r *sendRisk) isHeard() (isHeard bool) {
	since := r.sentAt.Add(admission.RejectionTime / 2)
	r.exchange.handler.options.Dispatch.Do(func(core *dispatch.Core) { isHeard = core.IsHeardSince(r.choice.Attempt, since) })
	return isHeard
}

// end settles the send once its exchange is over. isKnown is set if there was a response, or nothing was sent;
// otherwise it is known to be accepted only if the server was heard from, and else counts until its time is over.
func (r *sendRisk) end(isKnown, isRejected bool) {
	if r == nil {
		return
	}
	close(r.ended)
	if isKnown || r.isHeard() {
		r.settleInTime(isRejected)
	}
}

// settleInTime reports the outcome. An acceptance that comes late changes nothing: the send has been counted
// as rejected by then.
func (r *sendRisk) settleInTime(isRejected bool) {
	if isRejected || clock.Since(r.sentAt) < admission.RiskLifetime-riskReportTime {
		r.settle(isRejected)
	}
}

// riskReportTime is how long the report of an outcome takes to its coordinator at most.
const riskReportTime = 50 * time.Millisecond

// recordHeard records that something was read from the server.
func (r *sendRisk) recordHeard() {
	if r == nil {
		return
	}
	r.exchange.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.RecordHeard(clock.Now(), r.choice.Attempt) })
}
