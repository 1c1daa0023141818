package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// choice is an engine for a load and the models to evict from it first.
type choice struct {
	engine fleet.BackendName
	tier   fleet.Tier
	evict  []fleet.ModelVersion
	cost   float64
}

// Relative costs of loading a checkpoint from each tier, and of placing a replica in
// a rack that already has one.
const (
	costMemory   = 0.1
	costDisk     = 0.4
	costRemote   = 1.0
	costSameRack = 0.05
	// costLowMemory breaks ties in favor of the engine with more free memory.
	costLowMemory = 0.01
)

func tierCost(tier fleet.Tier) float64 {
	switch tier {
	case fleet.TierMemory:
		return costMemory
	case fleet.TierDisk:
		return costDisk
	default:
		return costRemote
	}
}

// chooseEngine returns the engine with the lowest cost for the load.
func (c *Core) chooseEngine(now time.Time, info catalog.ModelInfo) (choice, bool) {
	racks := c.racksHolding(info.Model)
	var choices []choice
	for _, name := range c.engineNames() {
		held := c.engines[name]
		_, avoided := c.avoidUntil[placementKey{name, info.Model}]
		if !held.serving() || avoided || held.state.Find(info.Model) != nil {
			continue
		}
		evict, evictCost, possible := c.planEviction(now, name, info.MemoryBytes+c.adapterReserve[info.Model.Model])
		if !possible {
			continue
		}
		tier := held.tier(info.Model)
		cost := evictCost
		if !c.disabled.Tiers {
			cost += tierCost(tier) * relativeSize(info)
		}
		if held.state.Rack != "" && racks[held.state.Rack] {
			cost += costSameRack
		}
		if held.state.MemoryBytes > 0 {
			cost += costLowMemory * (1 - float64(c.freeBytes(name))/float64(held.state.MemoryBytes))
		}
		choices = append(choices, choice{engine: name, tier: tier, evict: evict, cost: cost})
	}
	if len(choices) == 0 {
		return choice{}, false
	}
	return slices.MinFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.engine, b.engine))
	}), true
}

// racksHolding returns the racks that hold or are loading the model.
func (c *Core) racksHolding(model fleet.ModelVersion) map[string]bool {
	racks := make(map[string]bool)
	for name, held := range c.engines {
		if held.state.Find(model) != nil || c.loadInFlight(name, model) {
			racks[held.state.Rack] = true
		}
	}
	return racks
}

// candidate is a model that may be evicted from an engine.
type candidate struct {
	model fleet.ModelVersion
	bytes int64
	cost  float64
}

// planEviction returns the cheapest models to evict to free the bytes, their cost, and
// whether that frees enough. Models that are already being unloaded come first at no cost.
func (c *Core) planEviction(now time.Time, name fleet.BackendName, bytes int64) ([]fleet.ModelVersion, float64, bool) {
	missing := bytes - c.freeBytes(name)
	if missing <= 0 {
		return nil, 0, true
	}
	var candidates []candidate
	for _, loaded := range c.engines[name].state.Models {
		if loaded.State == fleet.LoadUnloading || c.orderInFlight(name, loaded.Model) {
			candidates = append(candidates, candidate{model: loaded.Model, bytes: loaded.Bytes})
			continue
		}
		if c.isEvictable(now, loaded) {
			candidates = append(candidates, candidate{loaded.Model, loaded.Bytes, c.policy.EvictionCost(now, c.idleSince(loaded), loaded.Model)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.model.Compare(b.model))
	})
	var evict []fleet.ModelVersion
	cost := 0.0
	for _, candidate := range candidates {
		if missing <= 0 {
			break
		}
		missing -= candidate.bytes
		cost += candidate.cost
		evict = append(evict, candidate.model)
	}
	return evict, cost, missing <= 0
}

// isEvictable reports whether the model is ready, has no waiting requests, has more
// ready replicas than its standing capacity, and has been loaded for its minimum residence.
func (c *Core) isEvictable(now time.Time, loaded fleet.LoadedModel) bool {
	if loaded.State != fleet.LoadReady || len(c.wants[loaded.Model]) > 0 {
		return false
	}
	ready, _ := c.countReplicas(loaded.Model)
	if ready <= c.standing[loaded.Model] {
		return false
	}
	return now.Sub(loaded.ReadySince) >= c.minResidence(now, loaded.Model)
}

// minResidence returns the minimum time that the model stays loaded. It doubles with
// each load within ThrashWindow, which bounds the number of loads of one model.
func (c *Core) minResidence(now time.Time, model fleet.ModelVersion) time.Duration {
	history := c.historyOf(model)
	history.loads = slices.DeleteFunc(history.loads, func(at time.Time) bool {
		return now.Sub(at) > c.settings.ThrashWindow
	})
	doublings := min(max(0, len(history.loads)-1), maxDoublings)
	return c.settings.MinResidence << doublings
}

// maxDoublings bounds the doublings of MinResidence.
const maxDoublings = 5
