package policy

import (
	"container/heap"
	"context"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// simulation is a discrete-event simulation of the fleet under one policy. Its
// time is counted from the start of the trace.
type simulation struct {
	trace  *Trace
	policy setup
	epoch  time.Time
	now    time.Duration

	events   events
	sequence uint64

	models       []catalog.ModelInfo
	adapters     []catalog.AdapterInfo
	modelIndex   map[fleet.ModelVersion]int
	adapterIndex map[fleet.AdapterName]int

	zones   []*zone
	engines []*engine
	record  allotment.Record
	// allotmentsStale is set while the allotment record may have to change.
	allotmentsStale bool

	store     *weights.Core
	storeWake time.Duration
	reads     map[string]*replica
	readCount int

	queues     []*queue // by model
	statistics *statistics
}

// event is a callback due at a time. Events due at the same time run in the
// order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// events is a heap of events, the next one due first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int)   { e[i], e[j] = e[j], e[i] }
func (e *events) Push(added any) { *e = append(*e, added.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *simulation) scheduleAt(at time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: max(at, w.now), sequence: w.sequence, do: do})
}

func (w *simulation) scheduleAfter(span time.Duration, do func()) { w.scheduleAt(w.now+span, do) }

func (w *simulation) clock() time.Time { return w.epoch.Add(w.now) }

func newSimulation(trace *Trace, policy setup) *simulation {
	w := &simulation{
		trace: trace, policy: policy, epoch: time.Unix(0, 0).UTC(),
		modelIndex:   make(map[fleet.ModelVersion]int),
		adapterIndex: make(map[fleet.AdapterName]int),
		store: weights.New(weights.Options{
			ReadsPerSecond: trace.shape.StoreRate, Concurrency: trace.shape.StoreConcurrency,
		}),
		storeWake:  never,
		reads:      make(map[string]*replica),
		queues:     make([]*queue, len(trace.models)),
		statistics: &statistics{start: trace.measuredFrom, end: trace.end, trace: trace},
	}
	w.buildCatalog()
	w.buildFleet()
	return w
}

// never is a time after the end of every trace.
const never = time.Duration(1<<63 - 1)

func (w *simulation) buildCatalog() {
	for index, model := range w.trace.models {
		name := fleet.ModelVersion{Model: fmt.Sprintf("model-%02d", index), Version: "1"}
		w.modelIndex[name] = index
		w.models = append(w.models, catalog.ModelInfo{
			Model: name, MemoryBytes: model.bytes, CheckpointBytes: model.bytes,
			MaxReplicas: model.maxReplicas, StandingReplicas: model.standing, Priority: model.priority,
		})
		w.queues[index] = &queue{model: index}
	}
	const adapterBytes = 240 << 20
	for index, base := range w.trace.adapterModels {
		name := fleet.AdapterName(fmt.Sprintf("adapter-%02d", index))
		w.adapterIndex[name] = index
		w.adapters = append(w.adapters, catalog.AdapterInfo{
			Adapter: name, Model: w.models[base].Model.Model, MemoryBytes: adapterBytes,
		})
	}
}

func (w *simulation) buildFleet() {
	for index := range w.trace.shape.Zones {
		w.zones = append(w.zones, &zone{
			simulation: w, index: index, name: fleet.Zone(fmt.Sprintf("zone-%d", index)), nextPlanAt: never,
		})
	}
	for index := range w.trace.shape.Engines {
		added := &engine{
			name: fleet.BackendName(fmt.Sprintf("engine-%02d", index)),
			rack: fmt.Sprintf("rack-%d", index/w.trace.shape.Zones%2),
			zone: w.zones[index%len(w.zones)], up: true, incarnation: 1,
		}
		added.zone.engines = append(added.zone.engines, added)
		w.engines = append(w.engines, added)
	}
	for model, engines := range w.trace.cached {
		for _, engine := range engines {
			w.engines[engine].cache.add(model, w.trace.models[model].bytes, fleet.TierDisk)
		}
	}
	w.decideAllotments()
	for _, zone := range w.zones {
		zone.startLeader()
	}
}

// run replays the whole trace.
func (w *simulation) run(ctx context.Context) error {
	for _, fault := range w.trace.faults {
		w.scheduleAt(fault.at, func() { w.applyFault(fault) })
	}
	w.nextRequest(0)
	w.scheduleAt(allotmentInterval, w.refreshAllotments)
	for steps := 0; len(w.events) > 0; steps++ {
		next := heap.Pop(&w.events).(event)
		if next.at > w.trace.end {
			break
		}
		if steps%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		w.now = next.at
		next.do()
	}
	w.now = w.trace.end
	w.recordUnfinished()
	return nil
}

func (w *simulation) nextRequest(index int) {
	if index >= len(w.trace.requests) {
		return
	}
	w.scheduleAt(w.trace.requests[index].at, func() {
		w.arrive(&w.trace.requests[index])
		w.nextRequest(index + 1)
	})
}

// recordUnfinished adds the replicas still loaded and the requests still waiting
// at the end of the trace to the statistics.
func (w *simulation) recordUnfinished() {
	for _, engine := range w.engines {
		for _, held := range engine.replicas {
			w.recordReplicaTime(held)
		}
	}
	for _, queue := range w.queues {
		for _, pending := range queue.pending {
			w.statistics.recordStart(pending, w.now)
			w.statistics.unserved++
		}
	}
}

const allotmentInterval = time.Second

// refreshAllotments updates the allotment record at regular intervals while it
// is stale.
func (w *simulation) refreshAllotments() {
	if w.allotmentsStale {
		w.decideAllotments()
	}
	w.scheduleAfter(allotmentInterval, w.refreshAllotments)
}

func (w *simulation) decideAllotments() {
	w.allotmentsStale = false
	input := allotment.Input{
		Models:       w.models,
		Engines:      make(map[fleet.Zone]int),
		Demand:       make(map[fleet.ModelVersion]map[fleet.Zone]int),
		IdleReplicas: make(map[fleet.ModelVersion]map[fleet.Zone]int),
	}
	for _, zone := range w.zones {
		if count := zone.liveEngines(); count > 0 {
			input.Engines[zone.name] = count
		}
	}
	for model, facts := range w.models {
		idle := make(map[fleet.Zone]int)
		for _, zone := range w.zones {
			idle[zone.name] = w.record.Limit(facts.Model, zone.name) - zone.replicaCount(model)
		}
		input.IdleReplicas[facts.Model] = idle
		input.Demand[facts.Model] = w.queues[model].starvedZones(w)
	}
	next, changed := allotment.Decide(w.record, input)
	w.record = next
	for _, zone := range w.zones {
		var confirmed []fleet.ModelVersion
		for _, model := range w.record.Unconfirmed(zone.name) {
			if zone.replicaCount(w.modelIndex[model]) <= w.record.Limit(model, zone.name) {
				confirmed = append(confirmed, model)
			}
		}
		if len(confirmed) > 0 {
			w.record = allotment.Confirm(w.record, zone.name, confirmed)
			changed = true
		}
	}
	if !changed {
		return
	}
	w.allotmentsStale = true
	for _, zone := range w.zones {
		zone.step(zone.limits())
	}
}

func (w *simulation) applyFault(fault fault) {
	switch fault.kind {
	case engineFails:
		w.engines[fault.engine].fail(w)
	case engineRestarts:
		if engine := w.engines[fault.engine]; !engine.zone.failed {
			engine.restart(w)
		}
	case zoneFails:
		zone := w.zones[fault.zone]
		zone.failed = true
		zone.core = nil
		for _, engine := range zone.engines {
			engine.fail(w)
		}
	case zoneRecovers:
		zone := w.zones[fault.zone]
		zone.failed = false
		for _, engine := range zone.engines {
			engine.restart(w)
		}
		zone.startLeader()
	case storeSlows:
		w.stepStore(weights.Slow{Factor: fault.slowdown})
	}
	w.allotmentsStale = true
}

// fail stops the engine, which loses its replicas and its checkpoints, including
// those on disk.
func (e *engine) fail(w *simulation) {
	if !e.up {
		return
	}
	e.up = false
	for _, held := range e.replicas {
		w.recordReplicaTime(held)
		w.cancelRead(held)
	}
	e.replicas = nil
	e.cache = checkpointCache{}
	zone := e.zone
	zone.step(placement.EngineUnresponsive{Engine: e.name, Unresponsive: true})
	w.scheduleAfter(removalDelay, func() {
		if !e.up {
			zone.step(placement.EnginesGone{Engines: []fleet.BackendName{e.name}})
			w.allotmentsStale = true
		}
	})
}

// removalDelay is how long the machine list takes to report a failed machine as
// gone.
const removalDelay = 10 * time.Second

// restart brings a failed engine up again, empty and with a new incarnation.
func (e *engine) restart(w *simulation) {
	if e.up {
		return
	}
	e.up = true
	e.incarnation++
	e.fence = 0
	if !e.zone.failed && e.zone.core != nil {
		e.zone.beginRound()
	}
	w.allotmentsStale = true
}
