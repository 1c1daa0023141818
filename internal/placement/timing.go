package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// LoadFinished gives the times of a load that this core ordered, once its end
// was seen, so that it shows what a cold start spent its time on.
type LoadFinished struct {
	Engine fleet.BackendName
	Model  fleet.ModelVersion
	Tier   fleet.Tier
	// RequestedAt is when the first want was heard; zero for a load that nothing
	// waited for.
	RequestedAt time.Time
	// Ordered is when the order was sent, Accepted when the engine's answer came,
	// Started when a state first showed the load, ReadySeen when one showed it ready.
	Ordered, Accepted, Started, ReadySeen time.Time
	// Ready is when the model was ready by the engine's own clock.
	Ready time.Time
	// HoldTimes is how long the load was held back before it was ordered, by cause.
	HoldTimes HoldTimes
}

// HoldTimes are the times for which wants could not be served, by cause.
type HoldTimes struct {
	// Allotment is for want of allotment, Memory for want of an engine with
	// room, Eviction while room was made, Store for the weight store's limits.
	Allotment, Memory, Eviction, Store time.Duration
}

func (LoadFinished) effect() {}

// waitRecord follows the wants of a model that nothing serves yet.
type waitRecord struct {
	since time.Time
	// marked is the time up to which held is counted.
	marked time.Time
	held   HoldTimes
}

// timings follow what is waited for and what is loading; what is loaded does
// not depend on them.
type timings struct {
	waits   map[fleet.ModelVersion]*waitRecord
	flights map[placementKey]*LoadFinished
}

func newTimings() timings {
	return timings{
		waits:   make(map[fleet.ModelVersion]*waitRecord),
		flights: make(map[placementKey]*LoadFinished),
	}
}

// waiting notes that a model is wanted.
func (t *timings) waiting(now time.Time, model fleet.ModelVersion) {
	if t.waits[model] == nil {
		t.waits[model] = &waitRecord{since: now, marked: now}
	}
}

// heldBy adds the time since the last plan to a cause.
func (t *timings) heldBy(now time.Time, model fleet.ModelVersion, cause func(*HoldTimes) *time.Duration) {
	if wait := t.waits[model]; wait != nil {
		*cause(&wait.held) += now.Sub(wait.marked)
		wait.marked = now
	}
}

func byAllotment(held *HoldTimes) *time.Duration { return &held.Allotment }
func byMemory(held *HoldTimes) *time.Duration    { return &held.Memory }
func byEviction(held *HoldTimes) *time.Duration  { return &held.Eviction }
func byStore(held *HoldTimes) *time.Duration     { return &held.Store }

// ordered begins the record of a load.
func (t *timings) ordered(now time.Time, engine fleet.BackendName, model fleet.ModelVersion, tier fleet.Tier) {
	flight := &LoadFinished{Engine: engine, Model: model, Tier: tier, Ordered: now}
	if wait := t.waits[model]; wait != nil {
		flight.RequestedAt, flight.HoldTimes = wait.since, wait.held
		delete(t.waits, model)
	}
	t.flights[placementKey{engine, model}] = flight
}

// taken notes the engine's answer to the order of a load.
func (t *timings) taken(now time.Time, order *order) {
	if flight := t.flights[placementKey{order.engine, order.Model}]; flight != nil && order.Action == backend.ActionLoad {
		flight.Accepted = now
	}
}

// dropped forgets loads that an engine refused or lost.
func (t *timings) dropped(engine fleet.BackendName, model fleet.ModelVersion) {
	delete(t.flights, placementKey{engine, model})
}

// finishLoads reports the loads that the engine's state shows to have ended.
func (c *Core) finishLoads(now time.Time, state fleet.EngineState) {
	for _, loaded := range state.Models {
		key := placementKey{state.Name, loaded.Model}
		flight := c.timings.flights[key]
		if flight == nil {
			continue
		}
		if flight.Started.IsZero() {
			flight.Started = now
		}
		if loaded.State == fleet.LoadReady {
			flight.Ready, flight.ReadySeen = loaded.ReadySince, now
			c.emit(*flight)
			delete(c.timings.flights, key)
		}
	}
	for key, flight := range c.timings.flights {
		if key.engine == state.Name && !flight.Started.IsZero() && state.Find(key.model) == nil {
			delete(c.timings.flights, key)
		}
	}
}
