package placement

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// countUpperBound returns the maximum number of replicas of the model that the zone may
// hold now: those in the states of held engines, loads in flight, and one for each
// engine that is not held.
func (c *Core) countUpperBound(model fleet.ModelVersion) int {
	total := len(c.assumedFull)
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

// freeBytes returns the memory available to a further load. A load in flight reserves
// its bytes until a state accounts for it; an unload in flight frees nothing yet.
func (c *Core) freeBytes(name fleet.BackendName) int64 {
	freeBytes := c.engines[name].state.FreeBytes()
	for _, order := range c.orders {
		if order.engine != name {
			continue
		}
		if order.Action == backend.ActionLoad || order.Action == backend.ActionLoadAdapter {
			freeBytes -= order.Bytes
		}
	}
	return freeBytes
}

// countReplicas returns the number of replicas of a model that are ready, and that are loading
// or ordered, on held engines that take new work.
func (c *Core) countReplicas(model fleet.ModelVersion) (ready, loading int) {
	for name, held := range c.engines {
		loaded := held.state.Find(model)
		switch {
		case !held.serving():
		case loaded != nil && loaded.State == fleet.LoadReady:
			ready++
		case loaded != nil && loaded.State == fleet.LoadLoading:
			loading++
		case loaded == nil && c.loadInFlight(name, model):
			loading++
		}
	}
	return ready, loading
}

// serving reports whether the engine takes new work.
func (e *engine) serving() bool { return !e.leaving && !e.unresponsive }

func (c *Core) engineNames() []fleet.BackendName {
	return slices.Sorted(maps.Keys(c.engines))
}

// ReplicaUpperBound returns the maximum number of replicas of the model that the zone may hold now.
func (c *Core) ReplicaUpperBound(model fleet.ModelVersion) int { return c.countUpperBound(model) }
