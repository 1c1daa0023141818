package placement

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// plan makes every decision that the present state allows.
func (c *Core) plan(now time.Time) {
	c.lastPlan = now
	clear(c.refused)
	c.expireWants(now)
	c.refillTokens(now)
	c.store.waiting, c.store.further = 0, 0
	c.endSlowLoads(now)
	c.askForRound(now)
	if c.evacuated {
		c.refuseAll()
	} else {
		for _, demand := range c.demands(now) {
			c.serve(now, demand)
		}
		c.loadAdapters(now)
	}
	c.unloadIdle(now)
}

// demands lists what is wanted beyond what is loaded or on its way, in the
// order in which it is served.
func (c *Core) demands(now time.Time) []demand {
	var demands []demand
	counts := c.census()
	for _, model := range c.names {
		ready, coming := counts[model].ready, counts[model].coming
		waiting, wanted := c.demandFor(model)
		waiting.further = ready+coming > 0 || c.elsewhere[model]
		switch {
		case ready+coming < c.standing[model]:
			waiting.model, waiting.standing = model, true
			waiting.priority = max(waiting.priority, c.models[model].Priority)
			demands = append(demands, waiting)
		case wanted && ready+coming < c.wantedReplicas(waiting, ready):
			demands = append(demands, waiting)
		case ready+coming == 0 && (c.displaced[model] || c.policy.LikelyToWake(now, model)):
			demands = append(demands, demand{model: model, preload: true})
		}
	}
	slices.SortFunc(demands, compareDemand)
	return demands
}

// wantedReplicas is one for what waits, and one more for each full queue that
// the ready replicas do not work off.
func (c *Core) wantedReplicas(demand demand, ready int) int {
	if c.without.Coalescing {
		return max(1, len(c.wants[demand.model]))
	}
	return max(1, ready+demand.waiting/c.settings.WaitingPerReplica)
}

func (c *Core) serve(now time.Time, demand demand) {
	facts := c.models[demand.model]
	ready, coming := c.replicas(demand.model)
	if demand.waiting > 0 {
		c.timings.waiting(now, demand.model)
	}
	if c.count(demand.model) >= c.limits[demand.model] {
		c.timings.heldBy(now, demand.model, byAllotment)
		if ready+coming == 0 && !demand.preload {
			c.refuse(demand, placementRefusal{reason: "no-allotment", wait: noAllotmentWait})
		}
		return
	}
	choice, found := c.choose(now, facts)
	if !found {
		c.timings.heldBy(now, demand.model, byMemory)
		if ready+coming == 0 && !demand.preload {
			c.refuse(demand, c.noMemory(now, facts.MemoryBytes))
		}
		return
	}
	if demand.preload && len(choice.evict) > 0 && !c.preloadEvicts {
		return
	}
	if len(choice.evict) > 0 {
		c.timings.heldBy(now, demand.model, byEviction)
		c.evict(now, choice)
		return
	}
	if choice.tier == fleet.TierRemote && !c.takeToken() {
		c.timings.heldBy(now, demand.model, byStore)
		c.store.hold(demand)
		return
	}
	c.historyOf(demand.model).loads = append(c.historyOf(demand.model).loads, now)
	c.timings.ordered(now, choice.engine, demand.model, choice.tier)
	c.send(now, choice.engine, backend.Order{
		Action:          backend.ActionLoad,
		Model:           demand.model,
		Bytes:           facts.MemoryBytes,
		CheckpointBytes: facts.CheckpointBytes,
	})
}

func (c *Core) evict(now time.Time, choice choice) {
	for _, model := range choice.evict {
		loaded := c.engines[choice.engine].state.Find(model)
		if loaded.State == fleet.LoadReady && !c.orderInFlight(choice.engine, model) {
			c.sendFor(now, choice.engine, backend.Order{Action: backend.ActionUnload, Model: model}, true)
		}
	}
}

// endSlowLoads ends loads that take too long; the model is then loaded
// elsewhere once the engine shows that it is gone.
func (c *Core) endSlowLoads(now time.Time) {
	for _, name := range c.engineNames() {
		held := c.engines[name]
		for _, loaded := range held.state.Models {
			since, loading := held.loadingSince[loaded.Model]
			if !loading || now.Sub(since) < c.settings.LoadTimeout || c.orderInFlight(name, loaded.Model) {
				continue
			}
			c.avoid[placementKey{name, loaded.Model}] = now.Add(avoidAfterSlowLoad)
			c.send(now, name, backend.Order{Action: backend.ActionUnload, Model: loaded.Model})
		}
	}
}

const avoidAfterSlowLoad = 5 * time.Minute

// askForRound asks for a new round where an order has had no answer for long:
// only then is it sure that it does not take effect later.
func (c *Core) askForRound(now time.Time) {
	for _, order := range c.orders {
		if !order.answered && now.Sub(order.sent) >= c.settings.UnansweredOrderTimeout {
			c.emit(RequestNewRound{})
			return
		}
	}
}

func (e *engine) tier(model fleet.ModelVersion) fleet.Tier {
	if tier, known := e.state.Tiers[model]; known {
		return tier
	}
	return fleet.TierRemote
}

// loadAdapters loads the adapters that are waited for beside their base.
func (c *Core) loadAdapters(now time.Time) {
	for _, model := range c.names {
		demand, wanted := c.demandFor(model)
		if !wanted {
			continue
		}
		for _, adapter := range demand.adapters {
			c.loadAdapter(now, model, adapter)
		}
	}
}

func (c *Core) loadAdapter(now time.Time, model fleet.ModelVersion, adapter fleet.AdapterName) {
	facts, known := c.adapters[adapter]
	if !known {
		return
	}
	best := fleet.BackendName("")
	for _, name := range c.engineNames() {
		held := c.engines[name]
		loaded := held.state.Find(model)
		if loaded == nil || loaded.State != fleet.LoadReady || !held.serving() {
			continue
		}
		if slices.Contains(loaded.Adapters, adapter) || c.orderInFlight(name, model) {
			return
		}
		if c.free(name) >= facts.MemoryBytes && (best == "" || c.free(name) > c.free(best)) {
			best = name
		}
	}
	if best == "" {
		c.makeRoomForAdapter(now, model, facts.MemoryBytes)
		return
	}
	c.send(now, best, backend.Order{
		Action:  backend.ActionLoadAdapter,
		Model:   model,
		Adapter: adapter,
		Bytes:   facts.MemoryBytes,
	})
}

// makeRoomForAdapter evicts what costs least beside a replica of the base that
// is ready; the adapter is loaded once the memory is free.
func (c *Core) makeRoomForAdapter(now time.Time, model fleet.ModelVersion, bytes int64) {
	var cheapest choice
	for _, name := range c.engineNames() {
		held := c.engines[name]
		loaded := held.state.Find(model)
		if loaded == nil || loaded.State != fleet.LoadReady || !held.serving() {
			continue
		}
		evict, cost, possible := c.makeRoom(now, name, bytes)
		if possible && (cheapest.engine == "" || cost < cheapest.cost) {
			cheapest = choice{engine: name, evict: evict, cost: cost}
		}
	}
	if cheapest.engine != "" {
		c.evict(now, cheapest)
	}
}
