package placement

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// count is the most replicas of the model that the zone may hold now: what the
// held engines show, orders in flight, and one for each engine not held.
func (c *Core) count(model fleet.ModelVersion) int {
	total := len(c.full)
	for name, held := range c.engines {
		if held.state.Find(model) != nil || c.loadInFlight(name, model) {
			total++
		}
	}
	return total
}

func (c *Core) loadInFlight(name fleet.BackendName, model fleet.ModelVersion) bool {
	return c.loading[placementKey{name, model}] > 0
}

func (c *Core) orderInFlight(name fleet.BackendName, model fleet.ModelVersion) bool {
	for _, order := range c.orders {
		if order.engine == name && order.Model == model {
			return true
		}
	}
	return false
}

// free is the memory that a further load may take: an order in flight holds
// its bytes until a state accounts for it, an unload frees nothing before.
func (c *Core) free(name fleet.BackendName) int64 {
	free := c.engines[name].state.FreeBytes()
	for _, order := range c.orders {
		if order.engine != name {
			continue
		}
		if order.Action == backend.ActionLoad || order.Action == backend.ActionLoadAdapter {
			free -= order.Bytes
		}
	}
	return free
}

// replicas counts the held replicas of a model that are ready or on the way.
func (c *Core) replicas(model fleet.ModelVersion) (ready, coming int) {
	for name, held := range c.engines {
		loaded := held.state.Find(model)
		switch {
		case !held.serving():
		case loaded != nil && loaded.State == fleet.LoadReady:
			ready++
		case loaded != nil && loaded.State == fleet.LoadLoading:
			coming++
		case loaded == nil && c.loadInFlight(name, model):
			coming++
		}
	}
	return ready, coming
}

// serving reports whether the engine takes new work.
func (e *engine) serving() bool { return !e.leaving && !e.silent }

func (c *Core) engineNames() []fleet.BackendName {
	return slices.Sorted(maps.Keys(c.engines))
}

// ReplicaUpperBound is the most replicas of the model that the zone may hold now.
func (c *Core) ReplicaUpperBound(model fleet.ModelVersion) int { return c.count(model) }
