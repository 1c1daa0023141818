package placement

import (
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// replicaCount is the result of countReplicas for one model.
type replicaCount struct{ ready, loading int }

// countAllReplicas returns what countReplicas does, for all models in one pass.
func (c *Core) countAllReplicas() map[fleet.ModelVersion]replicaCount {
	counts := make(map[fleet.ModelVersion]replicaCount, len(c.names))
	for _, held := range c.engines {
		if !held.serving() {
			continue
		}
		for _, loaded := range held.state.Models {
			count := counts[loaded.Model]
			switch loaded.State {
			case fleet.LoadReady:
				count.ready++
			case fleet.LoadLoading:
				count.loading++
			case fleet.LoadUnloading:
			}
			counts[loaded.Model] = count
		}
	}
	type replicaKey struct {
		engine fleet.BackendName
		model  fleet.ModelVersion
	}
	seen := make(map[replicaKey]bool, len(c.orders))
	for _, order := range c.orders {
		held := c.engines[order.engine]
		key := replicaKey{order.engine, order.Model}
		if order.Action != backend.ActionLoad || held == nil || !held.serving() ||
			held.state.Find(order.Model) != nil || seen[key] {
			continue
		}
		seen[key] = true
		count := counts[order.Model]
		count.loading++
		counts[order.Model] = count
	}
	return counts
}
