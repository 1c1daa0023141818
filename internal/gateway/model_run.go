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

// modelRun is the state of a model request.
type modelRun struct {
	*call
	route           catalog.ModelRoute
	header          backend.CompletionRequest
	body            backend.Body
	bytes           int64
	deadline        time.Time
	engineRequestID fleet.RequestID
	core            *attempt.Core
	response        *completionWriter
	prefix          []uint64
	poisonCheck     poisonCheck

	ticket       uint64
	limitCounted bool
	// deliveryErr is why the response could not be written.
	deliveryErr error
	// model and engine are those of the current attempt.
	model  fleet.ModelVersion
	engine fleet.Backend
	// isLimited is set if the engine reports a rate limit.
	isLimited bool
	openedAt  time.Time
	// firstTokenSent is set once the current attempt has produced a token.
	firstTokenSent bool
	connection     *connection
	// race is set while a hedged request waits for its first token.
	race         *race
	chunk        backend.Chunk
	attemptChunk attempt.Chunk
}

func newModelRun(c *call, route catalog.ModelRoute, body backend.Body, header backend.CompletionRequest,
	deadline time.Time, bytes int64) *modelRun {
	run := &modelRun{call: c, route: route, header: header, body: body, bytes: bytes, deadline: deadline}
	run.engineRequestID = fleet.RequestID(c.id)
	if !c.generatedID {
		// Callers may use one ID for two concurrent requests, which engines must
		// not confuse.
		run.engineRequestID = fleet.RequestID(fmt.Sprintf("%s~%08x", c.id, uint32(c.gateway.nextRandom())))
	}
	run.core = attempt.New(attempt.Options{
		RequestID:    run.engineRequestID,
		Deadline:     deadline,
		Repeatable:   true,
		Resumable:    true,
		StallTimeout: c.gateway.limits.StallTimeout,
		HedgeAfter:   c.gateway.limits.HedgeAfter,
		Seed:         c.gateway.nextRandom(),
	})
	run.response = newCompletionWriter(c, header, c.request.URL.Path == backend.PathChat)
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

// perform carries out the effects of one step. It returns the message that
// results from the blocking effect, if there was one.
func (r *modelRun) perform(effects []attempt.Effect) (next attempt.Message, finish *attempt.Finish) {
	for _, effect := range effects {
		if isWait(effect) && r.flush() != nil {
			next = attempt.CallerGone{}
			continue
		}
		switch effect := effect.(type) {
		case *attempt.Deliver:
			r.reportFirstToken()
			if err := r.response.writeToken(effect.Text); err != nil {
				next = r.deliveryFailed(err)
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

// isWait reports whether the effect waits for a back end.
func isWait(effect attempt.Effect) bool {
	switch effect.(type) {
	case attempt.Open, attempt.Resume, attempt.Reassign:
		return true
	}
	return false
}

// reportFirstToken reports each attempt's first token to the dispatcher once.
func (r *modelRun) reportFirstToken() {
	if r.firstTokenSent {
		return
	}
	r.firstTokenSent = true
	r.gateway.models.send(firstTokenReceived{ticket: r.ticket, latency: r.gateway.now().Sub(r.openedAt)})
}

// flush sends the tokens that have been written to the caller.
func (r *modelRun) flush() error {
	err := r.response.flush()
	if err != nil {
		r.deliveryErr = err
	}
	return err
}

// deliveryFailed tells the core that the caller no longer receives the response.
func (r *modelRun) deliveryFailed(err error) attempt.Message {
	r.deliveryErr = err
	return attempt.CallerGone{}
}

// cancel cancels the attempt at the engine in the background.
func (r *modelRun) cancel(cancel attempt.Cancel) {
	address := r.addressOf(cancel.Backend)
	r.gateway.background.Go(func() {
		_ = r.gateway.engineClient.Cancel(address, r.engineRequestID, cancel.Attempt)
	})
}

// assign waits for the back end of the next attempt.
func (r *modelRun) assign(reassign attempt.Reassign) attempt.Message {
	if !r.pause(reassign.After) {
		return attempt.CallerGone{}
	}
	if r.poisonCheck.isBarred() {
		return r.poisonCheck.refuseBarred()
	}
	retry := reassign.Exclude != nil
	replies := make(chan dispatchReply, 1)
	r.ticket = r.gateway.tickets.Add(1)
	r.gateway.models.send(submitModel{
		ticket: r.ticket, route: r.route, model: r.model, prefix: r.prefix, deadline: r.core.NextWake(), arrived: r.arrived,
		bytes: r.bytes, retry: retry, budgetExempt: reassign.BudgetExempt, exclude: slices.Clone(reassign.Exclude),
		colocationKey: r.poisonCheck.colocationKey(), reply: replies,
	})
	select {
	case reply := <-replies:
		return r.handleAssignment(reply, reassign)
	case <-r.request.Context().Done():
		r.gateway.models.send(abandon{ticket: r.ticket})
		r.ticket = 0
		return attempt.CallerGone{}
	}
}

func (r *modelRun) handleAssignment(reply dispatchReply, reassign attempt.Reassign) attempt.Message {
	if reply.refusal != nil {
		r.ticket = 0
		r.limitCounted = r.limitCounted || reply.refusal.code != codeRateLimited && reply.refusal.code != codeConcurrency
		return attempt.Unassigned{Code: reply.refusal.code, Detail: reply.refusal.detail, RetryAfter: reply.refusal.retryAfter}
	}
	r.limitCounted = true
	if retryIn, ok := r.gateway.admitToBackend(r.request.Context(), r.gateway.models, r.ticket, reply); !ok {
		return r.assignAnother(reply.model, reassign, retryIn)
	}
	if !r.poisonCheck.claimSend(r.request.Context()) {
		r.gateway.models.send(attemptEnded{ticket: r.ticket, result: routing.ResultAbandoned})
		r.ticket = 0
		return unassignedBarred
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

// assignAnother waits for a back end again, since the one that was picked is at its rate limit: another one, or
// the same one later. If the wait would exceed the deadline the request is refused at once.
func (r *modelRun) assignAnother(model fleet.ModelVersion, reassign attempt.Reassign, retryIn time.Duration) attempt.Message {
	r.ticket = 0
	if !r.gateway.now().Add(retryIn).Before(r.core.NextWake()) {
		return rateLimited(retryIn)
	}
	r.model = model
	// The request already counts as an attempt and against its route's limits.
	return r.assign(attempt.Reassign{Exclude: append([]fleet.BackendName{}, reassign.Exclude...), BudgetExempt: true})
}

// pause waits before a retry; it reports false if the caller disconnected.
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
	r.closeConnection()
	if r.limitCounted {
		r.gateway.models.send(routeDone{route: r.route.Selector})
	}
}

// conclude ends the response: complete, or with an explicit error.
func (r *modelRun) conclude(finish attempt.Finish) {
	r.record.tokens = finish.Delivered
	r.record.attempts = finish.Attempts
	r.record.dropped = r.core.Dropped()
	r.gateway.metrics.tokens.Add(float64(finish.Delivered))
	if finish.Outcome == attempt.OutcomeOK {
		r.poisonCheck.recordSuccess()
		r.record.outcome, r.record.status = finish.Outcome, http.StatusOK
		if err := r.response.finish(finish); err != nil {
			r.deliveryErr = err
			r.response.fail(failure{status: statusCallerGone, code: attempt.CodeCallerGone, outcome: attempt.OutcomeFailed})
			r.record.detail = err.Error()
		}
		return
	}
	failure := newFailure(finish)
	switch {
	case context.Cause(r.request.Context()) == errDrainLimit:
		failure.code, failure.status, failure.detail = codeStopping, http.StatusServiceUnavailable, errDrainLimit.Error()
	case errors.Is(r.deliveryErr, errAnswerTooLarge):
		failure.code, failure.status, failure.detail = codeAnswerLarge, http.StatusBadGateway, errAnswerTooLarge.Error()
	case r.deliveryErr != nil:
		failure.detail = r.deliveryErr.Error()
	}
	r.record.detail = failure.detail
	r.response.fail(failure)
}
