package placer

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// strayTime is how long an order without an answer may yet be carried out: one that was lost on
// the way back is done within a few seconds, as a rule, and within twelve at the latest.
const strayTime = 13 * time.Second

// stray is an order to an earlier start of a server. It names the server and the count of orders
// that it expects, and both may fit the start that followed.
type stray struct {
	order Order
	until time.Time
}

// startsAgain takes that a server has started again: it holds and knows nothing of before, and
// counts its orders anew. A load under way may be what ended the start before.
func (c *Core) startsAgain(now time.Time, known *server, again inventory.Server) *server {
	isEarlier := known.info.Start().IsLaterThan(again.Start())
	if again.Position.IsBefore(known.info.Position) || again.Position == known.info.Position && isEarlier {
		return known
	}
	if isEarlier && known.isTold {
		// As a rule the last entry of the start before, told late. The server itself tells.
		known.rival = &again
		known.askReport(now)
		return known
	}
	c.lose(now, known)
	started := newServer(again, now)
	started.setCopies(again.InMemory, again.OnDisk)
	started.strays = known.strays
	for _, order := range []*Order{known.ordering, known.unsure} {
		if order != nil && order.Operation == Load {
			started.strays = append(started.strays, stray{order: *order, until: now.Add(strayTime)})
		}
	}
	c.close(started)
	c.servers[again.ID] = started
	c.ordered = nil
	c.effects.ViewsChanged = true
	return started
}

// dropStrays forgets the orders that cannot be carried out any more: their time is over, or the
// server took one at their count.
func (s *server) dropStrays(now time.Time) {
	s.strays = slices.DeleteFunc(s.strays, func(stray stray) bool {
		return !now.Before(stray.until) || s.sequence > stray.order.ExpectedSequence
	})
}

// strayMB is the memory of models that may yet be loaded by orders to earlier starts.
func (s *server) strayMB(engine *routetable.Engine) float64 {
	used := 0.0
	for _, stray := range s.strays {
		if stray.order.Adapter == "" && !s.has(stray.order.Model) {
			used += engine.Models[stray.order.Model].WeightsMB
		}
	}
	return used
}

// strayAdapters is the number of adapters that may yet be loaded by such orders.
func (s *server) strayAdapters() int {
	count := 0
	for _, stray := range s.strays {
		if stray.order.Adapter != "" {
			count++
		}
	}
	return count
}
