package requestpath

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// plain is what the product is measured against: each request goes to the next
// engine in turn at once and stands in that engine's line, first in first out.
type plain struct {
	world *world
	zone  fleet.Zone
	next  int
	// givesUp cancels a request whose first token has not come by its
	// deadline, as a caller does that leaves.
	givesUp bool
}

func (p *plain) serve(asked *call) {
	target := p.world.servers[p.next%len(p.world.servers)]
	p.next++
	latency := otherZone
	if target.backend.Zone == p.zone {
		latency = sameZone
	}
	reader := &plainReader{call: asked, world: p.world}
	asked.attempts++
	p.world.opened(p.world.clock.now)
	target.call(&connection{reader: reader, number: 1, latency: latency}, func(id engine.CallID) engine.Message {
		return engine.Submit{Call: id, Request: asked.engineRequest(1, 0, 0)}
	})
	if p.givesUp {
		p.world.clock.at(asked.deadline, func() {
			if asked.firstToken.IsZero() {
				asked.ended = p.world.clock.now
				target.cancel(latency, asked.id, 1)
			}
		})
	}
}

// plainReader takes an answer without any check.
type plainReader struct {
	call  *call
	world *world
}

func (p *plainReader) take(message attempt.Message) {
	now := p.world.clock.now
	switch message := message.(type) {
	case *attempt.Chunk:
		if message.FinishReason != "" {
			p.call.whole, p.call.ended = true, now
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

var _ taker = (*plainReader)(nil)

// waitsLong is more than ever comes.
const waitsLong = 1 << 30

var start = time.Unix(0, 0).UTC()
