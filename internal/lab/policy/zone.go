package policy

import (
	"fmt"
	"maps"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// zone is a zone with its engines and the placement core of its leader.
type zone struct {
	simulation    *simulation
	index         int
	name          fleet.Zone
	engines       []*engine
	core          *placement.Core
	fence         fleet.Fence
	querySequence uint64
	failed        bool
	nextPlanAt    time.Duration
	// arrived counts requests since the last report, by model.
	arrived []int
	// loadedElsewhere and storeUsage are the last reports about the other zones
	// that the core received.
	loadedElsewhere map[fleet.ModelVersion]bool
	storeUsage      placement.StoreUsage
}

// Intervals between two planning steps of a core that no other event causes.
const (
	busyPlanInterval = 500 * time.Millisecond
	idlePlanInterval = 2 * time.Second
)

// startLeader starts a new leader, which has no state of the previous one.
func (z *zone) startLeader() {
	w := z.simulation
	z.core = placement.New(w.policy.options(w, z))
	z.arrived = make([]int, len(w.models))
	z.loadedElsewhere, z.storeUsage = nil, placement.StoreUsage{}
	z.step(placement.CatalogChanged{
		Models: w.models, Adapters: w.adapters, ColdStartWeight: w.policy.weight,
	})
	z.step(z.limits())
	z.beginRound()
	z.schedulePlan(busyPlanInterval)
}

func (z *zone) schedulePlan(span time.Duration) {
	at := z.simulation.now + span
	if z.nextPlanAt <= at && z.nextPlanAt > z.simulation.now {
		return
	}
	z.nextPlanAt = at
	z.simulation.scheduleAt(at, func() {
		if z.nextPlanAt == at && z.core != nil {
			z.plan()
		}
	})
}

// plan reports waiting requests and arrivals to the core and lets it plan.
func (z *zone) plan() {
	z.updateOtherZones()
	var wants []fleet.Want
	for model, count := range z.arrived {
		if count > 0 {
			wants = append(wants, fleet.Want{
				Model: z.simulation.models[model].Model, Node: "nodes", Zone: z.name, Arrivals: count,
			})
			z.arrived[model] = 0
		}
	}
	for _, queue := range z.simulation.queues {
		wants = append(wants, queue.dueWants(z)...)
	}
	if len(wants) > 0 {
		z.step(placement.WantsReported{Wants: wants})
	} else {
		z.step(placement.Tick{})
	}
	if z.core.Busy() {
		z.schedulePlan(busyPlanInterval)
		return
	}
	z.schedulePlan(idlePlanInterval)
}

// updateOtherZones tells the core which models the other zones have loaded and
// how they use the weight store, if that has changed.
func (z *zone) updateOtherZones() {
	elsewhere := make(map[fleet.ModelVersion]bool)
	var used placement.StoreUsage
	for _, other := range z.simulation.zones {
		if other == z {
			continue
		}
		if other.core == nil {
			used.UnknownZones++
			continue
		}
		used.Waiting += other.core.WaitingLoads()
		for _, engine := range other.engines {
			for _, held := range engine.replicas {
				if held.readID != "" {
					used.Loading++
				}
				if held.state != fleet.LoadUnloading {
					elsewhere[z.simulation.models[held.model].Model] = true
				}
			}
		}
	}
	if !maps.Equal(elsewhere, z.loadedElsewhere) {
		z.loadedElsewhere = elsewhere
		z.step(placement.ReplicasElsewhere{Models: elsewhere})
	}
	if used != z.storeUsage {
		z.storeUsage = used
		z.step(used)
	}
}

// step passes a message to the core and carries out the effects.
func (z *zone) step(message placement.Message) {
	if z.core == nil {
		return
	}
	for _, effect := range z.core.Step(z.simulation.clock(), message) {
		switch decided := effect.(type) {
		case placement.SendOrder:
			z.sendOrder(decided)
		case placement.Refuse:
			z.simulation.handleRefusal(z, z.simulation.modelIndex[decided.Refusal.Model], decided.Refusal.RetryAfter)
		case placement.RequestNewRound:
			z.simulation.scheduleAfter(0, z.beginRound)
		}
	}
}

func (z *zone) sendOrder(effect placement.SendOrder) {
	if effect.Order.Action == backend.ActionUnload {
		z.simulation.statistics.recordUnload(z.simulation.now, effect.Evicts)
	}
	core := z.core
	z.simulation.scheduleAfter(orderLatency, func() {
		target := z.engine(effect.Engine)
		if target == nil || !target.up || z.core != core {
			return
		}
		reason := target.execute(z.simulation, effect.Order)
		result := placement.OrderAccepted
		if reason != "" {
			result = placement.OrderRefused
		}
		z.querySequence++
		z.step(placement.OrderAnswered{ID: effect.Order.ID, Result: result, Reason: reason, QuerySequence: z.querySequence})
		z.reportEngineState(target)
	})
}

func (z *zone) engine(name fleet.BackendName) *engine {
	for _, engine := range z.engines {
		if engine.name == name {
			return engine
		}
	}
	return nil
}

// reportEngineState sends an engine's state to the core.
func (z *zone) reportEngineState(engine *engine) {
	if !engine.up {
		return
	}
	z.querySequence++
	z.step(placement.EngineStateReceived{QuerySequence: z.querySequence, State: engine.state(z.simulation)})
}

// beginRound claims all live engines with a new fence.
func (z *zone) beginRound() {
	if z.core == nil {
		return
	}
	z.fence++
	held := make(map[fleet.BackendName]fleet.EngineState)
	for _, engine := range z.engines {
		if engine.up {
			engine.fence = z.fence
			held[engine.name] = engine.state(z.simulation)
		}
	}
	z.step(placement.RoundEnded{})
	z.step(placement.RoundBegan{Fence: z.fence, Held: held})
}

// limits returns the zone's part of the allotment record.
func (z *zone) limits() placement.LimitsChanged {
	w := z.simulation
	changed := placement.LimitsChanged{
		Limits:   make(map[fleet.ModelVersion]int, len(w.models)),
		Standing: make(map[fleet.ModelVersion]int, len(w.models)),
		Zones:    len(w.zones), ZoneIndex: z.index,
	}
	for _, facts := range w.models {
		changed.Limits[facts.Model] = w.record.Limit(facts.Model, z.name)
		if facts.StandingReplicas > 0 {
			changed.Standing[facts.Model] = allotment.StandingShare(w.record, facts.Model, z.name, facts.StandingReplicas)
		}
	}
	return changed
}

func (z *zone) liveEngines() int {
	count := 0
	for _, engine := range z.engines {
		if engine.up {
			count++
		}
	}
	return count
}

func (z *zone) replicaCount(model int) int {
	count := 0
	for _, engine := range z.engines {
		if engine.findReplica(model) != nil {
			count++
		}
	}
	return count
}

func (w *simulation) beginLoad(e *engine, model int, order backend.Order) {
	loading := &replica{engine: e, model: model, state: fleet.LoadLoading, bytes: order.Bytes, recordedUntil: w.now}
	e.replicas = append(e.replicas, loading)
	tier := e.cache.tier(model)
	w.statistics.recordLoad(w.now, tier)
	duration := loadTime(order.CheckpointBytes, tier)
	if tier != fleet.TierRemote {
		w.scheduleAfter(duration, func() { w.finishLoad(loading) })
		return
	}
	w.readCount++
	loading.readID = fmt.Sprint(w.readCount)
	w.reads[loading.readID] = loading
	w.stepStore(weights.Read{ID: loading.readID, FullSpeed: duration})
}

func (w *simulation) stepStore(message weights.Message) {
	for _, done := range w.store.Step(w.clock(), message) {
		if loading := w.reads[done.ID]; loading != nil {
			delete(w.reads, done.ID)
			loading.readID = ""
			w.finishLoad(loading)
		}
	}
	wake := w.store.NextWake()
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(w.epoch), w.now)
	if at == w.storeWake && at > w.now {
		return
	}
	w.storeWake = at
	w.scheduleAt(at, func() {
		if w.storeWake == at {
			w.storeWake = never
			w.stepStore(weights.Tick{})
		}
	})
}

func (w *simulation) cancelRead(held *replica) {
	if held.readID == "" {
		return
	}
	delete(w.reads, held.readID)
	w.stepStore(weights.Cancel{ID: held.readID})
	held.readID = ""
}

// finishLoad makes a loading replica ready, unless it was unloaded or its engine
// failed meanwhile.
func (w *simulation) finishLoad(loading *replica) {
	e := loading.engine
	if loading.state != fleet.LoadLoading || e.findReplica(loading.model) != loading {
		return
	}
	w.recordReplicaTime(loading)
	loading.state = fleet.LoadReady
	loading.readySince = w.clock()
	e.cache.add(loading.model, w.trace.models[loading.model].bytes, fleet.TierMemory)
	e.zone.reportEngineState(e)
	w.dispatch(loading.model)
}

// beginUnload waits for running requests to end, then frees the memory.
func (w *simulation) beginUnload(held *replica) {
	if held.state == fleet.LoadUnloading {
		return
	}
	w.recordReplicaTime(held)
	held.state = fleet.LoadUnloading
	w.cancelRead(held)
	w.freeWhenIdle(held)
}

func (w *simulation) freeWhenIdle(held *replica) {
	if held.state != fleet.LoadUnloading || held.running > 0 {
		return
	}
	w.scheduleAfter(unloadTime, func() {
		e := held.engine
		if e.findReplica(held.model) != held {
			return
		}
		w.recordReplicaTime(held)
		e.remove(held)
		e.zone.reportEngineState(e)
	})
}

func (w *simulation) loadAdapter(held *replica, adapter int, bytes int64) {
	held.bytes += bytes
	held.adapters = append(held.adapters, loadedAdapter{adapter: adapter})
	index := len(held.adapters) - 1
	w.scheduleAfter(adapterLoad, func() {
		if held.engine.findReplica(held.model) != held {
			return
		}
		held.adapters[index].ready = true
		held.engine.zone.reportEngineState(held.engine)
		w.dispatch(held.model)
	})
}
