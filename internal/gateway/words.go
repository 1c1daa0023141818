package gateway

import "github.com/spanlanding/spanlanding/internal/inventory"

// hear takes what a back end told of its own future, before its answer goes on: choices that are
// made from now on go by it. The zone is told of one that leaves, since its leader may not have
// been able to read that, and commands' servers are not polled.
func (g *Gateway) hear(from *dispatcher, at leg, word inventory.Word) {
	if word.IsEmpty() {
		return
	}
	from.send(wordHeard{ticket: at.ticket, word: word})
	if word.Leaving && g.options.Leaving != nil {
		g.options.Leaving(at.engine.Name)
	}
}
