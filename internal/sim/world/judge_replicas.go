package world

import (
	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	// ruleReplicas: across the fleet, the engines hold no more replicas of a
	// model than the allotment record in the store allows.
	ruleReplicas sim.RuleName = "replicas-within-decided"
	// ruleCeiling: in each zone, the engines hold no more replicas of a model
	// than the zone's ceiling in the record.
	ruleCeiling sim.RuleName = "replicas-within-ceiling"
	// ruleRaise: when the limit of a zone is raised, the sum of the ceilings of
	// all zones does not exceed the target.
	ruleRaise sim.RuleName = "raised-within-target"
	// ruleOrderOnce: an order that an engine receives again has no second
	// effect.
	ruleOrderOnce sim.RuleName = "order-takes-effect-once"
	// ruleMemory: no engine uses more than its memory, including the KV cache
	// reserve.
	ruleMemory sim.RuleName = "memory-within-capacity"
	// ruleLoads: after the faults have ended, a requested model that may be
	// loaded becomes ready within a bounded time.
	ruleLoads sim.RuleName = "wanted-model-becomes-ready"
)

// storeChanged is called at each change of the store.
func (c *checker) storeChanged(object objectstore.Object) {
	if object.Key() != recordKey {
		return
	}
	record, decoded := decodeRecord(object)
	if !decoded {
		return
	}
	c.world.count("record-written")
	c.checkRaises(c.record, record.Record)
	c.record = record.Record
	for model := range c.record.Models {
		c.checkReplicas(model, "the record was written")
	}
	c.checkRemoved()
}

// checkRaises checks ruleRaise for each limit that is higher than in the
// replaced record.
func (c *checker) checkRaises(before, after allotment.Record) {
	for model, decision := range after.Models {
		for zone, share := range decision.Zones {
			if share.Limit <= before.Limit(model, zone) {
				continue
			}
			c.world.rules.Check(ruleRaise, decision.CeilingSum() <= decision.Target,
				"%s: raised to %d in %s with ceilings of %d and a target of %d in generation %d",
				model, share.Limit, zone, decision.CeilingSum(), decision.Target, after.Generation)
		}
	}
}

// checkRemoved checks that no replicas are held of models that are not in the
// record.
func (c *checker) checkRemoved() {
	for index := range modelCount {
		if _, found := c.record.Models[modelAt(index)]; !found {
			c.checkReplicas(modelAt(index), "the record was written without it")
		}
	}
}

// orderAnswered is called for each order that an engine answers, after the order
// has taken effect.
func (c *checker) orderAnswered(at *engineProcess, order backend.Order, effects []engine.Effect) {
	for _, effect := range effects {
		switch effect.(type) {
		case engine.StateRead:
			c.world.count("order-taken-" + string(order.Action))
			c.world.trace.Record("order-taken/"+string(order.Action), string(at.backend.Name), order.Model.Model, uint64(order.Fence))
			c.checkReplicas(order.Model, "an order was taken by "+string(at.backend.Name))
			c.checkMemory(at)
			c.checkOrderOnce(at, order)
		case engine.FenceRefused:
			c.world.count("order-refused-fence")
		case engine.OrderRefused:
			c.world.count("order-refused")
		}
	}
}

// checkOrderOnce checks, for a repeated load order, that the engine's book shows
// at most one load by that order.
func (c *checker) checkOrderOnce(at *engineProcess, order backend.Order) {
	if order.Action != backend.ActionLoad {
		return
	}
	if !c.loadOrders[order.ID] {
		c.loadOrders[order.ID] = true
		return
	}
	effects := 0
	for _, residency := range at.core.Book(at.process.Now()).Residencies {
		if residency.OrderID == order.ID {
			effects++
		}
	}
	c.world.rules.Check(ruleOrderOnce, effects <= 1, "%s loaded %s %d times by order %s", at.backend.Name, order.Model, effects, order.ID)
}

// checkReplicas compares the replicas of a model on the engines with the record.
// Replicas that are loading or unloading count.
func (c *checker) checkReplicas(model fleet.ModelVersion, cause string) {
	decision := c.record.Models[model]
	total := 0
	for _, zone := range c.world.zones {
		held := c.replicas(model, zone)
		total += held
		ceiling := decision.Zones[zone].Ceiling
		c.world.rules.Check(ruleCeiling, held <= ceiling, "%s: %d replicas in %s, ceiling %d in generation %d: %s",
			model, held, zone, ceiling, c.record.Generation, cause)
	}
	c.world.rules.Check(ruleReplicas, total <= decision.ReplicaLimit, "%s: %d replicas, decided %d in generation %d: %s",
		model, total, decision.ReplicaLimit, c.record.Generation, cause)
}

func (c *checker) replicas(model fleet.ModelVersion, zone fleet.Zone) int {
	count := 0
	for _, holder := range c.world.enginesOf(zone) {
		if holder.state().Find(model) != nil {
			count++
		}
	}
	return count
}

// state returns the actual state of the engine.
func (e *engineProcess) state() fleet.EngineState {
	return e.core.State(e.process.Now())
}

func (c *checker) checkMemory(at *engineProcess) {
	state := at.state()
	used := state.UsedBytes() + state.KVReserveBytes
	c.world.rules.Check(ruleMemory, used <= state.MemoryBytes, "%s holds %d of %d bytes", state.Name, used, state.MemoryBytes)
}

// probeLoads requests every model that may be loaded, each at one node. It runs
// after the fleet has had time to recover from the faults.
func (c *checker) probeLoads() {
	for index := range modelCount {
		model := modelAt(index)
		if c.record.Models[model].ReplicaLimit == 0 || !c.mayLoad(model) {
			continue
		}
		requester := c.world.nodes[index%len(c.world.nodes)]
		if requester.process.State() != sim.ProcessRunning {
			continue
		}
		c.pendingProbes++
		requester.retryUntilReady(model, 9, func(ready bool) {
			c.pendingProbes--
			c.world.rules.Check(ruleLoads, ready, "%s wanted by %s in %s was not ready after %s", model, requester.name, requester.zone, retryPatience)
		})
	}
}

func (c *checker) mayLoad(model fleet.ModelVersion) bool {
	for _, share := range c.record.Models[model].Zones {
		if share.Limit > 0 {
			return true
		}
	}
	return false
}
