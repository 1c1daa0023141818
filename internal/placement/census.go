package placement

import (
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// tally counts the held replicas of a model that are ready or on the way.
type tally struct{ ready, coming int }

// census counts all models in one pass; replicas does so for one.
func (c *Core) census() map[fleet.ModelVersion]tally {
	counts := make(map[fleet.ModelVersion]tally, len(c.names))
	for _, held := range c.engines {
		if !held.serving() {
			continue
		}
		for _, loaded := range held.state.Models {
			counted := counts[loaded.Model]
			switch loaded.State {
			case fleet.LoadReady:
				counted.ready++
			case fleet.LoadLoading:
				counted.coming++
			case fleet.LoadUnloading:
			}
			counts[loaded.Model] = counted
		}
	}
	type place struct {
		engine fleet.BackendName
		model  fleet.ModelVersion
	}
	seen := make(map[place]bool, len(c.orders))
	for _, order := range c.orders {
		held := c.engines[order.engine]
		at := place{order.engine, order.Model}
		if order.Action != backend.ActionLoad || held == nil || !held.serving() ||
			held.state.Find(order.Model) != nil || seen[at] {
			continue
		}
		seen[at] = true
		counted := counts[order.Model]
		counted.coming++
		counts[order.Model] = counted
	}
	return counts
}
