package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// receiveHint takes what the back end of an attempt told of its own future: it binds all later choices,
// whatever the tables say of that incarnation.
func (c *Core) receiveHint(now time.Time, received HintReceived) {
	flight, found := c.flights[received.Ticket]
	if !found || flight.incarnation != flight.target.engine.Incarnation {
		return
	}
	hint, target := received.Hint, flight.target
	// Services have no incarnation: that they drain is held by the list of machines, which
	// also tells that they are back.
	hint.Draining = hint.Draining && target.backend.Kind == fleet.KindEngine
	before := target.bounds.Backoff(now)
	target.bounds.ReceiveHint(now, hint)
	if backoff := target.bounds.Backoff(now); backoff > before {
		for model := range target.ready {
			c.announce(now.Add(backoff), model)
		}
	}
}

// BackoffEnds is when the first of a model's replicas takes work again, where all that attempts may
// begin at want nothing for now; ok is false where one takes work, or there is none.
func (c *Core) BackoffEnds(now time.Time, model fleet.ModelVersion, regions locality.Regions) (until time.Time, ok bool) {
	for _, target := range c.byModel[model] {
		if c.isClosed(target, regions) {
			continue
		}
		backoff := target.bounds.Backoff(now)
		if backoff == 0 {
			return time.Time{}, false
		}
		if end := now.Add(backoff); !ok || end.Before(until) {
			until, ok = end, true
		}
	}
	return until, ok
}
