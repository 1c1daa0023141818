package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// choice is an engine for a load and what must go from it first.
type choice struct {
	engine fleet.BackendName
	tier   fleet.Tier
	evict  []fleet.ModelVersion
	cost   float64
}

// Relative costs of reading a checkpoint from each tier, and of a replica in
// a rack that has one already.
const (
	costMemory   = 0.1
	costDisk     = 0.4
	costRemote   = 1.0
	costSameRack = 0.05
	// costCrowded prefers the engine with more free memory among equals.
	costCrowded = 0.01
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

// choose picks the engine where the load costs least.
func (c *Core) choose(now time.Time, facts catalog.ModelInfo) (choice, bool) {
	racks := c.racksWith(facts.Model)
	var choices []choice
	for _, name := range c.engineNames() {
		held := c.engines[name]
		_, avoided := c.avoid[placementKey{name, facts.Model}]
		if !held.serving() || avoided || held.state.Find(facts.Model) != nil {
			continue
		}
		evict, evictCost, possible := c.makeRoom(now, name, facts.MemoryBytes+c.adapterRoom[facts.Model.Model])
		if !possible {
			continue
		}
		tier := held.tier(facts.Model)
		cost := evictCost
		if !c.without.Tiers {
			cost += tierCost(tier) * sizeCost(facts)
		}
		if held.state.Rack != "" && racks[held.state.Rack] {
			cost += costSameRack
		}
		if held.state.MemoryBytes > 0 {
			cost += costCrowded * (1 - float64(c.free(name))/float64(held.state.MemoryBytes))
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

func (c *Core) racksWith(model fleet.ModelVersion) map[string]bool {
	racks := make(map[string]bool)
	for name, held := range c.engines {
		if held.state.Find(model) != nil || c.loadInFlight(name, model) {
			racks[held.state.Rack] = true
		}
	}
	return racks
}

// victim is a model that may be evicted from an engine.
type victim struct {
	model fleet.ModelVersion
	bytes int64
	cost  float64
}

// makeRoom names the cheapest models to evict for the bytes. What is already
// being unloaded is waited for before more is evicted.
func (c *Core) makeRoom(now time.Time, name fleet.BackendName, bytes int64) ([]fleet.ModelVersion, float64, bool) {
	missing := bytes - c.free(name)
	if missing <= 0 {
		return nil, 0, true
	}
	var victims []victim
	for _, loaded := range c.engines[name].state.Models {
		if loaded.State == fleet.LoadUnloading || c.orderInFlight(name, loaded.Model) {
			victims = append(victims, victim{model: loaded.Model, bytes: loaded.Bytes})
			continue
		}
		if c.mayEvict(now, loaded) {
			victims = append(victims, victim{loaded.Model, loaded.Bytes, c.policy.EvictionCost(now, c.idleSince(loaded), loaded.Model)})
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.model.Compare(b.model))
	})
	var evict []fleet.ModelVersion
	cost := 0.0
	for _, victim := range victims {
		if missing <= 0 {
			break
		}
		missing -= victim.bytes
		cost += victim.cost
		evict = append(evict, victim.model)
	}
	return evict, cost, missing <= 0
}

// mayEvict holds for models that are ready, that nothing waits for, that stand
// above their standing capacity, and that have stayed for their least time.
func (c *Core) mayEvict(now time.Time, loaded fleet.LoadedModel) bool {
	if loaded.State != fleet.LoadReady || len(c.wants[loaded.Model]) > 0 {
		return false
	}
	ready, _ := c.replicas(loaded.Model)
	if ready <= c.standing[loaded.Model] {
		return false
	}
	return now.Sub(loaded.ReadySince) >= c.residence(now, loaded.Model)
}

// residence is the least time that the model stays: it doubles with each load
// within the window, which bounds the loads of one model.
func (c *Core) residence(now time.Time, model fleet.ModelVersion) time.Duration {
	history := c.historyOf(model)
	history.loads = slices.DeleteFunc(history.loads, func(at time.Time) bool {
		return now.Sub(at) > c.settings.ThrashWindow
	})
	doublings := min(max(0, len(history.loads)-1), maxDoublings)
	return c.settings.MinResidence << doublings
}

const maxDoublings = 5
