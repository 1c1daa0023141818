package gateway

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// receiveHint takes what a back end told of its own future with the answer to a request that left at sentAt,
// before the answer goes on: choices that are made from now on go by it. An answer that tells nothing
// may end a rate limit. The zone is told of one that leaves, since its leader may not have
// been able to read that, and commands' servers are not polled.
func (g *Gateway) receiveHint(from *dispatcher, at leg, hint inventory.Hint, sentAt time.Time) {
	if hint.IsEmpty() && !at.isLimited {
		return
	}
	hint.SentAt = sentAt
	from.send(hintReceived{ticket: at.ticket, hint: hint})
	if hint.Draining && g.options.Leaving != nil {
		g.options.Leaving(at.engine.Name)
	}
}
