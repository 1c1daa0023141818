package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// words are what a back end told of its own future with its answers, in this incarnation.
type words struct {
	leaving   bool
	restUntil time.Time
	limit     admission.RateLimit
}

// hear takes what the back end of an attempt told: it binds all later choices, whatever the
// tables say of that incarnation.
func (c *Core) hear(now time.Time, heard Heard) {
	flight, found := c.flights[heard.Ticket]
	if !found || flight.incarnation != flight.target.engine.Incarnation {
		return
	}
	words := &flight.target.words
	words.limit.Observe(admission.Observation{Limit: heard.Word.Limit, SentAt: heard.Word.SentAt, HeardAt: now})
	// Services have no incarnation: that they leave is held by the list of machines, which
	// also tells that they are back.
	words.leaving = words.leaving || heard.Word.Leaving && flight.target.backend.Kind == fleet.KindEngine
	if until := now.Add(heard.Word.Rest); heard.Word.Rest > 0 && until.After(words.restUntil) {
		words.restUntil = until
		for model := range flight.target.ready {
			c.announce(until, model)
		}
	}
}

// rests reports whether the back end asked to be left alone for now.
func (w words) rests(now time.Time) bool { return now.Before(w.restUntil) }

// RestEnds is when the first of a model's replicas takes work again, where all that attempts may begin
// at want nothing for now; ok is false where one takes work, or there is none.
func (c *Core) RestEnds(now time.Time, model fleet.ModelVersion, regions locality.Regions) (until time.Time, ok bool) {
	for _, target := range c.byModel[model] {
		switch {
		case c.isClosed(target, regions):
		case !target.words.rests(now):
			return time.Time{}, false
		case !ok || target.words.restUntil.Before(until):
			until, ok = target.words.restUntil, true
		}
	}
	return until, ok
}
