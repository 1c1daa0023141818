package requestpath

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// call is a caller's request and its outcome.
type call struct {
	id           fleet.RequestID
	number       uint64
	priority     int
	promptTokens int
	answerTokens int
	arrived      time.Time
	deadline     time.Time

	firstToken time.Time
	ended      time.Time
	complete   bool
	refused    bool
	outcome    attempt.Outcome
	attempts   int
	tokens     int
	// lastTokenAt is when the last token came, longestGap the longest time between
	// two.
	lastTokenAt time.Time
	longestGap  time.Duration
}

// metDeadline reports whether the first token came in time and the answer was
// complete.
func (c *call) metDeadline() bool {
	return c.complete && !c.firstToken.IsZero() && !c.firstToken.After(c.deadline)
}

func (c *call) engineRequest(number, from, priority int) engine.Request {
	return engine.Request{
		ID: c.id, Attempt: number, Priority: priority, Model: model, PromptHash: c.number,
		PromptTokens: c.promptTokens, From: from, MaxTokens: c.answerTokens,
	}
}

// backendCall is an attempt's call to one back end.
type backendCall struct {
	ticket     uint64
	server     *server
	connection *connection
	opened     time.Time
}

// request runs the attempt core of one call, as the gateway does.
type request struct {
	call  *call
	node  *node
	core  *attempt.Core
	timer timer

	backendCall
	// hedge is the second back-end call of a hedged request.
	hedge   *backendCall
	began   bool
	exclude []fleet.BackendName
}

func (r *request) start(seed uint64) {
	r.core = attempt.New(attempt.Options{RequestID: r.call.id, Deadline: r.call.deadline,
		Repeatable: true, Resumable: true, HedgeAfter: r.node.simulation.topology.hedgeAfter, Seed: seed})
	r.timer = timer{clock: &r.node.simulation.clock, deadline: r.nextWake, callback: func() { r.receive(attempt.Tick{}) }}
	r.node.requestBackend(r, attempt.Reassign{})
}

// nextWake returns the attempt core's deadline while there is a connection; while
// the request waits for a back end, the queue enforces the deadline.
func (r *request) nextWake() time.Time {
	if r.connection == nil {
		return time.Time{}
	}
	return r.core.NextWake()
}

func (r *request) receive(message attempt.Message) {
	now := r.node.simulation.clock.now
	for _, effect := range slices.Clone(r.core.Step(now, message)) {
		switch effect := effect.(type) {
		case *attempt.Deliver:
			r.recordToken(now)
		case attempt.Open:
			r.call.attempts++
			r.node.simulation.recordAttempt(now)
			request := r.call.engineRequest(effect.Attempt, len(effect.ContinueFrom), r.call.priority)
			submit := func(id engine.CallID) engine.Message { return engine.Submit{Call: id, Request: request} }
			if r.hedge != nil {
				r.connect(r.hedge, effect.Connection, submit)
				continue
			}
			r.began = false
			r.connect(&r.backendCall, effect.Connection, submit)
		case attempt.Resume:
			r.connect(&r.backendCall, effect.Connection, func(id engine.CallID) engine.Message {
				return engine.Resume{Call: id, Request: r.call.id, Attempt: effect.Attempt, From: effect.From}
			})
		case attempt.Cancel:
			target := r.node.simulation.server(effect.Backend)
			target.cancel(r.node.latency(target), r.call.id, effect.Attempt)
		case attempt.Hedge:
			r.node.hedge(r, effect.Exclude)
		case attempt.Drop:
			r.drop(effect)
		case attempt.Reassign:
			r.endAttempt()
			r.node.simulation.clock.scheduleAfter(effect.After, func() { r.node.requestBackend(r, effect) })
		case attempt.Finish:
			r.endAttempt()
			r.call.ended, r.call.outcome = now, effect.Outcome
			r.call.complete = effect.Outcome == attempt.OutcomeOK
			r.call.refused = effect.Outcome == attempt.OutcomeNotRun
		}
	}
	r.timer.reset()
}

func (r *request) connect(target *backendCall, number int, build func(engine.CallID) engine.Message) {
	target.opened = r.node.simulation.clock.now
	target.connection = &connection{reader: r, number: number, latency: r.node.latency(target.server)}
	target.server.connect(target.connection, build)
}

// hedged takes the second back end, and releases it if it is no longer needed.
func (r *request) hedged(ticket uint64, server *server) {
	r.hedge = &backendCall{ticket: ticket, server: server}
	r.receive(attempt.HedgeAssigned{Backend: server.backend.Name})
	if r.hedge != nil && r.hedge.connection == nil {
		r.hedge = nil
		r.node.ended(ticket, routing.ResultAbandoned)
	}
}

// drop ends one of the two back-end calls and keeps the other.
func (r *request) drop(drop attempt.Drop) {
	dropped := *r.hedge
	if r.connection.number == drop.Connection {
		dropped, r.backendCall = r.backendCall, *r.hedge
	}
	r.hedge = nil
	result := routing.ResultAbandoned
	if drop.Failure.Evidence != 0 {
		result = routingResult(drop.Failure)
	}
	r.node.ended(dropped.ticket, result)
}

func (r *request) recordToken(now time.Time) {
	if r.call.firstToken.IsZero() {
		r.call.firstToken = now
	}
	if r.call.tokens > 0 {
		r.call.longestGap = max(r.call.longestGap, now.Sub(r.call.lastTokenAt))
	}
	r.call.lastTokenAt = now
	r.call.tokens++
	if !r.began {
		r.began = true
		r.node.firstToken(r.ticket, now.Sub(r.opened))
	}
}

func (r *request) endAttempt() {
	r.connection = nil
	if r.ticket == 0 {
		return
	}
	r.node.ended(r.ticket, routingResult(r.core.LastFailure()))
	r.ticket = 0
}

// routingResult returns the result that the gateway reports to routing.
func routingResult(last attempt.Failure) routing.Result {
	switch last.Evidence {
	case 0:
		return routing.ResultOK
	case attempt.NeverSent:
		return routing.ResultUnreachable
	case attempt.RefusedBeforeRun:
		return routing.ResultRefused
	}
	return routing.ResultFailed
}
