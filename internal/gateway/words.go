package gateway

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// hear takes what a back end told of its own future with the answer to a request that left at sentAt,
// before the answer goes on: choices that are made from now on go by it. An answer that tells nothing
// may end a rate limit. The zone is told of one that leaves, since its leader may not have
// been able to read that, and commands' servers are not polled.
func (g *Gateway) hear(from *dispatcher, at leg, word inventory.Word, sentAt time.Time) {
	if word.IsEmpty() && !at.isLimited {
		return
	}
	word.SentAt = sentAt
	from.send(wordHeard{ticket: at.ticket, word: word})
	if word.Leaving && g.options.Leaving != nil {
		g.options.Leaving(at.engine.Name)
	}
}
