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
	// ruleReplicas: over the fleet no more replicas of a model are held, by
	// the engines' own state, than the record in the store decides.
	ruleReplicas sim.RuleName = "replicas-within-decided"
	// ruleCeiling: in each zone no more than the record's ceiling.
	ruleCeiling sim.RuleName = "replicas-within-ceiling"
	// ruleRaise: a zone's limit is raised only by what the ceilings of all
	// zones leave of the target.
	ruleRaise sim.RuleName = "raised-within-target"
	// ruleOrderOnce: an order that an engine gets again has no second effect.
	ruleOrderOnce sim.RuleName = "order-takes-effect-once"
	// ruleMemory: no engine holds more than its memory, KV reserve included.
	ruleMemory sim.RuleName = "memory-within-capacity"
	// ruleLoads: once faults are over, a model that is wanted and may be
	// loaded becomes ready within bounded time.
	ruleLoads sim.RuleName = "wanted-model-becomes-ready"
)

// written is told of each change of the store as it happens.
func (j *judge) written(object objectstore.Object) {
	if object.Key() != recordKey {
		return
	}
	record, decoded := decodeRecord(object)
	if !decoded {
		return
	}
	j.world.count("record-written")
	j.checkRaises(j.record, record.Record)
	j.record = record.Record
	for model := range j.record.Models {
		j.checkReplicas(model, "the record was written")
	}
	j.checkRemoved()
}

// checkRaises compares a record with the one that it replaces.
func (j *judge) checkRaises(before, after allotment.Record) {
	for model, decision := range after.Models {
		for zone, share := range decision.Zones {
			if share.Limit <= before.Limit(model, zone) {
				continue
			}
			j.world.rules.Check(ruleRaise, decision.CeilingSum() <= decision.Target,
				"%s: raised to %d in %s with ceilings of %d and a target of %d in generation %d",
				model, share.Limit, zone, decision.CeilingSum(), decision.Target, after.Generation)
		}
	}
}

// checkRemoved holds models that the record no longer names to zero.
func (j *judge) checkRemoved() {
	for index := range modelCount {
		if _, found := j.record.Models[modelAt(index)]; !found {
			j.checkReplicas(modelAt(index), "the record was written without it")
		}
	}
}

// ordered is told of each order that an engine answered, after it took effect.
func (j *judge) ordered(at *engineProcess, order backend.Order, effects []engine.Effect) {
	for _, effect := range effects {
		switch effect.(type) {
		case engine.StateRead:
			j.world.count("order-taken-" + string(order.Action))
			j.world.trace.Record("order-taken/"+string(order.Action), string(at.backend.Name), order.Model.Model, uint64(order.Fence))
			j.checkReplicas(order.Model, "an order was taken by "+string(at.backend.Name))
			j.checkMemory(at)
			j.checkOrderOnce(at, order)
		case engine.FenceRefused:
			j.world.count("order-refused-fence")
		case engine.OrderRefused:
			j.world.count("order-refused")
		}
	}
}

// checkOrderOnce looks an order that came again up in the engine's own book.
func (j *judge) checkOrderOnce(at *engineProcess, order backend.Order) {
	if order.Action != backend.ActionLoad {
		return
	}
	if !j.loadOrders[order.ID] {
		j.loadOrders[order.ID] = true
		return
	}
	effects := 0
	for _, residency := range at.core.Book(at.process.Now()).Residencies {
		if residency.OrderID == order.ID {
			effects++
		}
	}
	j.world.rules.Check(ruleOrderOnce, effects <= 1, "%s loaded %s %d times by order %s", at.backend.Name, order.Model, effects, order.ID)
}

// checkReplicas counts what the engines hold of a model. Loading and unloading
// replicas count.
func (j *judge) checkReplicas(model fleet.ModelVersion, cause string) {
	decision := j.record.Models[model]
	total := 0
	for _, zone := range j.world.zones {
		held := j.replicas(model, zone)
		total += held
		ceiling := decision.Zones[zone].Ceiling
		j.world.rules.Check(ruleCeiling, held <= ceiling, "%s: %d replicas in %s, ceiling %d in generation %d: %s",
			model, held, zone, ceiling, j.record.Generation, cause)
	}
	j.world.rules.Check(ruleReplicas, total <= decision.ReplicaLimit, "%s: %d replicas, decided %d in generation %d: %s",
		model, total, decision.ReplicaLimit, j.record.Generation, cause)
}

func (j *judge) replicas(model fleet.ModelVersion, zone fleet.Zone) int {
	count := 0
	for _, holder := range j.world.enginesOf(zone) {
		if holder.state().Find(model) != nil {
			count++
		}
	}
	return count
}

// state is the engine's own account of itself.
func (e *engineProcess) state() fleet.EngineState {
	return e.core.State(e.process.Now())
}

func (j *judge) checkMemory(at *engineProcess) {
	state := at.state()
	used := state.UsedBytes() + state.KVReserveBytes
	j.world.rules.Check(ruleMemory, used <= state.MemoryBytes, "%s holds %d of %d bytes", state.Name, used, state.MemoryBytes)
}

// probeLoads wants every model that may be loaded, once the fleet had time to
// get over the faults, at one node of each zone.
func (j *judge) probeLoads() {
	for index := range modelCount {
		model := modelAt(index)
		if j.record.Models[model].ReplicaLimit == 0 || !j.mayLoad(model) {
			continue
		}
		wanting := j.world.nodes[index%len(j.world.nodes)]
		if wanting.process.State() != sim.ProcessRunning {
			continue
		}
		j.probing++
		wanting.want(model, 9, func(ready bool) {
			j.probing--
			j.world.rules.Check(ruleLoads, ready, "%s wanted by %s in %s was not ready after %s", model, wanting.name, wanting.zone, wantPatience)
		})
	}
}

func (j *judge) mayLoad(model fleet.ModelVersion) bool {
	for _, share := range j.record.Models[model].Zones {
		if share.Limit > 0 {
			return true
		}
	}
	return false
}
