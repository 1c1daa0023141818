package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// modelRun is a model request on its way.
type modelRun struct {
	*call
	route     catalog.ModelRoute
	header    backend.CompletionRequest
	body      backend.Body
	bytes     int64
	deadline  time.Time
	engineID  fleet.RequestID
	core      *attempt.Core
	answer    *answer
	prefix    []uint64
	suspicion suspicion

	ticket  uint64
	counted bool
	// undeliverable is why the answer could not be handed on.
	undeliverable error
	// model and engine are those of the present attempt.
	model  fleet.ModelVersion
	engine fleet.Backend
	// isLimited is set where the engine names a rate limit.
	isLimited bool
	opened    time.Time
	// began is set once the present attempt has brought a token.
	began bool
	link  *link
	// race is set while a hedged request waits for its first token.
	race  *race
	chunk backend.Chunk
	piece attempt.Chunk
}

func newModelRun(c *call, route catalog.ModelRoute, body backend.Body, header backend.CompletionRequest,
	deadline time.Time, bytes int64) *modelRun {
	run := &modelRun{call: c, route: route, header: header, body: body, bytes: bytes, deadline: deadline}
	run.engineID = fleet.RequestID(c.id)
	if !c.ownID {
		// Callers may use an identity twice at a time; engines must not mix
		// up the two.
		run.engineID = fleet.RequestID(fmt.Sprintf("%s~%08x", c.id, uint32(c.gateway.nextRandom())))
	}
	run.core = attempt.New(attempt.Options{
		RequestID:    run.engineID,
		Deadline:     deadline,
		Repeatable:   true,
		Resumable:    true,
		StallTimeout: c.gateway.limits.StallTimeout,
		HedgeAfter:   c.gateway.limits.HedgeAfter,
		Seed:         c.gateway.nextRandom(),
	})
	run.answer = newAnswer(c, header, c.request.URL.Path == backend.PathChat)
	return run
}

// serve drives the attempt core until the request is over.
func (r *modelRun) serve() {
	defer r.release()
	message := r.assign(attempt.Reassign{})
	for {
		next, finish := r.perform(r.core.Step(r.gateway.now(), message))
		if finish != nil {
			r.conclude(*finish)
			return
		}
		message = next
		if message == nil {
			message = r.read()
		}
	}
}

// perform carries out the effects of one step. It returns the answer of the
// effect that waits for something, if there was one.
func (r *modelRun) perform(effects []attempt.Effect) (next attempt.Message, finish *attempt.Finish) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case *attempt.Deliver:
			r.reportBegan()
			if err := r.answer.token(effect.Text); err != nil {
				next = r.undelivered(err)
			}
		case attempt.Open:
			next = r.open(effect)
		case attempt.Resume:
			next = r.resume(effect)
		case attempt.Cancel:
			r.cancel(effect)
		case attempt.Hedge:
			r.hedge(effect)
		case attempt.Drop:
			r.drop(effect)
		case attempt.Reassign:
			r.endAttempt()
			next = r.assign(effect)
		case attempt.Finish:
			r.endAttempt()
			finish = &effect
		}
	}
	return next, finish
}

// reportBegan tells the dispatcher once of each attempt's first token.
func (r *modelRun) reportBegan() {
	if r.began {
		return
	}
	r.began = true
	r.gateway.models.send(attemptBegan{ticket: r.ticket, after: r.gateway.now().Sub(r.opened)})
}

// undelivered tells the core that the caller takes no more.
func (r *modelRun) undelivered(err error) attempt.Message {
	r.undeliverable = err
	return attempt.CallerGone{}
}

// cancel tells the engine, without making the caller wait.
func (r *modelRun) cancel(cancel attempt.Cancel) {
	address := r.addressOf(cancel.Backend)
	r.gateway.background.Go(func() {
		_ = r.gateway.generator.Cancel(address, r.engineID, cancel.Attempt)
	})
}

// assign waits for the back end of the next attempt.
func (r *modelRun) assign(reassign attempt.Reassign) attempt.Message {
	if !r.pause(reassign.After) {
		return attempt.CallerGone{}
	}
	if r.suspicion.isBarred() {
		return r.suspicion.refuse()
	}
	retry := reassign.Exclude != nil
	answer := make(chan reply, 1)
	r.ticket = r.gateway.tickets.Add(1)
	r.gateway.models.send(submit{
		ticket: r.ticket, route: r.route, model: r.model, prefix: r.prefix, deadline: r.core.NextWake(), arrived: r.arrived,
		bytes: r.bytes, retry: retry, unspent: reassign.BudgetExempt, exclude: slices.Clone(reassign.Exclude),
		together: r.suspicion.together(), reply: answer,
	})
	select {
	case reply := <-answer:
		return r.assigned(reply, reassign)
	case <-r.request.Context().Done():
		r.gateway.models.send(abandon{ticket: r.ticket})
		r.ticket = 0
		return attempt.CallerGone{}
	}
}

func (r *modelRun) assigned(reply reply, reassign attempt.Reassign) attempt.Message {
	if reply.refusal != nil {
		r.ticket = 0
		r.counted = r.counted || reply.refusal.code != codeRateLimited && reply.refusal.code != codeConcurrency
		return attempt.Unassigned{Code: reply.refusal.code, Detail: reply.refusal.detail, RetryAfter: reply.refusal.retryAfter}
	}
	r.counted = true
	if retryIn, ok := r.gateway.admits(r.request.Context(), r.gateway.models, r.ticket, reply); !ok {
		return r.assignAgain(reply.model, reassign, retryIn)
	}
	if !r.suspicion.mayBeSent(r.request.Context()) {
		r.gateway.models.send(attemptEnded{ticket: r.ticket, result: routing.ResultAbandoned})
		r.ticket = 0
		return refusalBarred
	}
	r.model, r.engine, r.isLimited = reply.model, reply.backend, reply.limit.IsSet()
	r.record.model, r.record.backend = reply.model, reply.backend.Name
	if reassign.Exclude == nil {
		r.record.waited = reply.waited
		r.gateway.metrics.queueWait.Observe(reply.waited.Seconds())
	}
	r.record.cold = r.record.cold || reply.cold
	return attempt.Assigned{Backend: reply.backend.Name}
}

// assignAgain waits for a back end anew, as the one that was found takes no more for now: another one,
// or that one once it does. Who would have to wait beyond the deadline is refused at once.
func (r *modelRun) assignAgain(model fleet.ModelVersion, reassign attempt.Reassign, retryIn time.Duration) attempt.Message {
	r.ticket = 0
	if !r.gateway.now().Add(retryIn).Before(r.core.NextWake()) {
		return rateLimited(retryIn)
	}
	r.model = model
	// It is counted already, as an attempt and against its route.
	return r.assign(attempt.Reassign{Exclude: append([]fleet.BackendName{}, reassign.Exclude...), BudgetExempt: true})
}

// pause waits before a retry; it reports false when the caller went away.
func (r *modelRun) pause(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.request.Context().Done():
		return false
	}
}

func (r *modelRun) release() {
	r.closeLink()
	if r.counted {
		r.gateway.models.send(routeDone{route: r.route.Selector})
	}
}

// conclude ends the caller's answer: whole, or with an explicit error.
func (r *modelRun) conclude(finish attempt.Finish) {
	r.record.tokens = finish.Delivered
	r.record.attempts = finish.Attempts
	r.record.dropped = r.core.Dropped()
	r.gateway.metrics.tokens.Add(float64(finish.Delivered))
	if finish.Outcome == attempt.OutcomeOK {
		r.suspicion.endedWell()
		r.record.outcome, r.record.status = finish.Outcome, http.StatusOK
		if err := r.answer.finish(finish); err != nil {
			r.undeliverable = err
			r.answer.fail(failure{status: statusCallerGone, code: attempt.CodeCallerGone, outcome: attempt.OutcomeFailed})
			r.record.detail = err.Error()
		}
		return
	}
	failure := failureOf(finish)
	switch {
	case context.Cause(r.request.Context()) == errCut:
		failure.code, failure.status, failure.detail = codeStopping, http.StatusServiceUnavailable, errCut.Error()
	case errors.Is(r.undeliverable, errAnswerTooLarge):
		failure.code, failure.status, failure.detail = codeAnswerLarge, http.StatusBadGateway, errAnswerTooLarge.Error()
	case r.undeliverable != nil:
		failure.detail = r.undeliverable.Error()
	}
	r.record.detail = failure.detail
	r.answer.fail(failure)
}
