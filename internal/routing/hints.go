package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// receiveHint applies a hint in the response to an attempt. It affects all later selections of that
// incarnation, whatever the tables say.
func (c *Core) receiveHint(now time.Time, received HintReceived) {
	attempt, found := c.attempts[received.Ticket]
	if !found || attempt.incarnation != attempt.target.engine.Incarnation {
		return
	}
	hint, target := received.Hint, attempt.target
	// Services have no incarnation: their draining state is kept in the list of machines, which
	// also shows when they are back.
	hint.Draining = hint.Draining && target.backend.Kind == fleet.KindEngine
	before := target.admissionState.Backoff(now)
	target.admissionState.ReceiveHint(now, hint)
	if backoff := target.admissionState.Backoff(now); backoff > before {
		for model := range target.readySince {
			c.scheduleChange(now.Add(backoff), model)
		}
	}
}

// BackoffEnds returns when the first of a model's replicas takes work again, if all those at which
// attempts may start are backing off. ok is false if one of them takes work, or there is none.
func (c *Core) BackoffEnds(now time.Time, model fleet.ModelVersion, regions locality.Regions) (until time.Time, ok bool) {
	for _, target := range c.byModel[model] {
		if c.isClosed(target, regions) {
			continue
		}
		backoff := target.admissionState.Backoff(now)
		if backoff == 0 {
			return time.Time{}, false
		}
		if end := now.Add(backoff); !ok || end.Before(until) {
			until, ok = end, true
		}
	}
	return until, ok
}
