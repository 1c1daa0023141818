package placement

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// plan makes all decisions that are possible in the current state.
func (c *Core) plan(now time.Time) {
	c.lastPlan = now
	clear(c.refusals)
	c.expireWants(now)
	c.refillTokens(now)
	c.store.waiting, c.store.additional = 0, 0
	c.cancelSlowLoads(now)
	c.requestRoundIfUnanswered(now)
	if c.evacuated {
		c.refuseAll()
	} else {
		for _, demand := range c.demands(now) {
			c.serveDemand(now, demand)
		}
		c.loadAdapters(now)
	}
	c.unloadIdle(now)
}

// demands returns the models that need a further replica, in the order in which
// they are served.
func (c *Core) demands(now time.Time) []demand {
	var demands []demand
	counts := c.countAllReplicas()
	for _, model := range c.names {
		ready, loading := counts[model].ready, counts[model].loading
		waiting, wanted := c.demandFor(model)
		waiting.additional = ready+loading > 0 || c.replicasElsewhere[model]
		switch {
		case ready+loading < c.standing[model]:
			waiting.model, waiting.standing = model, true
			waiting.priority = max(waiting.priority, c.models[model].Priority)
			demands = append(demands, waiting)
		case wanted && ready+loading < c.wantedReplicas(waiting, ready):
			demands = append(demands, waiting)
		case ready+loading == 0 && (c.displaced[model] || c.policy.LikelyToWake(now, model)):
			demands = append(demands, demand{model: model, preload: true})
		}
	}
	slices.SortFunc(demands, compareDemand)
	return demands
}

// wantedReplicas returns the number of replicas for the waiting requests: at least
// one, and one more than are ready for every WaitingPerReplica of them.
func (c *Core) wantedReplicas(demand demand, ready int) int {
	if c.disabled.Coalescing {
		return max(1, len(c.wants[demand.model]))
	}
	return max(1, ready+demand.waiting/c.settings.WaitingPerReplica)
}

// serveDemand orders a load for the demand, evicts models to make room for it, or
// refuses it.
func (c *Core) serveDemand(now time.Time, demand demand) {
	info := c.models[demand.model]
	ready, loading := c.countReplicas(demand.model)
	if demand.waiting > 0 {
		c.timings.startWait(now, demand.model)
	}
	if c.countUpperBound(demand.model) >= c.limits[demand.model] {
		c.timings.addHoldTime(now, demand.model, byAllotment)
		if ready+loading == 0 && !demand.preload {
			c.refuse(demand, placementRefusal{reason: "no-allotment", retryAfter: noAllotmentRetryDelay})
		}
		return
	}
	choice, found := c.chooseEngine(now, info)
	if !found {
		c.timings.addHoldTime(now, demand.model, byMemory)
		if ready+loading == 0 && !demand.preload {
			c.refuse(demand, c.memoryRefusal(now, info.MemoryBytes))
		}
		return
	}
	if demand.preload && len(choice.evict) > 0 && !c.preloadEvicts {
		return
	}
	if len(choice.evict) > 0 {
		c.timings.addHoldTime(now, demand.model, byEviction)
		c.evict(now, choice)
		return
	}
	if choice.tier == fleet.TierRemote && !c.takeToken() {
		c.timings.addHoldTime(now, demand.model, byStore)
		c.store.countWaiting(demand)
		return
	}
	c.historyOf(demand.model).loads = append(c.historyOf(demand.model).loads, now)
	c.timings.loadOrdered(now, choice.engine, demand.model, choice.tier)
	c.send(now, choice.engine, backend.Order{
		Action:          backend.ActionLoad,
		Model:           demand.model,
		Bytes:           info.MemoryBytes,
		CheckpointBytes: info.CheckpointBytes,
	})
}

func (c *Core) evict(now time.Time, choice choice) {
	for _, model := range choice.evict {
		loaded := c.engines[choice.engine].state.Find(model)
		if loaded.State == fleet.LoadReady && !c.orderInFlight(choice.engine, model) {
			c.sendOrder(now, choice.engine, backend.Order{Action: backend.ActionUnload, Model: model}, true)
		}
	}
}

// cancelSlowLoads unloads models whose load takes too long; once the engine's state
// shows that the model is gone, it is loaded on another engine.
func (c *Core) cancelSlowLoads(now time.Time) {
	for _, name := range c.engineNames() {
		held := c.engines[name]
		for _, loaded := range held.state.Models {
			since, loading := held.loadingSince[loaded.Model]
			if !loading || now.Sub(since) < c.settings.LoadTimeout || c.orderInFlight(name, loaded.Model) {
				continue
			}
			c.avoidUntil[placementKey{name, loaded.Model}] = now.Add(avoidAfterSlowLoad)
			c.send(now, name, backend.Order{Action: backend.ActionUnload, Model: loaded.Model})
		}
	}
}

// avoidAfterSlowLoad is how long an engine is not used for a model after a canceled load.
const avoidAfterSlowLoad = 5 * time.Minute

// requestRoundIfUnanswered requests a new round if an order has had no answer for
// UnansweredOrderTimeout: only a new round ensures that it cannot take effect later.
func (c *Core) requestRoundIfUnanswered(now time.Time) {
	for _, order := range c.orders {
		if !order.accepted && now.Sub(order.sentAt) >= c.settings.UnansweredOrderTimeout {
			c.emit(RequestNewRound{})
			return
		}
	}
}

// tier returns the engine's fastest tier that holds the model's checkpoint.
func (e *engine) tier(model fleet.ModelVersion) fleet.Tier {
	if tier, known := e.state.Tiers[model]; known {
		return tier
	}
	return fleet.TierRemote
}

// loadAdapters loads the adapters that requests wait for on engines that hold their base model.
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
	info, known := c.adapters[adapter]
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
		if c.freeBytes(name) >= info.MemoryBytes && (best == "" || c.freeBytes(name) > c.freeBytes(best)) {
			best = name
		}
	}
	if best == "" {
		c.evictForAdapter(now, model, info.MemoryBytes)
		return
	}
	c.send(now, best, backend.Order{
		Action:  backend.ActionLoadAdapter,
		Model:   model,
		Adapter: adapter,
		Bytes:   info.MemoryBytes,
	})
}

// evictForAdapter frees memory for an adapter on the engine with a ready replica of
// its base model where eviction costs least; a later plan loads the adapter.
func (c *Core) evictForAdapter(now time.Time, model fleet.ModelVersion, bytes int64) {
	var cheapest choice
	for _, name := range c.engineNames() {
		held := c.engines[name]
		loaded := held.state.Find(model)
		if loaded == nil || loaded.State != fleet.LoadReady || !held.serving() {
			continue
		}
		evict, cost, possible := c.planEviction(now, name, bytes)
		if possible && (cheapest.engine == "" || cost < cheapest.cost) {
			cheapest = choice{engine: name, evict: evict, cost: cost}
		}
	}
	if cheapest.engine != "" {
		c.evict(now, cheapest)
	}
}
