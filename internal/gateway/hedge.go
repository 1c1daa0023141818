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

// leg is one back end's part in a request.
type leg struct {
	ticket uint64
	// engine is the back end of the attempt; isLimited is set where it names a rate limit.
	engine    fleet.Backend
	isLimited bool
	opened    time.Time
	link      *link
}

// race is the wait for the first token where a second back end may be asked.
// Each leg is opened and read by a goroutine of its own until its first chunk;
// from then on the request's own goroutine reads the winner.
type race struct {
	legs   []*racer
	events chan raceEvent
	// hedge is the answer to the search for a second back end, nil while there
	// is none; spare is a back end that the core was told of.
	hedge chan reply
	asked uint64
	spare *leg
	// decided is set once a first chunk is there.
	decided bool
}

type racer struct {
	leg
	attempt int
}

// raceEvent is what a leg brought. Its stream, where there is one, is read on
// by whoever takes the event.
type raceEvent struct {
	racer   *racer
	message attempt.Message
	stream  *backend.Stream
	// first is set for a chunk that belongs to the leg.
	first bool
}

// mayRace: the core waits for less than its deadline before it hedges.
func (r *modelRun) mayRace(open attempt.Open) bool {
	return r.gateway.limits.HedgeAfter > 0 && len(open.ContinueFrom) == 0 && r.core.NextWake().Before(r.deadline)
}

// startLeg opens one connection of a race.
func (r *modelRun) startLeg(leg leg, open attempt.Open) {
	started := &racer{leg: leg, attempt: open.Attempt}
	started.opened = r.gateway.now()
	// The race has a timer of its own.
	started.link = newLink(r.request.Context(), open.Connection, r.deadline.Add(time.Second), r.gateway.now)
	r.race.legs = append(r.race.legs, started)
	request := r.generateRequest(open)
	events := r.race.events
	r.gateway.background.Go(func() { r.runLeg(started, request, events) })
}

// runLeg opens a leg and reads it until its first chunk.
func (r *modelRun) runLeg(leg *racer, request backend.GenerateRequest, events chan<- raceEvent) {
	send := func(event raceEvent) (taken bool) {
		event.racer = leg
		select {
		case events <- event:
			return true
		case <-leg.link.ctx.Done():
			return false
		}
	}
	stream, err := r.gateway.generator.Open(leg.link.ctx, leg.engine.Address, request)
	r.gateway.receiveHint(r.gateway.models, leg.leg, backend.HintOf(stream, err), leg.opened)
	if err != nil {
		send(raceEvent{message: brokenBy(leg.link.number, err)})
		return
	}
	for {
		chunk := backend.Chunk{RequestID: request.RequestID}
		message, more := nextMessage(stream, leg.link.number, &chunk)
		first := more && chunk.RequestID == request.RequestID && chunk.Attempt == leg.attempt
		taken := send(raceEvent{message: message, stream: stream, first: first})
		if !taken {
			stream.Close()
		}
		if !taken || first || !more {
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
	return brokenBy(connection, err), false
}

// wait returns the next message of a race.
func (r *modelRun) wait() attempt.Message {
	r.giveSpareBack()
	timer := time.NewTimer(max(0, r.core.NextWake().Sub(r.gateway.now())))
	defer timer.Stop()
	for {
		select {
		case event := <-r.race.events:
			if slices.Contains(r.race.legs, event.racer) {
				return r.took(event)
			}
			event.close()
		case reply := <-r.race.hedge:
			r.race.hedge = nil
			if reply.refusal == nil && reply.limit.IsSet() {
				// A second send is not worth what such a back end takes.
				r.gateway.models.send(attemptEnded{ticket: r.race.asked, result: routing.ResultAbandoned})
			} else if reply.refusal == nil {
				r.race.spare = &leg{ticket: r.race.asked, engine: reply.backend}
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

// took lets the leg that decides the race, or the only one, be the request's.
func (r *modelRun) took(event raceEvent) attempt.Message {
	if broken, isBroken := event.message.(attempt.Failure); isBroken {
		r.suspicion.brokeOff(event.racer.engine, broken)
	}
	_, isChunk := event.message.(*attempt.Chunk)
	if event.first || !isChunk {
		event.racer.link.stream = event.stream
	}
	if event.first || !isChunk && len(r.race.legs) == 1 {
		r.adopt(event.racer)
		r.race.decided = event.first
	}
	return event.message
}

func (r *modelRun) adopt(winner *racer) {
	r.ticket, r.engine, r.opened, r.link = winner.ticket, winner.engine, winner.opened, winner.link
	r.isLimited = winner.isLimited
	r.record.backend, r.record.attempts = winner.engine.Name, max(r.record.attempts, winner.attempt)
	if winner.link.stream != nil {
		r.answer.more = winner.link.stream.Buffered
	}
}

// hedge asks for a second back end; the answer is awaited beside the first.
func (r *modelRun) hedge(hedge attempt.Hedge) {
	if r.race == nil {
		return
	}
	r.race.hedge = make(chan reply, 1)
	r.race.asked = r.gateway.tickets.Add(1)
	r.gateway.models.send(submitHedge{ticket: r.race.asked, model: r.model, route: r.route, prefix: r.prefix,
		exclude: hedge.Exclude, reply: r.race.hedge})
}

// drop ends the leg that lost.
func (r *modelRun) drop(drop attempt.Drop) {
	for index, racer := range r.race.legs {
		if racer.link.number != drop.Connection {
			continue
		}
		r.race.legs = append(r.race.legs[:index:index], r.race.legs[index+1:]...)
		racer.link.close()
		result := routing.ResultAbandoned
		if drop.Failure.Evidence != 0 {
			result = resultOf(drop.Failure, false)
		}
		r.gateway.models.send(attemptEnded{ticket: racer.ticket, result: result})
		return
	}
}

// leaveRace ends the race: the leg that is left is the request's.
func (r *modelRun) leaveRace() {
	if r.race == nil {
		return
	}
	r.giveSpareBack()
	if r.race.hedge != nil {
		r.gateway.models.send(abandon{ticket: r.race.asked})
	}
	for _, racer := range r.race.legs {
		r.adopt(racer)
	}
	r.race = nil
}

// giveSpareBack returns a back end that the core did not open.
func (r *modelRun) giveSpareBack() {
	if r.race.spare != nil {
		r.gateway.models.send(attemptEnded{ticket: r.race.spare.ticket, result: routing.ResultAbandoned})
		r.race.spare = nil
	}
}

// addressOf finds the engine of a cancel, which may be a leg's.
func (r *modelRun) addressOf(name fleet.BackendName) string {
	if r.race != nil {
		for _, racer := range r.race.legs {
			if racer.engine.Name == name {
				return racer.engine.Address
			}
		}
	}
	return r.engine.Address
}

// submitHedge asks for a second back end, which is had only where no other
// request waits for the room, and within the retry budget.
type submitHedge struct {
	ticket  uint64
	model   fleet.ModelVersion
	route   catalog.ModelRoute
	prefix  []uint64
	exclude []fleet.BackendName
	reply   chan reply
}
