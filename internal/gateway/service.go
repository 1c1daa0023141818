package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"path"
	"slices"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// serveService serves a service call.
func (c *call) serveService(current Catalog) {
	c.record.kind = "service"
	route, found := current.ServiceRoute(c.request.Method, c.request.URL.Path)
	if !found {
		c.fail(newRefusal(http.StatusNotFound, codeNoRoute, fmt.Sprintf("nothing is served at %s", c.request.URL.Path)))
		return
	}
	c.record.route = route.Service
	if refused := c.admit(&c.gateway.serviceCalls); refused != nil {
		c.fail(*refused)
		return
	}
	run, failure := c.prepareService(route)
	if failure != nil {
		c.fail(*failure)
		return
	}
	if run.key != "" {
		run.serveKeyed()
		return
	}
	run.respond(run.call())
}

func (c *call) prepareService(route catalog.ServiceRoute) (*serviceRun, *failure) {
	key := c.request.Header.Get(backend.HeaderIdempotencyKey)
	if len(key) > c.gateway.limits.MaxKeyBytes {
		failed := newRefusal(http.StatusBadRequest, codeMalformed, "the Idempotency-Key is too long")
		return nil, &failed
	}
	deadline, failed := c.deadline(route.Deadline, c.gateway.limits.DefaultServiceDeadline)
	if failed != nil {
		return nil, failed
	}
	body, failed := c.readBody()
	if failed != nil {
		return nil, failed
	}
	if failed := c.chargeQuota(0, false); failed != nil {
		return nil, failed
	}
	route.Tenant = c.tenantName()
	run := &serviceRun{caller: c, route: route, key: key, body: body, deadline: deadline}
	run.poisonCheck = c.gateway.newPoisonCheck(poison.Identity{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.URL.RequestURI(), Caller: c.tenantName(), Body: body,
	})
	return run, nil
}

// serviceRun is the state of a service call.
type serviceRun struct {
	caller   *call
	route    catalog.ServiceRoute
	key      string
	body     []byte
	deadline time.Time

	poisonCheck poisonCheck

	// claimedAt is when the key was claimed from its keepers; zero without a key.
	claimedAt time.Time

	core         *attempt.Core
	ticket       uint64
	limitCounted bool
	target       fleet.Backend
	// isLimited is set if the target reports a rate limit. retryIn is set once a back end was at its rate
	// limit: the time until it accepts a request.
	isLimited bool
	retryIn   time.Duration
	result    *backend.ServiceAnswer
}

// serveKeyed makes the call only if the keepers of the Idempotency-Key grant it.
func (r *serviceRun) serveKeyed() {
	gateway := r.caller.gateway
	if gateway.options.Guard == nil {
		r.caller.fail(newRefusal(http.StatusServiceUnavailable, codeKeyNoMajority, "no keepers of keys are there").withRetryAfter(time.Second))
		return
	}
	ctx, stop := r.callContext()
	defer stop()
	// Two tenants may choose the same key.
	key := path.Join(r.route.Tenant, r.route.Service) + "/" + r.key
	r.claimedAt = gateway.now()
	decision := gateway.options.Guard.Acquire(ctx, claim.Request{Key: key, Fingerprint: r.fingerprint(), Window: r.window()})
	if decision.Verdict != claim.Granted {
		r.respondVerdict(decision)
		return
	}
	finish := r.call()
	r.complete(key, decision.Attempt, finish)
	r.respond(finish)
}

// window returns how long the key is kept. A call may still run when the route's
// window has passed; its key is kept until then.
func (r *serviceRun) window() time.Duration {
	return max(r.route.KeyWindow, r.deadline.Sub(r.claimedAt))
}

// mayStart reports whether the grant still covers a call that is sent now. The
// process may have been paused since the keepers answered, and they keep the
// key only for calls that start in time. The monotonic clock stands still while
// a machine is suspended, and the wall clock can be set, so both are checked.
func (r *serviceRun) mayStart() bool {
	if r.claimedAt.IsZero() {
		return true
	}
	now := r.caller.gateway.now()
	elapsed := max(now.Sub(r.claimedAt), now.Round(0).Sub(r.claimedAt.Round(0)))
	return elapsed < claim.StartTimeout
}

const (
	// completeTimeout limits reporting the end of an attempt to the keepers.
	completeTimeout = 2 * time.Second
	// completeGrace is how long the caller's response waits for that report, so that
	// a repeat shortly afterwards finds the stored response. Slower keepers do not
	// delay the response further.
	completeGrace = 100 * time.Millisecond
)

// complete reports the result of the attempt to the keepers.
func (r *serviceRun) complete(key, claimAttempt string, finish attempt.Finish) {
	gateway := r.caller.gateway
	outcome, stored := r.outcome(finish)
	done := make(chan struct{})
	gateway.background.Go(func() {
		defer close(done)
		ctx, stop := context.WithTimeout(context.Background(), completeTimeout)
		defer stop()
		gateway.options.Guard.Complete(ctx, key, claimAttempt, outcome, stored)
	})
	grace := time.NewTimer(completeGrace)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
}

func (r *serviceRun) fingerprint() []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %s\n", r.caller.request.Method, r.caller.request.URL.RequestURI())
	hash.Write(r.body)
	return hash.Sum(nil)
}

// outcome returns what is reported to the keepers.
func (r *serviceRun) outcome(finish attempt.Finish) (claim.Outcome, *claim.Answer) {
	switch {
	case finish.Outcome == attempt.OutcomeOK:
		answer := &claim.Answer{Status: r.result.Status, ContentType: r.result.ContentType, Body: r.result.Body}
		if len(answer.Body) > r.caller.gateway.limits.MaxStoredAnswerBytes {
			answer.Body, answer.BodyOmitted = nil, true
		}
		return claim.Ran, answer
	case finish.Outcome == attempt.OutcomeNotRun:
		return claim.NotRun, nil
	}
	return claim.Uncertain, nil
}

// respondVerdict responds to a call that was not granted.
func (r *serviceRun) respondVerdict(decision claim.Decision) {
	wait := max(decision.RetryAfter, time.Second)
	switch decision.Verdict {
	case claim.Done:
		r.respondStored(decision.Answer)
	case claim.InProgress:
		r.caller.fail(failure{status: http.StatusConflict, code: codeKeyInProgress,
			detail: "another call with this Idempotency-Key is in progress", outcome: attempt.OutcomeUnknown, retryAfter: wait})
	case claim.Mismatch:
		r.caller.fail(newRefusal(http.StatusUnprocessableEntity, codeKeyMismatch,
			"this Idempotency-Key was used with another request"))
	case claim.Unknown:
		r.caller.fail(failure{status: http.StatusConflict, code: codeKeyUnknown,
			detail: "a call with this Idempotency-Key was made and its outcome is not known", outcome: attempt.OutcomeUnknown})
	default:
		r.caller.fail(newRefusal(http.StatusServiceUnavailable, codeKeyNoMajority,
			"too few keepers of the key can be reached; nothing was sent").withRetryAfter(wait))
	}
}

func (r *serviceRun) respondStored(stored *claim.Answer) {
	if stored == nil || stored.BodyOmitted {
		r.caller.fail(failure{status: http.StatusConflict, code: codeKeyBodyGone, outcome: attempt.OutcomeOK,
			detail: "the call with this Idempotency-Key ran; its answer was too large to keep"})
		return
	}
	r.write(stored.Status, stored.ContentType, stored.Body)
}

// callContext limits the duration of the call. A non-repeatable call goes on when
// its caller disconnects, since its outcome must still be recorded.
func (r *serviceRun) callContext() (context.Context, context.CancelFunc) {
	ctx := r.caller.request.Context()
	if !r.route.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	remaining := r.deadline.Sub(r.caller.gateway.now())
	return context.WithTimeout(ctx, remaining)
}

// call drives the attempt core until the call is over.
func (r *serviceRun) call() attempt.Finish {
	defer r.release()
	r.core = attempt.New(attempt.Options{
		RequestID:  fleet.RequestID(r.caller.id),
		Deadline:   r.deadline,
		Repeatable: r.route.Repeatable,
		Seed:       r.caller.gateway.nextRandom(),
	})
	ctx, stop := r.callContext()
	defer stop()
	message := r.assign(ctx, attempt.Reassign{})
	for {
		next, finish := r.perform(ctx, r.core.Step(r.caller.gateway.now(), message))
		if finish != nil {
			r.caller.record.attempts = finish.Attempts
			return *finish
		}
		message = next
	}
}

func (r *serviceRun) perform(ctx context.Context, effects []attempt.Effect) (next attempt.Message, finish *attempt.Finish) {
	next = attempt.Tick{}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case attempt.Open:
			next = r.send(ctx, effect)
		case attempt.Reassign:
			r.endAttempt(ctx)
			next = r.assign(ctx, effect)
		case attempt.Finish:
			r.endAttempt(ctx)
			finish = &effect
		}
	}
	return next, finish
}

// send makes one attempt.
func (r *serviceRun) send(ctx context.Context, open attempt.Open) attempt.Message {
	request, sentAt := r.caller.request, r.caller.gateway.now()
	answer, err := r.caller.gateway.serviceClient.Call(ctx, r.target.Address, backend.ServiceCall{
		RequestID: fleet.RequestID(r.caller.id), Attempt: open.Attempt, Method: request.Method, Target: request.URL.RequestURI(),
		ContentType: request.Header.Get("Content-Type"), Accept: request.Header.Get("Accept"), Key: r.key, Body: r.body,
		Repeatable: r.route.Repeatable, MayStart: r.mayStart,
	})
	if err == nil && !r.isEndBelieved(ctx, answer) {
		err = errEndedWithServer
	}
	if err != nil {
		cause := failureFromError(open.Connection, err)
		if ctx.Err() != nil || !r.mayStart() {
			cause.Permanent = true
		}
		if ctx.Err() == nil {
			r.poisonCheck.recordBreak(r.target, cause)
		}
		return cause
	}
	r.caller.gateway.forwardHint(r.caller.gateway.services, assignment{ticket: r.ticket, engine: r.target, isLimited: r.isLimited}, answer.Hint, sentAt)
	if answer.NotRun || isUnavailable(answer.Status) && r.route.Repeatable {
		return failureFromAnswer(open.Connection, answer)
	}
	r.poisonCheck.recordSuccess()
	r.result = answer
	return attempt.Answered{Connection: open.Connection}
}

var errEndedWithServer = errors.New("the answer ended when its back end did")

// isEndBelieved reports whether the answer is whole. One that ends with its connection is not if its back end
// has ended as well: the kernel closes the connections of a process that was killed as if the process had done
// so. A back end that has announced its end may end behind its answer.
func (r *serviceRun) isEndBelieved(ctx context.Context, answer *backend.ServiceAnswer) bool {
	if !answer.EndedByClose || answer.NotRun {
		return true
	}
	gateway := r.caller.gateway
	ctx, cancel := context.WithTimeout(ctx, backendconn.AnswerProbeWait)
	defer cancel()
	if gateway.probes.ProbeAfterClose(ctx, r.target.Address) != backendconn.LivenessEnded {
		return true
	}
	_, isStaying := gateway.serverProcess(r.target)
	return !isStaying
}

// isUnavailable reports statuses after which a repeatable call is retried at
// another back end.
func isUnavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

func failureFromAnswer(connection int, answer *backend.ServiceAnswer) attempt.Failure {
	evidence := attempt.ErrorStatus
	if answer.NotRun {
		evidence = attempt.RefusedBeforeRun
	}
	return attempt.Failure{Connection: connection, Evidence: evidence, Status: answer.Status,
		RetryAfter: answer.RetryAfterDuration(), Detail: fmt.Sprintf("the back end answered %d", answer.Status)}
}

// assign waits for a back end.
func (r *serviceRun) assign(ctx context.Context, reassign attempt.Reassign) attempt.Message {
	timer := time.NewTimer(reassign.After)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return attempt.Unassigned{Code: attempt.CodeDeadline, Detail: "the deadline passed"}
	}
	if r.poisonCheck.isBarred() {
		return r.poisonCheck.refuseBarred()
	}
	replies := make(chan dispatchReply, 1)
	gateway := r.caller.gateway
	r.ticket = gateway.tickets.Add(1)
	gateway.services.send(submitCall{ticket: r.ticket, route: r.route, retry: reassign.Exclude != nil, budgetExempt: reassign.BudgetExempt,
		exclude: slices.Clone(reassign.Exclude), colocationKey: r.poisonCheck.colocationKey(), reply: replies})
	select {
	case answer := <-replies:
		return r.handleAssignment(ctx, answer, reassign)
	case <-ctx.Done():
		gateway.services.send(abandon{ticket: r.ticket})
		r.ticket = 0
		return attempt.Unassigned{Code: attempt.CodeDeadline, Detail: "the deadline passed"}
	}
}

func (r *serviceRun) handleAssignment(ctx context.Context, reply dispatchReply, reassign attempt.Reassign) attempt.Message {
	if refusal := reply.refusal; refusal != nil && r.retryIn > 0 {
		r.ticket = 0
		return rateLimited(r.retryIn)
	} else if refusal != nil {
		r.ticket = 0
		r.limitCounted = r.limitCounted || refusal.code != codeRateLimited && refusal.code != codeConcurrency
		return attempt.Unassigned{Code: refusal.code, Detail: refusal.detail, RetryAfter: refusal.retryAfter}
	}
	r.limitCounted = true
	if retryIn, ok := r.caller.gateway.admitToBackend(ctx, r.caller.gateway.services, r.ticket, reply); !ok {
		// Another back end may accept the call; this one is skipped until its rate limit allows a request.
		r.retryIn = retryIn
		return r.assign(ctx, attempt.Reassign{Exclude: append([]fleet.BackendName{}, reassign.Exclude...), BudgetExempt: true})
	}
	if !r.poisonCheck.claimSend(ctx) {
		r.caller.gateway.services.send(attemptEnded{ticket: r.ticket, result: routing.ResultAbandoned})
		r.ticket = 0
		return unassignedBarred
	}
	r.target, r.isLimited = reply.backend, reply.limit.IsSet()
	r.caller.record.backend = reply.backend.Name
	return attempt.Assigned{Backend: reply.backend.Name}
}

func (r *serviceRun) endAttempt(ctx context.Context) {
	if r.ticket == 0 {
		return
	}
	result := routingResult(r.core.LastFailure(), r.caller.request.Context().Err() != nil && ctx.Err() != nil)
	if r.result != nil {
		result = routing.ResultOK
	}
	r.caller.gateway.services.send(attemptEnded{ticket: r.ticket, result: result})
	r.ticket = 0
}

func (r *serviceRun) release() {
	if r.limitCounted {
		r.caller.gateway.services.send(routeDone{route: r.route.Service})
	}
}

// respond writes the back end's response, or a problem.
func (r *serviceRun) respond(finish attempt.Finish) {
	if finish.Outcome != attempt.OutcomeOK {
		r.caller.record.detail = finish.Detail
		r.caller.setAttemptHeaders()
		r.caller.fail(newFailure(finish))
		return
	}
	if r.result.Location != "" {
		r.caller.writer.Header().Set("Location", r.result.Location)
	}
	if r.result.RetryAfter != "" {
		r.caller.writer.Header().Set("Retry-After", r.result.RetryAfter)
	}
	if r.caller.request.Method == http.MethodHead && r.result.Length >= 0 {
		r.caller.writer.Header().Set("Content-Length", strconv.FormatInt(r.result.Length, 10))
	}
	r.write(r.result.Status, r.result.ContentType, r.result.Body)
}

func (r *serviceRun) write(status int, contentType string, body []byte) {
	c := r.caller
	c.record.outcome, c.record.status = attempt.OutcomeOK, status
	if contentType != "" {
		c.writer.Header().Set("Content-Type", contentType)
	}
	c.setAttemptHeaders()
	if c.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		c.extendWrite()
		c.writer.WriteHeader(status)
		return
	}
	c.writeWhole(status, body)
}
