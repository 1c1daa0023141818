package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// words are what a back end told of its own future with its answers, in this incarnation.
type words struct {
	leaving   bool
	restUntil time.Time
}

// hear takes what the back end of an attempt told: it binds all later choices, whatever the
// tables say of that incarnation.
func (c *Core) hear(now time.Time, heard Heard) {
	flight, found := c.flights[heard.Ticket]
	if !found || flight.incarnation != flight.target.engine.Incarnation {
		return
	}
	words := &flight.target.words
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
