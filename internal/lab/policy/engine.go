package policy

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// engine is one simulated server: capacity, checkpoints and what is loaded.
type engine struct {
	name        fleet.BackendName
	rack        string
	zone        *zone
	up          bool
	incarnation uint64
	fence       fleet.Fence
	replicas    []*replica // by model
	cache       checkpoints
}

// replica is a model in an engine's memory.
type replica struct {
	engine *engine
	model  int
	state  fleet.LoadState
	bytes  int64
	// readID names its read from the weight store, "" for none.
	readID     string
	readySince time.Time
	running    int
	adapters   []loadedAdapter
	// since is when its time was last counted.
	since time.Duration
}

type loadedAdapter struct {
	adapter int
	ready   bool
}

func (e *engine) find(model int) *replica {
	for _, held := range e.replicas {
		if held.model == model {
			return held
		}
	}
	return nil
}

func (e *engine) used() int64 {
	var used int64
	for _, held := range e.replicas {
		used += held.bytes
	}
	return used
}

func (e *engine) fits(bytes int64) bool {
	return engineReserve+e.used()+bytes <= engineMemory
}

func (e *engine) remove(gone *replica) {
	e.replicas = slices.DeleteFunc(e.replicas, func(held *replica) bool { return held == gone })
}

func (e *engine) state(w *world) fleet.EngineState {
	state := fleet.EngineState{
		Backend:     fleet.Backend{Name: e.name, Kind: fleet.KindEngine, Zone: e.zone.name, Rack: e.rack},
		Incarnation: e.incarnation, Fence: e.fence,
		MemoryBytes: engineMemory, KVReserveBytes: engineReserve,
		Models: make([]fleet.LoadedModel, 0, len(e.replicas)),
		Tiers:  e.cache.tiers(w),
	}
	for _, held := range e.replicas {
		loaded := fleet.LoadedModel{
			Model: w.facts[held.model].Model, State: held.state, Bytes: held.bytes, ReadySince: held.readySince,
		}
		for _, adapter := range held.adapters {
			if adapter.ready {
				loaded.Adapters = append(loaded.Adapters, w.adapterFacts[adapter.adapter].Adapter)
			}
		}
		state.Models = append(state.Models, loaded)
	}
	return state
}

// has reports whether the replica can run a request with the adapter.
func (r *replica) has(adapter int) bool {
	if r.state != fleet.LoadReady {
		return false
	}
	return adapter < 0 || slices.ContainsFunc(r.adapters, func(loaded loadedAdapter) bool {
		return loaded.adapter == adapter && loaded.ready
	})
}

// checkpoints are those kept beside the accelerator, from the least to the most
// recently used; a full host memory drops to disk, a full disk drops out.
type checkpoints struct {
	entries []checkpoint
	// cached is what tiers returned last, nil once it has changed.
	cached map[fleet.ModelVersion]fleet.Tier
}

type checkpoint struct {
	model int
	bytes int64
	tier  fleet.Tier
}

func (c *checkpoints) tier(model int) fleet.Tier {
	for _, entry := range c.entries {
		if entry.model == model {
			return entry.tier
		}
	}
	return fleet.TierRemote
}

func (c *checkpoints) add(model int, bytes int64, tier fleet.Tier) {
	c.entries = slices.DeleteFunc(c.entries, func(entry checkpoint) bool { return entry.model == model })
	c.entries = append(c.entries, checkpoint{model, bytes, tier})
	c.demote(fleet.TierMemory, fleet.TierDisk, hostCacheBytes)
	c.demote(fleet.TierDisk, fleet.TierRemote, diskCacheBytes)
	c.entries = slices.DeleteFunc(c.entries, func(entry checkpoint) bool { return entry.tier == fleet.TierRemote })
	c.cached = nil
}

func (c *checkpoints) demote(from, to fleet.Tier, limit int64) {
	var used int64
	for _, entry := range c.entries {
		if entry.tier == from {
			used += entry.bytes
		}
	}
	for index := range c.entries {
		if used <= limit {
			return
		}
		if c.entries[index].tier == from {
			c.entries[index].tier = to
			used -= c.entries[index].bytes
		}
	}
}

func (c *checkpoints) tiers(w *world) map[fleet.ModelVersion]fleet.Tier {
	if c.cached == nil {
		c.cached = make(map[fleet.ModelVersion]fleet.Tier, len(c.entries))
		for _, entry := range c.entries {
			c.cached[w.facts[entry.model].Model] = entry.tier
		}
	}
	return c.cached
}

// loadTime is how long a load takes from a tier at full speed.
func loadTime(bytes int64, tier fleet.Tier) time.Duration {
	speed := remoteSpeed
	switch tier {
	case fleet.TierMemory:
		speed = hostSpeed
	case fleet.TierDisk:
		speed = diskSpeed
	case fleet.TierRemote:
	}
	return time.Duration(float64(bytes) / speed * float64(time.Second))
}

// take carries an order out; it returns a reason where it refuses.
func (e *engine) take(w *world, order backend.Order) string {
	if order.Fence != e.fence || order.Incarnation != e.incarnation {
		return "fence"
	}
	model := w.modelIndex[order.Model]
	held := e.find(model)
	switch order.Action {
	case backend.ActionLoad:
		return e.takeLoad(w, held, model, order)
	case backend.ActionUnload:
		if held == nil {
			return backend.ReasonNotLoaded
		}
		w.beginUnload(held)
	case backend.ActionLoadAdapter:
		if held == nil || held.state != fleet.LoadReady {
			return backend.ReasonNotLoaded
		}
		if slices.ContainsFunc(held.adapters, func(loaded loadedAdapter) bool {
			return loaded.adapter == w.adapterIndex[order.Adapter]
		}) {
			return backend.ReasonDuplicate
		}
		if !e.fits(order.Bytes) {
			return backend.ReasonNoMemory
		}
		w.loadAdapter(held, w.adapterIndex[order.Adapter], order.Bytes)
	case backend.ActionUnloadAdapter, backend.ActionSetRole:
	}
	return ""
}

func (e *engine) takeLoad(w *world, held *replica, model int, order backend.Order) string {
	if held != nil {
		return backend.ReasonDuplicate
	}
	if !e.fits(order.Bytes) {
		return backend.ReasonNoMemory
	}
	w.beginLoad(e, model, order)
	return ""
}
