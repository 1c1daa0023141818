package gateway

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// forwardHint passes what a back end reported about itself, in the response to a request sent at sentAt, to
// the dispatcher before the response goes on, so that later picks respect it. A response without a hint may
// end a rate limit. A back end that is draining is also reported through Options.Leaving: the zone's leader
// may not have been able to read that, and command servers are not polled.
func (g *Gateway) forwardHint(owner *dispatcher, target assignment, hint inventory.Hint, sentAt time.Time) {
	if hint.IsEmpty() && !target.isLimited {
		return
	}
	hint.SentAt = sentAt
	owner.send(hintReceived{ticket: target.ticket, hint: hint})
	if hint.Draining && g.options.Leaving != nil {
		g.options.Leaving(target.engine.Name)
	}
}
