package requestpath

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// call is what a caller asks for, and what came of it.
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
	whole      bool
	refused    bool
	outcome    attempt.Outcome
	attempts   int
	tokens     int
	// lastToken is when the last one came, pause the longest time between two.
	lastToken time.Time
	pause     time.Duration
}

// met: the first token came in time and the answer was whole.
func (c *call) met() bool {
	return c.whole && !c.firstToken.IsZero() && !c.firstToken.After(c.deadline)
}

func (c *call) engineRequest(number, from, priority int) engine.Request {
	return engine.Request{
		ID: c.id, Attempt: number, Priority: priority, Model: model, PromptHash: c.number,
		PromptTokens: c.promptTokens, From: from, MaxTokens: c.answerTokens,
	}
}

// leg is one back end's part in a request.
type leg struct {
	ticket uint64
	server *server
	link   *connection
	opened time.Time
}

// request drives the attempt core of one call, as the gateway does.
type request struct {
	call  *call
	node  *node
	core  *attempt.Core
	alarm alarm

	leg
	// rival is the second leg of a hedged request.
	rival   *leg
	began   bool
	exclude []fleet.BackendName
}

func (r *request) start(seed uint64) {
	r.core = attempt.New(attempt.Options{RequestID: r.call.id, Deadline: r.call.deadline,
		Repeatable: true, Resumable: true, HedgeAfter: r.node.world.layout.hedgeAfter, Seed: seed})
	r.alarm = alarm{clock: &r.node.world.clock, want: r.wake, ring: func() { r.take(attempt.Tick{}) }}
	r.node.submit(r, attempt.Reassign{})
}

// wake bounds the present connection; the queue bounds the wait for one.
func (r *request) wake() time.Time {
	if r.link == nil {
		return time.Time{}
	}
	return r.core.NextWake()
}

func (r *request) take(message attempt.Message) {
	now := r.node.world.clock.now
	for _, effect := range slices.Clone(r.core.Step(now, message)) {
		switch effect := effect.(type) {
		case *attempt.Deliver:
			r.delivered(now)
		case attempt.Open:
			r.call.attempts++
			r.node.world.opened(now)
			request := r.call.engineRequest(effect.Attempt, len(effect.ContinueFrom), r.call.priority)
			submit := func(id engine.CallID) engine.Message { return engine.Submit{Call: id, Request: request} }
			if r.rival != nil {
				r.connect(r.rival, effect.Connection, submit)
				continue
			}
			r.began = false
			r.connect(&r.leg, effect.Connection, submit)
		case attempt.Resume:
			r.connect(&r.leg, effect.Connection, func(id engine.CallID) engine.Message {
				return engine.Resume{Call: id, Request: r.call.id, Attempt: effect.Attempt, From: effect.From}
			})
		case attempt.Cancel:
			target := r.node.world.server(effect.Backend)
			target.cancel(r.node.latency(target), r.call.id, effect.Attempt)
		case attempt.Hedge:
			r.node.hedge(r, effect.Exclude)
		case attempt.Drop:
			r.drop(effect)
		case attempt.Reassign:
			r.endAttempt()
			r.node.world.clock.after(effect.After, func() { r.node.submit(r, effect) })
		case attempt.Finish:
			r.endAttempt()
			r.call.ended, r.call.outcome = now, effect.Outcome
			r.call.whole = effect.Outcome == attempt.OutcomeOK
			r.call.refused = effect.Outcome == attempt.OutcomeNotRun
		}
	}
	r.alarm.arm()
}

func (r *request) connect(leg *leg, number int, build func(engine.CallID) engine.Message) {
	leg.opened = r.node.world.clock.now
	leg.link = &connection{reader: r, number: number, latency: r.node.latency(leg.server)}
	leg.server.call(leg.link, build)
}

// hedged has a second back end, which is given back if it is not needed.
func (r *request) hedged(ticket uint64, server *server) {
	r.rival = &leg{ticket: ticket, server: server}
	r.take(attempt.HedgeAssigned{Backend: server.backend.Name})
	if r.rival != nil && r.rival.link == nil {
		r.rival = nil
		r.node.ended(ticket, routing.ResultAbandoned)
	}
}

// drop ends one of two legs; the other one is the request's from now on.
func (r *request) drop(drop attempt.Drop) {
	dropped := *r.rival
	if r.link.number == drop.Connection {
		dropped, r.leg = r.leg, *r.rival
	}
	r.rival = nil
	result := routing.ResultAbandoned
	if drop.Failure.Evidence != 0 {
		result = resultOf(drop.Failure)
	}
	r.node.ended(dropped.ticket, result)
}

func (r *request) delivered(now time.Time) {
	if r.call.firstToken.IsZero() {
		r.call.firstToken = now
	}
	if r.call.tokens > 0 {
		r.call.pause = max(r.call.pause, now.Sub(r.call.lastToken))
	}
	r.call.lastToken = now
	r.call.tokens++
	if !r.began {
		r.began = true
		r.node.began(r.ticket, now.Sub(r.opened))
	}
}

func (r *request) endAttempt() {
	r.link = nil
	if r.ticket == 0 {
		return
	}
	r.node.ended(r.ticket, resultOf(r.core.LastFailure()))
	r.ticket = 0
}

// resultOf is what the gateway tells routing.
func resultOf(last attempt.Failure) routing.Result {
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
