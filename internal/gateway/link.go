package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// connection is one connection of an attempt, ended at the core's wake time.
type connection struct {
	number int
	stream *backend.Stream
	ctx    context.Context
	stop   context.CancelFunc
	// deadline is when the next chunk must have arrived, in Unix nanoseconds. Each
	// chunk moves it without resetting the timer, which checks it again when it
	// fires.
	deadline atomic.Int64
	// timerAt is when the timer fires, in Unix nanoseconds.
	timerAt  atomic.Int64
	timedOut atomic.Bool
	timer    *time.Timer
	now      func() time.Time
}

func newConnection(ctx context.Context, number int, deadline time.Time, now func() time.Time) *connection {
	created := &connection{number: number, now: now}
	created.ctx, created.stop = context.WithCancel(ctx)
	created.deadline.Store(deadline.UnixNano())
	created.timerAt.Store(deadline.UnixNano())
	created.timer = time.AfterFunc(max(0, deadline.Sub(now())), created.expire)
	return created
}

// setDeadline sets the deadline of the next chunk. The timer is reset only for an
// earlier time: the first token's deadline may be much later than the second's.
func (l *connection) setDeadline(deadline time.Time) {
	l.deadline.Store(deadline.UnixNano())
	if deadline.UnixNano() < l.timerAt.Load() {
		l.timerAt.Store(deadline.UnixNano())
		l.timer.Reset(deadline.Sub(l.now()))
	}
}

// expire ends the connection if the deadline has passed, otherwise it rearms the timer.
func (l *connection) expire() {
	remaining := time.Unix(0, l.deadline.Load()).Sub(l.now())
	if remaining > 0 {
		l.timerAt.Store(l.deadline.Load())
		l.timer.Reset(remaining)
		return
	}
	l.timedOut.Store(true)
	l.stop()
}

func (l *connection) close() {
	l.timer.Stop()
	l.stop()
	if l.stream != nil {
		l.stream.Close()
	}
}

func (r *modelRun) closeConnection() {
	if r.connection != nil {
		r.connection.close()
		r.connection = nil
	}
}

// open sends the request to the engine.
func (r *modelRun) open(open attempt.Open) attempt.Message {
	r.openedAt = r.gateway.now()
	r.firstTokenSent = false
	r.record.attempts = open.Attempt
	if r.race != nil && r.race.spare != nil {
		second := *r.race.spare
		r.race.spare = nil
		r.startRaceAttempt(second, open)
		return nil
	}
	if r.shouldRace(open) {
		r.race = &race{events: make(chan raceEvent)}
		r.startRaceAttempt(r.currentAssignment(), open)
		return nil
	}
	return r.connect(open.Connection, func(ctx context.Context) (*backend.Stream, error) {
		return r.gateway.engineClient.Open(ctx, r.engine.Address, r.generateRequest(open))
	})
}

// currentAssignment returns the back end of the current attempt.
func (r *modelRun) currentAssignment() assignment {
	return assignment{ticket: r.ticket, engine: r.engine, isLimited: r.isLimited}
}

func (r *modelRun) generateRequest(open attempt.Open) backend.GenerateRequest {
	return backend.GenerateRequest{
		RequestID: r.engineRequestID, Attempt: open.Attempt, Priority: r.route.Priority, Model: r.model,
		Adapter: r.route.Adapter, Path: r.request.URL.Path, Body: r.body, ContinueFrom: open.ContinueFrom,
	}
}

// resume asks the engine for the rest of the stream, unless its zone has been
// evacuated since or no longer lies in the allowed regions.
func (r *modelRun) resume(resume attempt.Resume) attempt.Message {
	if !r.gateway.mayUseZone(r.engine.Zone, r.gateway.modelRegions(r.route)) {
		return attempt.Failure{Connection: resume.Connection, Evidence: attempt.MaybeSent, NoResume: true,
			Detail: "the stream broke and its engine's zone may not be asked any more"}
	}
	r.record.resumes++
	r.gateway.metrics.resumes.Inc()
	return r.connect(resume.Connection, func(ctx context.Context) (*backend.Stream, error) {
		return r.gateway.engineClient.Resume(ctx, r.engine.Address, r.engineRequestID, resume.Attempt, resume.From)
	})
}

// connect replaces the connection. It returns nil once the stream is open. The
// previous connection is closed only then, since an engine treats a reader that
// disconnects as a cancel.
func (r *modelRun) connect(number int, open func(context.Context) (*backend.Stream, error)) attempt.Message {
	if previous := r.connection; previous != nil {
		defer previous.close()
	}
	r.connection = newConnection(r.request.Context(), number, r.core.NextWake(), r.gateway.now)
	sentAt := r.gateway.now()
	stream, err := open(r.connection.ctx)
	r.gateway.forwardHint(r.gateway.models, r.currentAssignment(), backend.HintOf(stream, err), sentAt)
	if err != nil {
		return r.connectionLost(err)
	}
	r.connection.stream = stream
	stream.BeforeWait(r.flush)
	return nil
}

// read waits for the next event of the stream.
func (r *modelRun) read() attempt.Message {
	if r.race != nil {
		if !r.race.decided {
			return r.awaitRace()
		}
		r.endRace()
	}
	r.connection.setDeadline(r.core.NextWake())
	err := r.connection.stream.Next(&r.chunk)
	if err == nil {
		r.attemptChunk = attempt.Chunk{Connection: r.connection.number, RequestID: r.chunk.RequestID, Attempt: r.chunk.Attempt,
			Sequence: r.chunk.Sequence, Text: r.chunk.Text, FinishReason: r.chunk.Finish}
		return &r.attemptChunk
	}
	if errors.Is(err, backend.ErrDone) {
		return attempt.Ended{Connection: r.connection.number, Terminated: true}
	}
	return r.connectionLost(err)
}

// connectionLost returns the message for the end of a connection.
func (r *modelRun) connectionLost(err error) attempt.Message {
	switch {
	case r.request.Context().Err() != nil, r.deliveryErr != nil:
		return attempt.CallerGone{}
	case r.connection.timedOut.Load():
		return attempt.Tick{}
	}
	cause := failureFromError(r.connection.number, err)
	r.poisonCheck.recordBreak(r.engine, cause)
	return cause
}

// failureFromError turns an error of the back end's client into an attempt.Failure.
func failureFromError(connection int, err error) attempt.Failure {
	result := attempt.Failure{Connection: connection, Evidence: attempt.MaybeSent, Detail: err.Error()}
	var refusal *backend.Refusal
	var send *backend.SendError
	switch {
	case errors.As(err, &refusal):
		result.Evidence = attempt.ErrorStatus
		if refusal.NotRun {
			result.Evidence = attempt.RefusedBeforeRun
		}
		result.Status = refusal.Status
		result.RetryAfter = refusal.RetryAfter
		result.Permanent = isCallerError(refusal.Status)
	case errors.As(err, &send) && send.NeverSent:
		result.Evidence = attempt.NeverSent
	}
	return result
}

// isCallerError reports statuses that every back end would return for the request.
func isCallerError(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// endAttempt reports to the dispatcher that the back end is free again.
func (r *modelRun) endAttempt() {
	r.endRace()
	r.closeConnection()
	if r.ticket == 0 {
		return
	}
	r.gateway.models.send(attemptEnded{ticket: r.ticket, result: r.result()})
	r.ticket = 0
}

func (r *modelRun) result() routing.Result {
	return routingResult(r.core.LastFailure(), r.request.Context().Err() != nil)
}

func routingResult(last attempt.Failure, abandoned bool) routing.Result {
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
