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
	// One-way network latencies.
	sameZoneLatency  = 200 * time.Microsecond
	otherZoneLatency = 2 * time.Millisecond
	// maxRunning is an engine's limit on the batch size.
	maxRunning = 32
	modelBytes = 14 * engine.GiB
	kvReserve  = 32 * engine.GiB
	// modelLoadTime is reserved for loading the model before the first request.
	modelLoadTime = 10 * time.Second
)

var model = fleet.ModelVersion{Model: "measured", Version: "v1"}

// reachability is the network state of an engine.
type reachability int

const (
	reachable reachability = iota
	// unreachable: open connections break and new ones fail.
	unreachable
	// silent: all messages are lost without an error.
	silent
)

// receiver receives the messages of a connection.
type receiver interface{ receive(message attempt.Message) }

// connection is a connection on which a reader receives an answer.
type connection struct {
	reader  receiver
	number  int
	latency time.Duration
}

// server is an engine with its simulated network.
type server struct {
	simulation   *simulation
	backend      fleet.Backend
	core         *engine.Core
	reachability reachability
	timer        timer
	calls        map[engine.CallID]*connection
	next         engine.CallID
	incarnation  uint64
	fence        fleet.Fence
	lastSeen     fleet.EngineState
}

func newServer(simulation *simulation, index int, zone fleet.Zone, maxWaiting int, seed uint64) *server {
	created := &server{
		simulation: simulation, calls: make(map[engine.CallID]*connection), incarnation: 1,
		backend: fleet.Backend{Name: fleet.BackendName(fmt.Sprintf("e%02d", index)), Kind: fleet.KindEngine, Zone: zone},
	}
	created.core = engine.New(engine.Options{
		Backend: created.backend, Incarnation: created.incarnation, KVReserveBytes: kvReserve,
		MaxRunning: maxRunning, MaxWaiting: maxWaiting, Seed: seed + uint64(index),
		Tiers: map[fleet.ModelVersion]fleet.Tier{model: fleet.TierMemory},
	})
	created.timer = timer{clock: &simulation.clock, deadline: created.core.NextWake, callback: func() { created.step(engine.Tick{}) }}
	created.load()
	return created
}

// load claims the engine and orders the load of the model, as the zone's leader
// does after a start.
func (s *server) load() {
	s.fence++
	s.step(engine.TakeClaim{Claim: backend.Claim{Fence: s.fence, Incarnation: s.incarnation}})
	s.step(engine.TakeOrder{Order: backend.Order{
		ID: fmt.Sprint("load-", s.incarnation), Fence: s.fence, Incarnation: s.incarnation, Action: backend.ActionLoad,
		Model: model, Bytes: modelBytes, CheckpointBytes: modelBytes,
	}})
}

// disconnect makes the engine unreachable or silent.
func (s *server) disconnect(reachability reachability) {
	s.reachability = reachability
	if reachability == unreachable {
		// Simulates a power loss: the engine restarts with nothing loaded.
		s.step(engine.Restart{})
		s.incarnation++
	}
}

func (s *server) restore() {
	if s.reachability == unreachable {
		s.load()
	}
	s.reachability = reachable
}

// delivery is a message of the engine on its way to a node.
type delivery struct {
	connection *connection
	message    attempt.Message
}

func (s *server) step(message engine.Message) {
	byLatency := make(map[time.Duration][]delivery)
	send := func(to *connection, message attempt.Message) {
		if to != nil {
			byLatency[to.latency] = append(byLatency[to.latency], delivery{to, message})
		}
	}
	for _, effect := range s.core.Step(s.simulation.clock.now, message) {
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
	for _, latency := range []time.Duration{sameZoneLatency, otherZoneLatency} {
		if deliveries := byLatency[latency]; len(deliveries) > 0 && s.reachability != silent {
			s.simulation.clock.scheduleAfter(latency, func() {
				for _, delivery := range deliveries {
					delivery.connection.reader.receive(delivery.message)
				}
			})
		}
	}
	s.timer.reset()
}

// connect opens a connection and passes a message to the engine after the network
// latency.
func (s *server) connect(from *connection, build func(engine.CallID) engine.Message) {
	s.simulation.clock.scheduleAfter(from.latency, func() {
		switch s.reachability {
		case silent:
		case unreachable:
			s.simulation.clock.scheduleAfter(from.latency, func() {
				from.reader.receive(attempt.Failure{Connection: from.number, Evidence: attempt.NeverSent, Detail: "no connection"})
			})
		case reachable:
			s.next++
			s.calls[s.next] = from
			s.step(build(s.next))
		}
	})
}

// cancel sends a cancellation, which needs no connection of an attempt.
func (s *server) cancel(latency time.Duration, id fleet.RequestID, number int) {
	s.simulation.clock.scheduleAfter(latency, func() {
		if s.reachability == reachable {
			s.step(engine.Cancel{Request: id, Attempt: number})
		}
	})
}
