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

// world is the fleet under one policy. Its time is counted from the start of
// the trace.
type world struct {
	trace  *Trace
	policy setup
	epoch  time.Time
	now    time.Duration

	events   events
	sequence uint64

	facts        []catalog.ModelInfo
	adapterFacts []catalog.AdapterInfo
	modelIndex   map[fleet.ModelVersion]int
	adapterIndex map[fleet.AdapterName]int

	zones   []*zone
	engines []*engine
	record  allotment.Record
	// undecided is set while the record may have to change.
	undecided bool

	store     *weights.Core
	storeWake time.Duration
	reads     map[string]*replica
	readCount int

	waiting []*queue // by model
	figures *figures
}

// event is something that happens at a time; earlier ones of one time go first.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

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

func (w *world) at(at time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: max(at, w.now), sequence: w.sequence, do: do})
}

func (w *world) after(span time.Duration, do func()) { w.at(w.now+span, do) }

func (w *world) clock() time.Time { return w.epoch.Add(w.now) }

func newWorld(trace *Trace, policy setup) *world {
	w := &world{
		trace: trace, policy: policy, epoch: time.Unix(0, 0).UTC(),
		modelIndex:   make(map[fleet.ModelVersion]int),
		adapterIndex: make(map[fleet.AdapterName]int),
		store: weights.New(weights.Options{
			ReadsPerSecond: trace.shape.StoreRate, Concurrency: trace.shape.StoreConcurrency,
		}),
		storeWake: never,
		reads:     make(map[string]*replica),
		waiting:   make([]*queue, len(trace.models)),
		figures:   &figures{from: trace.measuredFrom, end: trace.end, trace: trace},
	}
	w.declare()
	w.buildFleet()
	return w
}

// never is beyond the end of every trace.
const never = time.Duration(1<<63 - 1)

func (w *world) declare() {
	for index, drawn := range w.trace.models {
		name := fleet.ModelVersion{Model: fmt.Sprintf("model-%02d", index), Version: "1"}
		w.modelIndex[name] = index
		w.facts = append(w.facts, catalog.ModelInfo{
			Model: name, MemoryBytes: drawn.bytes, CheckpointBytes: drawn.bytes,
			MaxReplicas: drawn.maxReplicas, StandingReplicas: drawn.standing, Priority: drawn.priority,
		})
		w.waiting[index] = &queue{model: index}
	}
	const adapterBytes = 240 << 20
	for index, base := range w.trace.adapterModels {
		name := fleet.AdapterName(fmt.Sprintf("adapter-%02d", index))
		w.adapterIndex[name] = index
		w.adapterFacts = append(w.adapterFacts, catalog.AdapterInfo{
			Adapter: name, Model: w.facts[base].Model.Model, MemoryBytes: adapterBytes,
		})
	}
}

func (w *world) buildFleet() {
	for index := range w.trace.shape.Zones {
		w.zones = append(w.zones, &zone{
			world: w, index: index, name: fleet.Zone(fmt.Sprintf("zone-%d", index)), tickAt: never,
		})
	}
	for index := range w.trace.shape.Engines {
		built := &engine{
			name: fleet.BackendName(fmt.Sprintf("engine-%02d", index)),
			rack: fmt.Sprintf("rack-%d", index/w.trace.shape.Zones%2),
			zone: w.zones[index%len(w.zones)], up: true, incarnation: 1,
		}
		built.zone.engines = append(built.zone.engines, built)
		w.engines = append(w.engines, built)
	}
	for model, engines := range w.trace.cached {
		for _, engine := range engines {
			w.engines[engine].cache.add(model, w.trace.models[model].bytes, fleet.TierDisk)
		}
	}
	w.decide()
	for _, zone := range w.zones {
		zone.start()
	}
}

// run plays the whole trace.
func (w *world) run(ctx context.Context) error {
	for _, fault := range w.trace.faults {
		w.at(fault.at, func() { w.strike(fault) })
	}
	w.nextRequest(0)
	w.at(decideInterval, w.decideOften)
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
	w.finish()
	return nil
}

func (w *world) nextRequest(index int) {
	if index >= len(w.trace.requests) {
		return
	}
	w.at(w.trace.requests[index].at, func() {
		w.arrive(&w.trace.requests[index])
		w.nextRequest(index + 1)
	})
}

// finish counts what is still there at the end.
func (w *world) finish() {
	for _, engine := range w.engines {
		for _, held := range engine.replicas {
			w.count(held)
		}
	}
	for _, queue := range w.waiting {
		for _, pending := range queue.pending {
			w.figures.served(pending, w.now)
			w.figures.unserved++
		}
	}
}

const decideInterval = time.Second

// decideOften keeps the record of the allotments up to date.
func (w *world) decideOften() {
	if w.undecided {
		w.decide()
	}
	w.after(decideInterval, w.decideOften)
}

func (w *world) decide() {
	w.undecided = false
	input := allotment.Input{
		Models:       w.facts,
		Engines:      make(map[fleet.Zone]int),
		Demand:       make(map[fleet.ModelVersion]map[fleet.Zone]int),
		IdleReplicas: make(map[fleet.ModelVersion]map[fleet.Zone]int),
	}
	for _, zone := range w.zones {
		if count := zone.live(); count > 0 {
			input.Engines[zone.name] = count
		}
	}
	for model, facts := range w.facts {
		idle := make(map[fleet.Zone]int)
		for _, zone := range w.zones {
			idle[zone.name] = w.record.Limit(facts.Model, zone.name) - zone.loaded(model)
		}
		input.IdleReplicas[facts.Model] = idle
		input.Demand[facts.Model] = w.waiting[model].starvedZones(w)
	}
	next, changed := allotment.Decide(w.record, input)
	w.record = next
	for _, zone := range w.zones {
		var confirmed []fleet.ModelVersion
		for _, model := range w.record.Unconfirmed(zone.name) {
			if zone.loaded(w.modelIndex[model]) <= w.record.Limit(model, zone.name) {
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
	w.undecided = true
	for _, zone := range w.zones {
		zone.tell(zone.limits())
	}
}

func (w *world) strike(fault fault) {
	switch fault.kind {
	case engineDies:
		w.engines[fault.engine].die(w)
	case engineBack:
		if struck := w.engines[fault.engine]; !struck.zone.lost {
			struck.back(w)
		}
	case zoneDies:
		zone := w.zones[fault.zone]
		zone.lost = true
		zone.core = nil
		for _, engine := range zone.engines {
			engine.die(w)
		}
	case zoneBack:
		zone := w.zones[fault.zone]
		zone.lost = false
		for _, engine := range zone.engines {
			engine.back(w)
		}
		zone.start()
	case storeSlow:
		w.stepStore(weights.Slow{Factor: fault.slow})
	}
	w.undecided = true
}

// die loses all that the engine held, also on its disk.
func (e *engine) die(w *world) {
	if !e.up {
		return
	}
	e.up = false
	for _, held := range e.replicas {
		w.count(held)
		w.cancelRead(held)
	}
	e.replicas = nil
	e.cache = checkpoints{}
	zone := e.zone
	zone.tell(placement.EngineUnresponsive{Engine: e.name, Unresponsive: true})
	w.after(goneAfter, func() {
		if !e.up {
			zone.tell(placement.EnginesGone{Engines: []fleet.BackendName{e.name}})
			w.undecided = true
		}
	})
}

// goneAfter is how long the machine list takes to call a machine gone.
const goneAfter = 10 * time.Second

func (e *engine) back(w *world) {
	if e.up {
		return
	}
	e.up = true
	e.incarnation++
	e.fence = 0
	if !e.zone.lost && e.zone.core != nil {
		e.zone.newRound()
	}
	w.undecided = true
}
