package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// LoadFinished reports the times of a load that this core ordered, once a state showed it
// ready. It shows how the time of a cold start was spent.
type LoadFinished struct {
	Engine fleet.BackendName
	Model  fleet.ModelVersion
	Tier   fleet.Tier
	// RequestedAt is when the first want was received; zero for a load without waiting
	// requests.
	RequestedAt time.Time
	// Ordered is when the order was sent, Accepted when the engine's answer was
	// received, Started when a state first showed the load, ReadySeen when one showed it
	// ready.
	Ordered, Accepted, Started, ReadySeen time.Time
	// Ready is when the model became ready, by the engine's clock.
	Ready time.Time
	// HoldTimes is how long the load was delayed before it was ordered, by cause.
	HoldTimes HoldTimes
}

// HoldTimes are the times for which wants could not be served, by cause of the delay.
type HoldTimes struct {
	// Allotment is for lack of allotment, Memory for lack of an engine with enough
	// memory, Eviction while models were evicted, Store for the weight store's limits.
	Allotment, Memory, Eviction, Store time.Duration
}

func (LoadFinished) effect() {}

// waitRecord tracks the unserved wants for a model.
type waitRecord struct {
	since time.Time
	// countedUntil is the time up to which holdTimes are counted.
	countedUntil time.Time
	holdTimes    HoldTimes
}

// timings track the waiting and loading times for LoadFinished; no decision depends on
// them.
type timings struct {
	waits map[fleet.ModelVersion]*waitRecord
	loads map[placementKey]*LoadFinished
}

func newTimings() timings {
	return timings{
		waits: make(map[fleet.ModelVersion]*waitRecord),
		loads: make(map[placementKey]*LoadFinished),
	}
}

// startWait records that requests wait for the model.
func (t *timings) startWait(now time.Time, model fleet.ModelVersion) {
	if t.waits[model] == nil {
		t.waits[model] = &waitRecord{since: now, countedUntil: now}
	}
}

// addHoldTime attributes the time since the last call to a cause.
func (t *timings) addHoldTime(now time.Time, model fleet.ModelVersion, cause func(*HoldTimes) *time.Duration) {
	if wait := t.waits[model]; wait != nil {
		*cause(&wait.holdTimes) += now.Sub(wait.countedUntil)
		wait.countedUntil = now
	}
}

func byAllotment(held *HoldTimes) *time.Duration { return &held.Allotment }
func byMemory(held *HoldTimes) *time.Duration    { return &held.Memory }
func byEviction(held *HoldTimes) *time.Duration  { return &held.Eviction }
func byStore(held *HoldTimes) *time.Duration     { return &held.Store }

// loadOrdered starts the record of a load.
func (t *timings) loadOrdered(now time.Time, engine fleet.BackendName, model fleet.ModelVersion, tier fleet.Tier) {
	load := &LoadFinished{Engine: engine, Model: model, Tier: tier, Ordered: now}
	if wait := t.waits[model]; wait != nil {
		load.RequestedAt, load.HoldTimes = wait.since, wait.holdTimes
		delete(t.waits, model)
	}
	t.loads[placementKey{engine, model}] = load
}

// loadAccepted records that the engine accepted the order of a load.
func (t *timings) loadAccepted(now time.Time, order *order) {
	if load := t.loads[placementKey{order.engine, order.Model}]; load != nil && order.Action == backend.ActionLoad {
		load.Accepted = now
	}
}

// loadDropped discards the record of a load that the engine refused.
func (t *timings) loadDropped(engine fleet.BackendName, model fleet.ModelVersion) {
	delete(t.loads, placementKey{engine, model})
}

// reportFinishedLoads emits LoadFinished for the loads that the engine's state shows as ready, and
// discards the records of those that are gone.
func (c *Core) reportFinishedLoads(now time.Time, state fleet.EngineState) {
	for _, loaded := range state.Models {
		key := placementKey{state.Name, loaded.Model}
		load := c.timings.loads[key]
		if load == nil {
			continue
		}
		if load.Started.IsZero() {
			load.Started = now
		}
		if loaded.State == fleet.LoadReady {
			load.Ready, load.ReadySeen = loaded.ReadySince, now
			c.emit(*load)
			delete(c.timings.loads, key)
		}
	}
	for key, load := range c.timings.loads {
		if key.engine == state.Name && !load.Started.IsZero() && state.Find(key.model) == nil {
			delete(c.timings.loads, key)
		}
	}
}
