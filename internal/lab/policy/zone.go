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

// zone is one zone with the placement core of its leader.
type zone struct {
	world   *world
	index   int
	name    fleet.Zone
	engines []*engine
	core    *placement.Core
	fence   fleet.Fence
	asked   uint64
	lost    bool
	tickAt  time.Duration
	// arrived counts requests since the last report, by model.
	arrived []int
	// elsewhere and used are what the core was told of the other zones last.
	elsewhere map[fleet.ModelVersion]bool
	used      placement.StoreUsage
}

// Times between two steps of a core without other cause.
const (
	busyTick = 500 * time.Millisecond
	idleTick = 2 * time.Second
)

// start begins a new leader, which knows nothing of the past.
func (z *zone) start() {
	w := z.world
	z.core = placement.New(w.policy.options(w, z))
	z.arrived = make([]int, len(w.facts))
	z.elsewhere, z.used = nil, placement.StoreUsage{}
	z.tell(placement.CatalogChanged{
		Models: w.facts, Adapters: w.adapterFacts, ColdStartWeight: w.policy.weight,
	})
	z.tell(z.limits())
	z.newRound()
	z.schedule(busyTick)
}

func (z *zone) schedule(span time.Duration) {
	at := z.world.now + span
	if z.tickAt <= at && z.tickAt > z.world.now {
		return
	}
	z.tickAt = at
	z.world.at(at, func() {
		if z.tickAt == at && z.core != nil {
			z.tick()
		}
	})
}

// tick reports what waits and what came, and lets the core plan.
func (z *zone) tick() {
	z.hear()
	var wants []fleet.Want
	for model, count := range z.arrived {
		if count > 0 {
			wants = append(wants, fleet.Want{
				Model: z.world.facts[model].Model, Node: "nodes", Zone: z.name, Arrivals: count,
			})
			z.arrived[model] = 0
		}
	}
	for _, queue := range z.world.waiting {
		wants = append(wants, queue.repeated(z)...)
	}
	if len(wants) > 0 {
		z.tell(placement.WantsReported{Wants: wants})
	} else {
		z.tell(placement.Tick{})
	}
	if z.core.Busy() {
		z.schedule(busyTick)
		return
	}
	z.schedule(idleTick)
}

// hear tells the core what the other zones hold and take of the weight store,
// where that has changed.
func (z *zone) hear() {
	elsewhere := make(map[fleet.ModelVersion]bool)
	var used placement.StoreUsage
	for _, other := range z.world.zones {
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
					elsewhere[z.world.facts[held.model].Model] = true
				}
			}
		}
	}
	if !maps.Equal(elsewhere, z.elsewhere) {
		z.elsewhere = elsewhere
		z.tell(placement.ReplicasElsewhere{Models: elsewhere})
	}
	if used != z.used {
		z.used = used
		z.tell(used)
	}
}

// tell steps the core and carries out what it decides.
func (z *zone) tell(message placement.Message) {
	if z.core == nil {
		return
	}
	for _, effect := range z.core.Step(z.world.clock(), message) {
		switch decided := effect.(type) {
		case placement.SendOrder:
			z.send(decided)
		case placement.Refuse:
			z.world.refused(z, z.world.modelIndex[decided.Refusal.Model], decided.Refusal.RetryAfter)
		case placement.RequestNewRound:
			z.world.after(0, z.newRound)
		}
	}
}

func (z *zone) send(sent placement.SendOrder) {
	if sent.Order.Action == backend.ActionUnload {
		z.world.figures.unload(z.world.now, sent.Evicts)
	}
	core := z.core
	z.world.after(orderLatency, func() {
		target := z.engine(sent.Engine)
		if target == nil || !target.up || z.core != core {
			return
		}
		reason := target.take(z.world, sent.Order)
		result := placement.OrderAccepted
		if reason != "" {
			result = placement.OrderRefused
		}
		z.asked++
		z.tell(placement.OrderAnswered{ID: sent.Order.ID, Result: result, Reason: reason, QuerySequence: z.asked})
		z.show(target)
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

// show lets the core see an engine's state.
func (z *zone) show(engine *engine) {
	if !engine.up {
		return
	}
	z.asked++
	z.tell(placement.EngineStateReceived{QuerySequence: z.asked, State: engine.state(z.world)})
}

// newRound claims all engines that live.
func (z *zone) newRound() {
	if z.core == nil {
		return
	}
	z.fence++
	held := make(map[fleet.BackendName]fleet.EngineState)
	for _, engine := range z.engines {
		if engine.up {
			engine.fence = z.fence
			held[engine.name] = engine.state(z.world)
		}
	}
	z.tell(placement.RoundEnded{})
	z.tell(placement.RoundBegan{Fence: z.fence, Held: held})
}

// limits are the zone's part of the record.
func (z *zone) limits() placement.LimitsChanged {
	w := z.world
	changed := placement.LimitsChanged{
		Limits:   make(map[fleet.ModelVersion]int, len(w.facts)),
		Standing: make(map[fleet.ModelVersion]int, len(w.facts)),
		Zones:    len(w.zones), ZoneIndex: z.index,
	}
	for _, facts := range w.facts {
		changed.Limits[facts.Model] = w.record.Limit(facts.Model, z.name)
		if facts.StandingReplicas > 0 {
			changed.Standing[facts.Model] = allotment.StandingShare(w.record, facts.Model, z.name, facts.StandingReplicas)
		}
	}
	return changed
}

func (z *zone) live() int {
	count := 0
	for _, engine := range z.engines {
		if engine.up {
			count++
		}
	}
	return count
}

func (z *zone) loaded(model int) int {
	count := 0
	for _, engine := range z.engines {
		if engine.find(model) != nil {
			count++
		}
	}
	return count
}

func (w *world) beginLoad(e *engine, model int, order backend.Order) {
	loading := &replica{engine: e, model: model, state: fleet.LoadLoading, bytes: order.Bytes, since: w.now}
	e.replicas = append(e.replicas, loading)
	tier := e.cache.tier(model)
	w.figures.load(w.now, tier)
	takes := loadTime(order.CheckpointBytes, tier)
	if tier != fleet.TierRemote {
		w.after(takes, func() { w.loaded(loading) })
		return
	}
	w.readCount++
	loading.readID = fmt.Sprint(w.readCount)
	w.reads[loading.readID] = loading
	w.stepStore(weights.Read{ID: loading.readID, FullSpeed: takes})
}

func (w *world) stepStore(message weights.Message) {
	for _, done := range w.store.Step(w.clock(), message) {
		if loading := w.reads[done.ID]; loading != nil {
			delete(w.reads, done.ID)
			loading.readID = ""
			w.loaded(loading)
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
	w.at(at, func() {
		if w.storeWake == at {
			w.storeWake = never
			w.stepStore(weights.Tick{})
		}
	})
}

func (w *world) cancelRead(held *replica) {
	if held.readID == "" {
		return
	}
	delete(w.reads, held.readID)
	w.stepStore(weights.Cancel{ID: held.readID})
	held.readID = ""
}

// loaded ends a load that was not ended before.
func (w *world) loaded(loading *replica) {
	e := loading.engine
	if loading.state != fleet.LoadLoading || e.find(loading.model) != loading {
		return
	}
	w.count(loading)
	loading.state = fleet.LoadReady
	loading.readySince = w.clock()
	e.cache.add(loading.model, w.trace.models[loading.model].bytes, fleet.TierMemory)
	e.zone.show(e)
	w.dispatch(loading.model)
}

// beginUnload ends what runs, then frees the memory.
func (w *world) beginUnload(held *replica) {
	if held.state == fleet.LoadUnloading {
		return
	}
	w.count(held)
	held.state = fleet.LoadUnloading
	w.cancelRead(held)
	w.freeWhenIdle(held)
}

func (w *world) freeWhenIdle(held *replica) {
	if held.state != fleet.LoadUnloading || held.running > 0 {
		return
	}
	w.after(unloadTime, func() {
		e := held.engine
		if e.find(held.model) != held {
			return
		}
		w.count(held)
		e.remove(held)
		e.zone.show(e)
	})
}

func (w *world) loadAdapter(held *replica, adapter int, bytes int64) {
	held.bytes += bytes
	held.adapters = append(held.adapters, loadedAdapter{adapter: adapter})
	index := len(held.adapters) - 1
	w.after(adapterLoad, func() {
		if held.engine.find(held.model) != held {
			return
		}
		held.adapters[index].ready = true
		held.engine.zone.show(held.engine)
		w.dispatch(held.model)
	})
}
