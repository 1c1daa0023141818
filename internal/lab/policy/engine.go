package policy

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// engine is a simulated server with its loaded replicas and cached checkpoints.
type engine struct {
	name        fleet.BackendName
	rack        string
	zone        *zone
	up          bool
	incarnation uint64
	fence       fleet.Fence
	replicas    []*replica // by model
	cache       checkpointCache
}

// replica is a model loaded in an engine's memory.
type replica struct {
	engine *engine
	model  int
	state  fleet.LoadState
	bytes  int64
	// readID identifies its read from the weight store, if one is in progress.
	readID     string
	readySince time.Time
	running    int
	adapters   []loadedAdapter
	// recordedUntil is when its time was last added to the statistics.
	recordedUntil time.Duration
}

type loadedAdapter struct {
	adapter int
	ready   bool
}

func (e *engine) findReplica(model int) *replica {
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

func (e *engine) remove(removed *replica) {
	e.replicas = slices.DeleteFunc(e.replicas, func(held *replica) bool { return held == removed })
}

func (e *engine) state(w *simulation) fleet.EngineState {
	state := fleet.EngineState{
		Backend:     fleet.Backend{Name: e.name, Kind: fleet.KindEngine, Zone: e.zone.name, Rack: e.rack},
		Incarnation: e.incarnation, Fence: e.fence,
		MemoryBytes: engineMemory, KVReserveBytes: engineReserve,
		Models: make([]fleet.LoadedModel, 0, len(e.replicas)),
		Tiers:  e.cache.tiers(w),
	}
	for _, held := range e.replicas {
		loaded := fleet.LoadedModel{
			Model: w.models[held.model].Model, State: held.state, Bytes: held.bytes, ReadySince: held.readySince,
		}
		for _, adapter := range held.adapters {
			if adapter.ready {
				loaded.Adapters = append(loaded.Adapters, w.adapters[adapter.adapter].Adapter)
			}
		}
		state.Models = append(state.Models, loaded)
	}
	return state
}

// canServe reports whether the replica can run a request with the adapter; a
// negative adapter means none.
func (r *replica) canServe(adapter int) bool {
	if r.state != fleet.LoadReady {
		return false
	}
	return adapter < 0 || slices.ContainsFunc(r.adapters, func(loaded loadedAdapter) bool {
		return loaded.adapter == adapter && loaded.ready
	})
}

// checkpointCache holds the checkpoints in an engine's host memory and on its
// disk, from the least to the most recently used. When host memory is full, the
// least recently used move to disk; when the disk is full, they are dropped.
type checkpointCache struct {
	entries []checkpoint
	// tierByModel caches the result of tiers; nil after a change.
	tierByModel map[fleet.ModelVersion]fleet.Tier
}

type checkpoint struct {
	model int
	bytes int64
	tier  fleet.Tier
}

func (c *checkpointCache) tier(model int) fleet.Tier {
	for _, entry := range c.entries {
		if entry.model == model {
			return entry.tier
		}
	}
	return fleet.TierRemote
}

func (c *checkpointCache) add(model int, bytes int64, tier fleet.Tier) {
	c.entries = slices.DeleteFunc(c.entries, func(entry checkpoint) bool { return entry.model == model })
	c.entries = append(c.entries, checkpoint{model, bytes, tier})
	c.demote(fleet.TierMemory, fleet.TierDisk, hostCacheBytes)
	c.demote(fleet.TierDisk, fleet.TierRemote, diskCacheBytes)
	c.entries = slices.DeleteFunc(c.entries, func(entry checkpoint) bool { return entry.tier == fleet.TierRemote })
	c.tierByModel = nil
}

func (c *checkpointCache) demote(from, to fleet.Tier, limit int64) {
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

func (c *checkpointCache) tiers(w *simulation) map[fleet.ModelVersion]fleet.Tier {
	if c.tierByModel == nil {
		c.tierByModel = make(map[fleet.ModelVersion]fleet.Tier, len(c.entries))
		for _, entry := range c.entries {
			c.tierByModel[w.models[entry.model].Model] = entry.tier
		}
	}
	return c.tierByModel
}

// loadTime returns how long a load from a tier takes at full speed.
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

// execute carries out an order. It returns the reason if it refuses, otherwise an
// empty string.
func (e *engine) execute(w *simulation, order backend.Order) string {
	if order.Fence != e.fence || order.Incarnation != e.incarnation {
		return "fence"
	}
	model := w.modelIndex[order.Model]
	held := e.findReplica(model)
	switch order.Action {
	case backend.ActionLoad:
		return e.executeLoad(w, held, model, order)
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

func (e *engine) executeLoad(w *simulation, held *replica, model int, order backend.Order) string {
	if held != nil {
		return backend.ReasonDuplicate
	}
	if !e.fits(order.Bytes) {
		return backend.ReasonNoMemory
	}
	w.beginLoad(e, model, order)
	return ""
}
