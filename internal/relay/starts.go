package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// StartQuestion asks a model server for its current start.
type StartQuestion struct {
	// Start is the known one.
	Start   inventory.Start
	Address string
	// Admission is that of the request which waits for the answer, for a server that limits its requests.
	Admission AdmissionRequest
	// Admitted is the grant of the question, if one was taken before.
	Admitted AdmissionDecision
}

// StartOutcome says what became of a question for a server's current start.
type StartOutcome string

const (
	// StartTold: the server told its start, or does not tell any.
	StartTold StartOutcome = "told"
	// StartServerDown: nothing listens at the server's address.
	StartServerDown StartOutcome = "down"
	// StartUnanswered: the server was asked and did not answer, or could not be reached.
	StartUnanswered StartOutcome = "unanswered"
	// StartNotAdmitted: the server was not asked, since its limits do not admit the question now.
	StartNotAdmitted StartOutcome = "not_admitted"
)

// StartAnswer is the answer to a question for a server's current start.
type StartAnswer struct {
	Outcome StartOutcome
	// Start is what the server told; StartedAtMs is 0 if it does not say.
	Start inventory.Start
	// RetryAfter is when a question that was not admitted may be.
	RetryAfter time.Duration
}

// tells reports whether the server told that it is the start, or does not tell any.
func (a StartAnswer) tells(start inventory.Start) bool {
	return a.Outcome == StartTold && (a.Start.StartedAtMs == 0 || a.Start == start)
}

// startCheckTimeout bounds the question to a server for its current start.
const startCheckTimeout = 200 * time.Millisecond

const (
	// maxQuestionWait bounds the time for which a question waits to be admitted, and minQuestionPause is the
	// least time between two tries.
	maxQuestionWait  = time.Second
	minQuestionPause = 10 * time.Millisecond
)

// originCertainty says whether the start that was recorded for a stream wrote its first events.
type originCertainty int

const (
	originCertain originCertainty = iota + 1
	// originDoubtful: another start may have written them, and that will not become known.
	originDoubtful
	// originUnsettled: it is not known yet, and is once VersionSettleTime has passed.
	originUnsettled
)

// checkOrigin finds out whether the start that was recorded for a stream wrote its first events. Within the
// time in which a later start of the server may not be known yet, the server itself is asked: if it has
// started again, either start may have written them. A server that is down has not, unless it only seems to
// be from here.
func (x *exchange) checkOrigin(entry origins.Entry) originCertainty {
	if x.isOriginSettled(entry) {
		return originCertain
	}
	address, ok := x.addressOf(entry.Server)
	if !ok {
		return originCertain
	}
	start := entry.Server
	answer := x.awaitCurrentStart(StartQuestion{Start: start, Address: address, Admission: x.admissionRequest()})
	x.originCheck = answer.Outcome
	switch {
	case answer.tells(start), originSettlesIn(entry) <= 0:
		return originCertain
	case answer.Outcome == StartServerDown && x.reachesOthers(start.ID):
		return originCertain
	case answer.Outcome == StartTold:
		return originDoubtful
	default:
		return originUnsettled
	}
}

// isOriginSettled reports whether it is known that the recorded start began the stream: it was seen alive
// since, or a later start would be known by now. Of an origin without a start nothing more becomes known.
func (x *exchange) isOriginSettled(entry origins.Entry) bool {
	return entry.Server.ID == "" || entry.IsCertain || x.handler.options.CurrentStart == nil || originSettlesIn(entry) <= 0 ||
		!x.handler.options.LiveStarts.AliveAt(entry.Server).Before(entry.RecordedAt)
}

// originSettlesIn is the time after which a later start of the origin's server would be known.
func originSettlesIn(entry origins.Entry) time.Duration {
	return dispatch.VersionSettleTime - clock.Since(entry.RecordedAt)
}

// awaitCurrentStart asks a server for its current start, and waits until that is admitted if it soon is.
func (x *exchange) awaitCurrentStart(question StartQuestion) StartAnswer {
	for began := clock.Now(); ; {
		answer := x.askCurrentStart(question)
		pause := max(answer.RetryAfter, minQuestionPause)
		if answer.Outcome != StartNotAdmitted || clock.Since(began)+pause > maxQuestionWait || clock.Until(x.deadline) <= pause {
			return answer
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-x.ctx.Done():
			timer.Stop()
			return answer
		}
	}
}

// confirmOrigin asks the server that wrote the first event, which was passed on before, whether it is
// still the start that was chosen, and records that. It need not be where one software version serves,
// and is not done at the expense of a server that bounds its requests.
func (x *exchange) confirmOrigin(choice dispatch.Choice) {
	if x.isOriginConfirmed.Load() || x.isResumption || x.forwarded != nil || x.route.RetryPolicy != routetable.RetryResume || !x.needsModel || x.handler.options.CurrentStart == nil || x.servesOneVersion() {
		return
	}
	start := choice.Attempt.Start()
	if x.isRateLimited(start) {
		return
	}
	origin, confirmed := *x.origin, x.originEntry(*x.origin)
	go func() {
		answer := x.askCurrentStart(StartQuestion{Start: start, Address: choice.Address, Admission: x.admissionRequest()})
		if answer.Outcome != StartTold || answer.Start != start || origin.SoftwareVersion == "" {
			return
		}
		x.isOriginConfirmed.Store(true)
		confirmed.IsCertain = true
		x.handler.options.Origins.Record(confirmed)
	}()
}

// askCurrentStart asks a server for its current start.
func (x *exchange) askCurrentStart(question StartQuestion) StartAnswer {
	ctx, cancel := context.WithTimeout(x.ctx, startCheckTimeout)
	defer cancel()
	return x.handler.options.CurrentStart(ctx, question)
}

// mustConfirmStart reports whether the server that goes on with the stream has to tell its start before
// any event is passed on. It need not where one software version serves.
func (x *exchange) mustConfirmStart() bool { return x.mayAskStart() && !x.servesOneVersion() }

// mayAskStart reports whether the stream goes on at a server that can be asked for its start.
func (x *exchange) mayAskStart() bool {
	return x.isGoingOn() && x.needsModel && x.handler.options.CurrentStart != nil
}

// takeLiveConn takes an idle connection at whose other end the chosen start is, if the stream may go on only
// there: the server need not be asked then. It returns nil if there is none.
func (x *exchange) takeLiveConn(choice dispatch.Choice) *backendconn.Conn {
	if !x.mustConfirmStart() {
		return nil
	}
	aliveAt := x.handler.options.LiveStarts.AliveAt(choice.Attempt.Start())
	if aliveAt.IsZero() {
		return nil
	}
	return x.handler.options.Pool.GetIdle(choice.Address, x.head.RequestID, aliveAt)
}

// isStartKnown reports whether the chosen start is the one that answered on the connection of the attempt.
func (x *exchange) isStartKnown(choice dispatch.Choice) bool {
	return x.handler.options.LiveStarts.Answers(choice.Attempt.Start(), x.connOpenedAt, x.sentAt)
}

// isStartConfirmed reports whether the server that is about to go on with a stream is still the start
// that was chosen. Of a server that started again under its ID nobody may know yet, so the server itself
// is asked, after the head of its response and before any event, unless the connection tells.
func (x *exchange) isStartConfirmed(choice dispatch.Choice) bool {
	switch {
	case !x.mayAskStart() || x.isStartKnown(choice):
		return true
	case !x.mustConfirmStart():
		return !x.hasStartedAgain(choice.Attempt.Start(), choice.Address)
	}
	start, admitted := choice.Attempt.Start(), x.startQuestion
	x.startQuestion = AdmissionDecision{}
	return x.askCurrentStart(StartQuestion{Start: start, Address: choice.Address, Admission: x.admissionRequest(), Admitted: admitted}).tells(start)
}

// hasStartedAgain reports whether the server tells another start than the known one. Nobody may know of that yet, nor
// that a second software version serves. A server that bounds its requests is not asked, and one that does not answer
// is believed.
func (x *exchange) hasStartedAgain(start inventory.Start, address string) bool {
	if start.StartedAtMs == 0 || x.isRateLimited(start) {
		return false
	}
	answer := x.askCurrentStart(StartQuestion{Start: start, Address: address, Admission: x.admissionRequest()})
	return answer.Outcome == StartTold && !answer.tells(start)
}

// mayBeOfLaterStart reports whether another start than the recorded one may have begun the stream, where one software
// version serves as far as the nodes know.
func (x *exchange) mayBeOfLaterStart(entry origins.Entry) bool {
	if x.isOriginSettled(entry) {
		return false
	}
	address, ok := x.addressOf(entry.Server)
	return ok && x.hasStartedAgain(entry.Server, address)
}

// isRateLimited reports whether the server bounds its requests.
func (x *exchange) isRateLimited(start inventory.Start) (isLimited bool) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { _, isLimited = core.RateLimit(start) })
	return isLimited
}

// addressOf returns the address of the server; ok is false if it is not known.
func (x *exchange) addressOf(start inventory.Start) (address string, ok bool) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { address, ok = core.Address(start.ID) })
	return address, ok
}

// markVersionUncertain records that a response of the server broke off: it may have started again.
func (x *exchange) markVersionUncertain(choice dispatch.Choice) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.MarkVersionUncertain(clock.Now(), choice.ServerID) })
}
