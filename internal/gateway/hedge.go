package gateway

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// assignment is a back end that was assigned to a request under a ticket.
type assignment struct {
	ticket uint64
	// engine is the back end; isLimited is set if it reports a rate limit.
	engine     fleet.Backend
	isLimited  bool
	openedAt   time.Time
	connection *connection
}

// race is the wait for the first token of a request that may be hedged. Each
// attempt is opened and read by its own goroutine until its first chunk; from then
// on the request's own goroutine reads the winner.
type race struct {
	attempts []*raceAttempt
	events   chan raceEvent
	// hedgeReply receives the result of the search for a second back end, nil while
	// there is none in progress; spare is a second back end that was reported to the
	// core and not yet opened.
	hedgeReply  chan dispatchReply
	hedgeTicket uint64
	spare       *assignment
	// decided is set once a first chunk has arrived.
	decided bool
}

type raceAttempt struct {
	assignment
	attempt int
}

// raceEvent is a message from one attempt of a race. Its stream, if any, is read
// further by the receiver of the event.
type raceEvent struct {
	attempt *raceAttempt
	message attempt.Message
	stream  *backend.Stream
	// first is set for a chunk that belongs to the attempt.
	first bool
}

// shouldRace reports whether the core would hedge before its deadline.
func (r *modelRun) shouldRace(open attempt.Open) bool {
	return r.gateway.limits.HedgeAfter > 0 && len(open.ContinueFrom) == 0 && r.core.NextWake().Before(r.deadline)
}

// startRaceAttempt opens one connection of a race.
func (r *modelRun) startRaceAttempt(target assignment, open attempt.Open) {
	started := &raceAttempt{assignment: target, attempt: open.Attempt}
	started.openedAt = r.gateway.now()
	// The race has its own timer.
	started.connection = newConnection(r.request.Context(), open.Connection, r.deadline.Add(time.Second), r.gateway.now)
	r.race.attempts = append(r.race.attempts, started)
	request := r.generateRequest(open)
	events := r.race.events
	r.gateway.background.Go(func() { r.runRaceAttempt(started, request, events) })
}

// runRaceAttempt opens an attempt and reads it until its first chunk.
func (r *modelRun) runRaceAttempt(started *raceAttempt, request backend.GenerateRequest, events chan<- raceEvent) {
	send := func(event raceEvent) (delivered bool) {
		event.attempt = started
		select {
		case events <- event:
			return true
		case <-started.connection.ctx.Done():
			return false
		}
	}
	stream, err := r.gateway.engineClient.Open(started.connection.ctx, started.engine.Address, request)
	r.gateway.forwardHint(r.gateway.models, started.assignment, backend.HintOf(stream, err), started.openedAt)
	if err != nil {
		send(raceEvent{message: failureFromError(started.connection.number, err)})
		return
	}
	for {
		chunk := backend.Chunk{RequestID: request.RequestID}
		message, more := nextMessage(stream, started.connection.number, &chunk)
		first := more && chunk.RequestID == request.RequestID && chunk.Attempt == started.attempt
		delivered := send(raceEvent{message: message, stream: stream, first: first})
		if !delivered {
			stream.Close()
		}
		if !delivered || first || !more {
			return
		}
	}
}

// nextMessage reads one event; more is false at the end of the stream.
func nextMessage(stream *backend.Stream, connection int, chunk *backend.Chunk) (message attempt.Message, more bool) {
	err := stream.Next(chunk)
	switch err {
	case nil:
		return &attempt.Chunk{Connection: connection, RequestID: chunk.RequestID, Attempt: chunk.Attempt,
			Sequence: chunk.Sequence, Text: chunk.Text, FinishReason: chunk.Finish}, true
	case backend.ErrDone:
		return attempt.Ended{Connection: connection, Terminated: true}, false
	}
	return failureFromError(connection, err), false
}

// awaitRace returns the next message of a race.
func (r *modelRun) awaitRace() attempt.Message {
	r.releaseSpare()
	timer := time.NewTimer(max(0, r.core.NextWake().Sub(r.gateway.now())))
	defer timer.Stop()
	for {
		select {
		case event := <-r.race.events:
			if slices.Contains(r.race.attempts, event.attempt) {
				return r.handleRaceEvent(event)
			}
			event.close()
		case reply := <-r.race.hedgeReply:
			r.race.hedgeReply = nil
			if reply.refusal == nil && reply.limit.IsSet() {
				// A hedge is not worth the rate limit that it would use up at this back end.
				r.gateway.models.send(attemptEnded{ticket: r.race.hedgeTicket, result: routing.ResultAbandoned})
			} else if reply.refusal == nil {
				r.race.spare = &assignment{ticket: r.race.hedgeTicket, engine: reply.backend}
				return attempt.HedgeAssigned{Backend: reply.backend.Name}
			}
		case <-timer.C:
			return attempt.Tick{}
		case <-r.request.Context().Done():
			return attempt.CallerGone{}
		}
	}
}

func (e raceEvent) close() {
	if e.stream != nil {
		e.stream.Close()
	}
}

// handleRaceEvent makes the attempt that decides the race, or the only one left, the request's attempt.
func (r *modelRun) handleRaceEvent(event raceEvent) attempt.Message {
	if cause, isBroken := event.message.(attempt.Failure); isBroken {
		r.poisonCheck.recordBreak(event.attempt.engine, cause)
	}
	_, isChunk := event.message.(*attempt.Chunk)
	if event.first || !isChunk {
		event.attempt.connection.stream = event.stream
	}
	if event.first || !isChunk && len(r.race.attempts) == 1 {
		r.adopt(event.attempt)
		r.race.decided = event.first
	}
	return event.message
}

func (r *modelRun) adopt(winner *raceAttempt) {
	r.ticket, r.engine, r.openedAt, r.connection = winner.ticket, winner.engine, winner.openedAt, winner.connection
	r.isLimited = winner.isLimited
	r.record.backend, r.record.attempts = winner.engine.Name, max(r.record.attempts, winner.attempt)
	if winner.connection.stream != nil {
		winner.connection.stream.BeforeWait(r.flush)
	}
}

// hedge asks for a second back end; the reply is awaited while the first attempt goes on.
func (r *modelRun) hedge(hedge attempt.Hedge) {
	if r.race == nil {
		return
	}
	r.race.hedgeReply = make(chan dispatchReply, 1)
	r.race.hedgeTicket = r.gateway.tickets.Add(1)
	r.gateway.models.send(submitHedge{ticket: r.race.hedgeTicket, model: r.model, route: r.route, prefix: r.prefix,
		exclude: hedge.Exclude, reply: r.race.hedgeReply})
}

// drop ends the attempt that lost the race.
func (r *modelRun) drop(drop attempt.Drop) {
	for index, candidate := range r.race.attempts {
		if candidate.connection.number != drop.Connection {
			continue
		}
		r.race.attempts = append(r.race.attempts[:index:index], r.race.attempts[index+1:]...)
		candidate.connection.close()
		result := routing.ResultAbandoned
		if drop.Failure.Evidence != 0 {
			result = routingResult(drop.Failure, false)
		}
		r.gateway.models.send(attemptEnded{ticket: candidate.ticket, result: result})
		return
	}
}

// endRace ends the race: the remaining attempt becomes the request's attempt.
func (r *modelRun) endRace() {
	if r.race == nil {
		return
	}
	r.releaseSpare()
	if r.race.hedgeReply != nil {
		r.gateway.models.send(abandon{ticket: r.race.hedgeTicket})
	}
	for _, remaining := range r.race.attempts {
		r.adopt(remaining)
	}
	r.race = nil
}

// releaseSpare gives up a second back end that the core did not open.
func (r *modelRun) releaseSpare() {
	if r.race.spare != nil {
		r.gateway.models.send(attemptEnded{ticket: r.race.spare.ticket, result: routing.ResultAbandoned})
		r.race.spare = nil
	}
}

// addressOf returns the address of the engine to cancel at, which may be one of a race.
func (r *modelRun) addressOf(name fleet.BackendName) string {
	if r.race != nil {
		for _, candidate := range r.race.attempts {
			if candidate.engine.Name == name {
				return candidate.engine.Address
			}
		}
	}
	return r.engine.Address
}

// submitHedge asks for a second back end. It is granted only if no other request
// waits for the capacity, and within the retry budget.
type submitHedge struct {
	ticket  uint64
	model   fleet.ModelVersion
	route   catalog.ModelRoute
	prefix  []uint64
	exclude []fleet.BackendName
	reply   chan dispatchReply
}
