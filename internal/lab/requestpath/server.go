package requestpath

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	// sameZone and otherZone are the times of one way.
	sameZone  = 200 * time.Microsecond
	otherZone = 2 * time.Millisecond
	// maxRunning is the batch of an engine.
	maxRunning = 32
	modelBytes = 14 * engine.GiB
	kvReserve  = 32 * engine.GiB
	// loadedBefore is the time in which a model is loaded before the first
	// request.
	loadedBefore = 10 * time.Second
)

var model = fleet.ModelVersion{Model: "measured", Version: "v1"}

// reach is how an engine can be reached.
type reach int

const (
	reachable reach = iota
	// unreachable: connections break and none can be made.
	unreachable
	// silent: nothing comes through, and nobody is told.
	silent
)

// taker takes what comes in on a connection.
type taker interface{ take(message attempt.Message) }

// connection is one reader of an answer.
type connection struct {
	reader  taker
	number  int
	latency time.Duration
}

// server is one engine with its network.
type server struct {
	world       *world
	backend     fleet.Backend
	core        *engine.Core
	reach       reach
	alarm       alarm
	calls       map[engine.CallID]*connection
	next        engine.CallID
	incarnation uint64
	fence       fleet.Fence
	seen        fleet.EngineState
}

func newServer(world *world, index int, zone fleet.Zone, maxWaiting int, seed uint64) *server {
	created := &server{
		world: world, calls: make(map[engine.CallID]*connection), incarnation: 1,
		backend: fleet.Backend{Name: fleet.BackendName(fmt.Sprintf("e%02d", index)), Kind: fleet.KindEngine, Zone: zone},
	}
	created.core = engine.New(engine.Options{
		Backend: created.backend, Incarnation: created.incarnation, KVReserveBytes: kvReserve,
		MaxRunning: maxRunning, MaxWaiting: maxWaiting, Seed: seed + uint64(index),
		Tiers: map[fleet.ModelVersion]fleet.Tier{model: fleet.TierMemory},
	})
	created.alarm = alarm{clock: &world.clock, want: created.core.NextWake, ring: func() { created.step(engine.Tick{}) }}
	created.load()
	return created
}

// load does what the zone's leader does after a start.
func (s *server) load() {
	s.fence++
	s.step(engine.TakeClaim{Claim: backend.Claim{Fence: s.fence, Incarnation: s.incarnation}})
	s.step(engine.TakeOrder{Order: backend.Order{
		ID: fmt.Sprint("load-", s.incarnation), Fence: s.fence, Incarnation: s.incarnation, Action: backend.ActionLoad,
		Model: model, Bytes: modelBytes, CheckpointBytes: modelBytes,
	}})
}

// lose makes the engine unreachable or silent.
func (s *server) lose(how reach) {
	s.reach = how
	if how == unreachable {
		// The machine lost its power: it starts anew, with nothing loaded.
		s.step(engine.Restart{})
		s.incarnation++
	}
}

func (s *server) restore() {
	if s.reach == unreachable {
		s.load()
	}
	s.reach = reachable
}

// arrival is an answer of the engine on its way to a node.
type arrival struct {
	connection *connection
	message    attempt.Message
}

func (s *server) step(message engine.Message) {
	onTheWay := make(map[time.Duration][]arrival)
	send := func(to *connection, message attempt.Message) {
		if to != nil {
			onTheWay[to.latency] = append(onTheWay[to.latency], arrival{to, message})
		}
	}
	for _, effect := range s.core.Step(s.world.clock.now, message) {
		switch effect := effect.(type) {
		case engine.FetchWeights:
			s.step(engine.WeightsDone{Load: effect.Load})
		case engine.Emit:
			to := s.calls[effect.Call]
			if to == nil {
				continue
			}
			chunk := effect.Chunk
			send(to, &attempt.Chunk{Connection: to.number, RequestID: chunk.RequestID, Attempt: chunk.Attempt,
				Sequence: chunk.Sequence, Text: chunk.Text, FinishReason: chunk.Finish})
			if chunk.Finish != "" {
				send(to, attempt.Ended{Connection: to.number, Terminated: true})
				delete(s.calls, effect.Call)
			}
		case engine.Refused:
			if to := s.calls[effect.Call]; to != nil {
				send(to, attempt.Failure{Connection: to.number, Evidence: attempt.RefusedBeforeRun, Detail: string(effect.Reason)})
				delete(s.calls, effect.Call)
			}
		case engine.Broken:
			if to := s.calls[effect.Call]; to != nil {
				send(to, attempt.Failure{Connection: to.number, Evidence: attempt.MaybeSent, Detail: "the connection broke"})
				delete(s.calls, effect.Call)
			}
		}
	}
	for _, latency := range []time.Duration{sameZone, otherZone} {
		if arrivals := onTheWay[latency]; len(arrivals) > 0 && s.reach != silent {
			s.world.clock.after(latency, func() {
				for _, arrival := range arrivals {
					arrival.connection.reader.take(arrival.message)
				}
			})
		}
	}
	s.alarm.arm()
}

// call hands a message in on a new connection, after the way to the engine.
func (s *server) call(from *connection, build func(engine.CallID) engine.Message) {
	s.world.clock.after(from.latency, func() {
		switch s.reach {
		case silent:
		case unreachable:
			s.world.clock.after(from.latency, func() {
				from.reader.take(attempt.Failure{Connection: from.number, Evidence: attempt.NeverSent, Detail: "no connection"})
			})
		case reachable:
			s.next++
			s.calls[s.next] = from
			s.step(build(s.next))
		}
	})
}

// cancel is a call of its own.
func (s *server) cancel(latency time.Duration, id fleet.RequestID, number int) {
	s.world.clock.after(latency, func() {
		if s.reach == reachable {
			s.step(engine.Cancel{Request: id, Attempt: number})
		}
	})
}
