package world

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// request drives the attempt core of one call in the same way as the gateway.
type request struct {
	part    *requestsPart
	call    *call
	core    *attempt.Core
	waker   *sim.Waker
	arrived time.Time
	// ticket identifies the current attempt to queue and routing; 0 if there is
	// none.
	ticket       uint64
	pickFailures int
	exclude      []fleet.BackendName
	engine       *engineProcess
	link         *link
	opened       time.Time
	// began is set once the current attempt has delivered a token.
	began     bool
	abandoned bool
	over      bool
}

// serveCall starts serving a call; the call is notified of its end.
func (p *requestsPart) serveCall(call *call) {
	now := p.node.process.Now()
	r := &request{part: p, call: call, arrived: now}
	r.core = attempt.New(attempt.Options{
		RequestID: call.id, Deadline: now.Add(call.patience), Repeatable: true, Resumable: true,
		Seed: call.seed, Defects: p.node.world.config.Defects.Attempt,
	})
	r.waker = sim.NewWaker(p.node.process, func() {
		if r.link != nil {
			r.step(attempt.Tick{})
		}
	})
	p.running = append(p.running, r)
	call.request = r
	p.submit(r, attempt.Reassign{})
}

// post steps the core after the current event.
func (r *request) post(message attempt.Message) {
	r.part.node.post(func() { r.step(message) })
}

func (r *request) step(message attempt.Message) {
	if r.over {
		return
	}
	now := r.part.node.process.Now()
	for _, effect := range slices.Clone(r.core.Step(now, message)) {
		r.perform(now, effect)
	}
	if !r.over && r.link != nil {
		r.waker.Set(r.core.NextWake())
	}
}

func (r *request) perform(now time.Time, effect attempt.Effect) {
	switch effect := effect.(type) {
	case *attempt.Deliver:
		r.call.token(effect.Text)
		if !r.began {
			r.began = true
			r.part.firstToken(r.ticket, now.Sub(r.opened))
		}
	case attempt.Open:
		r.opened, r.began = now, false
		engineRequest := r.call.engineRequest(effect.Attempt, len(effect.ContinueFrom))
		r.connect(effect.Connection, "engine/submit", func(id engine.CallID) engine.Message {
			return engine.Submit{Call: id, Request: engineRequest}
		})
	case attempt.Resume:
		r.part.node.world.count("resumed")
		r.connect(effect.Connection, "engine/resume", func(id engine.CallID) engine.Message {
			return engine.Resume{Call: id, Request: r.call.id, Attempt: effect.Attempt, From: effect.From}
		})
	case attempt.Cancel:
		r.cancel(effect)
	case attempt.Reassign:
		r.part.node.world.count("reassigned")
		r.endAttempt()
		r.reassign(effect)
	case attempt.Finish:
		r.endAttempt()
		r.over = true
		r.part.running = slices.DeleteFunc(r.part.running, func(other *request) bool { return other == r })
		r.call.finished(effect)
	}
}

// reassign requests another back end after the delay of the effect. It copies
// the exclusions, which are valid only until the next step of the core.
func (r *request) reassign(effect attempt.Reassign) {
	effect.Exclude = slices.Clone(effect.Exclude)
	boot := r.part.node.process.Boot()
	r.part.node.world.scheduler.After(effect.After, func() {
		r.part.node.process.Do(boot, func() {
			if !r.over {
				r.part.submit(r, effect)
			}
		})
	})
}

// callerGone handles that the caller has disconnected.
func (r *request) callerGone() {
	if r.over {
		return
	}
	r.abandoned = true
	r.part.abandon(r)
	r.step(attempt.CallerGone{})
}

func (r *request) endAttempt() {
	r.close()
	if r.ticket == 0 {
		return
	}
	r.part.attemptEnded(r.ticket, r.result())
	r.ticket = 0
}

// result returns the result of the attempt that the gateway reports to routing.
func (r *request) result() routing.Result {
	return resultOf(r.core.LastFailure(), r.abandoned)
}

func resultOf(last attempt.Failure, abandoned bool) routing.Result {
	switch {
	case abandoned:
		return routing.ResultAbandoned
	case last.Evidence == 0 || last.Permanent:
		return routing.ResultOK
	case last.Evidence == attempt.NeverSent:
		return routing.ResultUnreachable
	case last.Evidence == attempt.RefusedBeforeRun:
		return routing.ResultRefused
	}
	return routing.ResultFailed
}
