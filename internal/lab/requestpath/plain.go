package requestpath

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// baseline is the policy that the product is compared with: requests are sent
// round robin to the engines at once and wait in the engine's FIFO queue.
type baseline struct {
	simulation *simulation
	zone       fleet.Zone
	next       int
	// callersCancel cancels a request without a first token at its deadline, like a
	// caller that disconnects.
	callersCancel bool
}

func (p *baseline) serve(call *call) {
	target := p.simulation.servers[p.next%len(p.simulation.servers)]
	p.next++
	latency := otherZoneLatency
	if target.backend.Zone == p.zone {
		latency = sameZoneLatency
	}
	reader := &baselineReader{call: call, simulation: p.simulation}
	call.attempts++
	p.simulation.recordAttempt(p.simulation.clock.now)
	target.connect(&connection{reader: reader, number: 1, latency: latency}, func(id engine.CallID) engine.Message {
		return engine.Submit{Call: id, Request: call.engineRequest(1, 0, 0)}
	})
	if p.callersCancel {
		p.simulation.clock.scheduleAt(call.deadline, func() {
			if call.firstToken.IsZero() {
				call.ended = p.simulation.clock.now
				target.cancel(latency, call.id, 1)
			}
		})
	}
}

// baselineReader records an answer without checking it.
type baselineReader struct {
	call       *call
	simulation *simulation
}

func (p *baselineReader) receive(message attempt.Message) {
	now := p.simulation.clock.now
	switch message := message.(type) {
	case *attempt.Chunk:
		if message.FinishReason != "" {
			p.call.complete, p.call.ended = true, now
			return
		}
		p.call.tokens++
		if p.call.firstToken.IsZero() {
			p.call.firstToken = now
		}
	case attempt.Failure:
		p.call.ended = now
	}
}

var _ receiver = (*baselineReader)(nil)

// unlimitedWaiting is a queue limit that is never reached.
const unlimitedWaiting = 1 << 30

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0).UTC()
