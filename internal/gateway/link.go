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

// link is one connection of an attempt, bounded by the core's wake time.
type link struct {
	number int
	stream *backend.Stream
	ctx    context.Context
	stop   context.CancelFunc
	// wake is when the next chunk must be there, in Unix nanoseconds. It is
	// moved on with each chunk without touching the timer, which looks again
	// when it fires.
	wake atomic.Int64
	// timerAt is when the timer fires, in Unix nanoseconds.
	timerAt atomic.Int64
	late    atomic.Bool
	timer   *time.Timer
	now     func() time.Time
}

func newLink(ctx context.Context, number int, wake time.Time, now func() time.Time) *link {
	created := &link{number: number, now: now}
	created.ctx, created.stop = context.WithCancel(ctx)
	created.wake.Store(wake.UnixNano())
	created.timerAt.Store(wake.UnixNano())
	created.timer = time.AfterFunc(max(0, wake.Sub(now())), created.expire)
	return created
}

// setWake bounds the next chunk. Only a time before the timer's needs the timer:
// the first token's deadline may be far beyond the bound of the second.
func (l *link) setWake(at time.Time) {
	l.wake.Store(at.UnixNano())
	if at.UnixNano() < l.timerAt.Load() {
		l.timerAt.Store(at.UnixNano())
		l.timer.Reset(at.Sub(l.now()))
	}
}

// expire ends the connection once the wake time has truly come.
func (l *link) expire() {
	left := time.Unix(0, l.wake.Load()).Sub(l.now())
	if left > 0 {
		l.timerAt.Store(l.wake.Load())
		l.timer.Reset(left)
		return
	}
	l.late.Store(true)
	l.stop()
}

func (l *link) close() {
	l.timer.Stop()
	l.stop()
	if l.stream != nil {
		l.stream.Close()
	}
}

func (r *modelRun) closeLink() {
	if r.link != nil {
		r.link.close()
		r.link = nil
	}
}

// open sends the request to the engine.
func (r *modelRun) open(open attempt.Open) attempt.Message {
	r.opened = r.gateway.now()
	r.began = false
	r.record.attempts = open.Attempt
	if r.race != nil && r.race.spare != nil {
		second := *r.race.spare
		r.race.spare = nil
		r.startLeg(second, open)
		return nil
	}
	if r.mayRace(open) {
		r.race = &race{events: make(chan raceEvent)}
		r.startLeg(r.leg(), open)
		return nil
	}
	return r.connect(open.Connection, func(ctx context.Context) (*backend.Stream, error) {
		return r.gateway.generator.Open(ctx, r.engine.Address, r.generateRequest(open))
	})
}

// leg is the back end of the present attempt.
func (r *modelRun) leg() leg { return leg{ticket: r.ticket, engine: r.engine, isLimited: r.isLimited} }

func (r *modelRun) generateRequest(open attempt.Open) backend.GenerateRequest {
	return backend.GenerateRequest{
		RequestID: r.engineID, Attempt: open.Attempt, Priority: r.route.Priority, Model: r.model,
		Adapter: r.route.Adapter, Path: r.request.URL.Path, Body: r.body, ContinueFrom: open.ContinueFrom,
	}
}

// resume asks the engine for the rest, unless its zone was evacuated meanwhile, or lies
// no more in the regions allowed.
func (r *modelRun) resume(resume attempt.Resume) attempt.Message {
	if !r.gateway.mayAsk(r.engine.Zone, r.gateway.modelRegions(r.route)) {
		return attempt.Failure{Connection: resume.Connection, Evidence: attempt.MaybeSent, NoResume: true,
			Detail: "the stream broke and its engine's zone may not be asked any more"}
	}
	r.record.resumes++
	r.gateway.metrics.resumes.Inc()
	return r.connect(resume.Connection, func(ctx context.Context) (*backend.Stream, error) {
		return r.gateway.generator.Resume(ctx, r.engine.Address, r.engineID, resume.Attempt, resume.From)
	})
}

// connect replaces the link. It returns nil once the stream is open. The former
// link is closed only then: to an engine, a reader that leaves is a cancel.
func (r *modelRun) connect(number int, open func(context.Context) (*backend.Stream, error)) attempt.Message {
	if former := r.link; former != nil {
		defer former.close()
	}
	r.link = newLink(r.request.Context(), number, r.core.NextWake(), r.gateway.now)
	sentAt := r.gateway.now()
	stream, err := open(r.link.ctx)
	r.gateway.receiveHint(r.gateway.models, r.leg(), backend.HintOf(stream, err), sentAt)
	if err != nil {
		return r.lost(err)
	}
	r.link.stream = stream
	r.answer.more = stream.Buffered
	return nil
}

// read waits for the next event of the stream.
func (r *modelRun) read() attempt.Message {
	if r.race != nil {
		if !r.race.decided {
			return r.wait()
		}
		r.leaveRace()
	}
	r.link.setWake(r.core.NextWake())
	err := r.link.stream.Next(&r.chunk)
	if err == nil {
		r.piece = attempt.Chunk{Connection: r.link.number, RequestID: r.chunk.RequestID, Attempt: r.chunk.Attempt,
			Sequence: r.chunk.Sequence, Text: r.chunk.Text, FinishReason: r.chunk.Finish}
		return &r.piece
	}
	if errors.Is(err, backend.ErrDone) {
		return attempt.Ended{Connection: r.link.number, Terminated: true}
	}
	return r.lost(err)
}

// lost says how a connection ended.
func (r *modelRun) lost(err error) attempt.Message {
	switch {
	case r.request.Context().Err() != nil:
		return attempt.CallerGone{}
	case r.link.late.Load():
		return attempt.Tick{}
	}
	broken := brokenBy(r.link.number, err)
	r.suspicion.brokeOff(r.engine, broken)
	return broken
}

// brokenBy turns an error of the back end's client into evidence.
func brokenBy(connection int, err error) attempt.Failure {
	broken := attempt.Failure{Connection: connection, Evidence: attempt.MaybeSent, Detail: err.Error()}
	var refusal *backend.Refusal
	var send *backend.SendError
	switch {
	case errors.As(err, &refusal):
		broken.Evidence = attempt.ErrorStatus
		if refusal.NotRun {
			broken.Evidence = attempt.RefusedBeforeRun
		}
		broken.Status = refusal.Status
		broken.RetryAfter = refusal.RetryAfter
		broken.Permanent = isCallersFault(refusal.Status)
	case errors.As(err, &send) && send.NeverSent:
		broken.Evidence = attempt.NeverSent
	}
	return broken
}

// isCallersFault tells the statuses that every back end would answer.
func isCallersFault(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// endAttempt tells the dispatcher that the back end is free again.
func (r *modelRun) endAttempt() {
	r.leaveRace()
	r.closeLink()
	if r.ticket == 0 {
		return
	}
	r.gateway.models.send(attemptEnded{ticket: r.ticket, result: r.result()})
	r.ticket = 0
}

func (r *modelRun) result() routing.Result {
	return resultOf(r.core.LastFailure(), r.request.Context().Err() != nil)
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
