package relay

import (
	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// livesAfterClose reports whether the start that was chosen, which has closed its connection, lives.
func (x *exchange) livesAfterClose(choice dispatch.Choice) bool {
	switch x.checkStart(choice) {
	case startLives:
		return true
	case startSilent, startReplaced:
		return false
	default:
		return x.handler.options.Pool.ProbeAfterClose(x.ctx, choice.Address) == backendconn.LivenessAlive
	}
}

// startCheck is what is known of the start that was chosen, once it has closed a connection.
type startCheck int

const (
	// startUntold: the server was not asked, or does not tell starts.
	startUntold startCheck = iota
	startLives
	// startSilent: the server does not answer. What listens at its address may be another start, or a proxy.
	startSilent
	// startReplaced: another start answers at the address, and may not be the one that answered the request.
	startReplaced
)

// startQuestions is how often a server is asked for its start: a connection to an earlier one may be found dead.
const startQuestions = 2

// checkStart asks the server of the attempt for its current start: one that started again accepts connections
// at the same address.
func (x *exchange) checkStart(choice dispatch.Choice) startCheck {
	start := choice.Attempt.Start()
	if !x.needsModel || x.handler.options.CurrentStart == nil || start.StartedAtMs == 0 {
		return startUntold
	}
	question := StartQuestion{Start: start, Address: choice.Address, Admission: x.admissionRequest()}
	for range startQuestions {
		answer := x.askCurrentStart(question)
		switch {
		case answer.tells(start), answer.Outcome == StartTold && x.handler.options.LiveStarts.Answers(answer.Start, x.connOpenedAt, x.sentAt):
			return startLives
		case answer.Outcome == StartTold:
			return startReplaced
		case answer.Outcome == StartNotAdmitted:
			return x.knownReplacement(start)
		case answer.Outcome == StartServerDown:
			return startSilent
		}
	}
	return startSilent
}

// knownReplacement is what the server's entry tells where the server is not asked.
func (x *exchange) knownReplacement(start inventory.Start) (check startCheck) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		if core.KnowsOtherStart(start) {
			check = startReplaced
		}
	})
	return check
}
