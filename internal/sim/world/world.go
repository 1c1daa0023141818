package world

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// World is one simulated fleet with its platform, callers and operators.
type World struct {
	config    Config
	scheduler *sim.Scheduler
	streams   *sim.Streams
	trace     *sim.Trace
	network   *sim.Network
	rules     *sim.Rules
	checker   *checker

	zones     []fleet.Zone
	nodes     []*node
	byName    map[fleet.NodeName]*node
	byGossip  map[string]*node
	engines   []*engineProcess
	services  []*serviceProcess
	store     *storeProcess
	machines  *machinesProcess
	weights   *weightsProcess
	demand    *demand
	operators []*operator

	// faultsOver is the time at which the last fault of the plan ends.
	faultsOver time.Duration
	counters   map[string]uint64
	armed      map[armedKey][]sim.Fault
}

// servicesInZone is the number of command servers in each zone.
const servicesInZone = 2

// platformZone is the zone of the platform's services. Faults of fleet zones do
// not affect it, but fleet zones can be cut off from it.
const platformZone = "platform"

var (
	sameZoneLink = sim.LinkOptions{
		Least: 200 * time.Microsecond, Most: 600 * time.Microsecond,
		Loss: 0.0005, Duplicate: 0.0005, Late: 0.001, LateMost: 50 * time.Millisecond,
	}
	crossZoneLink = sim.LinkOptions{
		Least: time.Millisecond, Most: 2 * time.Millisecond,
		Loss: 0.001, Duplicate: 0.0005, Late: 0.002, LateMost: 100 * time.Millisecond,
	}
)

// Run simulates one seed. If the plan is nil, it is drawn from the seed. The
// trace writer, if not nil, receives a line for each event.
func Run(config Config, seed uint64, plan sim.Plan, trace io.Writer) sim.Report {
	world := build(config, seed, trace)
	if plan == nil {
		plan = sim.DrawPlan(world.streams, world.faultSpecs(), faultsFrom, config.faultsUntil())
	}
	world.faultsOver = max(faultsFrom, plan.End())
	injected := make(map[sim.FaultKind]int)
	sim.Inject(world.scheduler, world.trace, plan, world, injected)
	world.start()
	world.scheduler.Run(config.Duration)
	world.checker.finish()
	return sim.Report{
		Seed:     seed,
		Hash:     world.trace.Hash(),
		Events:   world.scheduler.Executed(),
		Faults:   injected,
		Rules:    world.rules.Results(),
		Counters: world.counters,
		Plan:     plan,
	}
}

func build(config Config, seed uint64, trace io.Writer) *World {
	world := &World{
		config:    config,
		scheduler: sim.NewScheduler(),
		streams:   sim.NewStreams(seed),
		byName:    make(map[fleet.NodeName]*node),
		byGossip:  make(map[string]*node),
		counters:  make(map[string]uint64),
		armed:     make(map[armedKey][]sim.Fault),
	}
	world.trace = sim.NewTrace(world.scheduler, trace)
	world.rules = sim.NewRules(world.scheduler, world.trace, ruleNames()...)
	world.network = sim.NewNetwork(world.scheduler, world.trace, world.streams, sameZoneLink, crossZoneLink)
	world.checker = newChecker(world)
	for index := range config.Zones {
		world.zones = append(world.zones, fleet.Zone(fmt.Sprintf("zone%d", index+1)))
	}
	world.store = newStoreProcess(world)
	world.machines = newMachinesProcess(world)
	world.weights = newWeightsProcess(world)
	world.demand = newDemand(world)
	for index := range config.Engines {
		world.engines = append(world.engines, newEngineProcess(world, index))
	}
	for index := range config.Zones * servicesInZone {
		world.services = append(world.services, newServiceProcess(world, index))
	}
	for index := range config.Nodes {
		world.addNode(newNode(world, index))
	}
	for index := range operatorCount {
		world.operators = append(world.operators, newOperator(world, index))
	}
	return world
}

func (w *World) addNode(added *node) {
	w.nodes = append(w.nodes, added)
	w.byName[added.name] = added
	w.byGossip[added.addresses.Gossip] = added
}

// start starts the platform immediately and the fleet and the operators within
// the first seconds.
func (w *World) start() {
	w.seedDeclarations()
	w.store.process.Start()
	w.machines.process.Start()
	w.weights.process.Start()
	random := w.streams.Stream("start")
	for _, engine := range w.engines {
		w.scheduler.After(sim.Between(random, 0, time.Second), engine.process.Start)
	}
	for _, service := range w.services {
		service.process.Start()
	}
	for _, node := range w.nodes {
		w.scheduler.After(sim.Between(random, 0, time.Second), node.process.Start)
	}
	for _, operator := range w.operators {
		w.scheduler.After(sim.Between(random, time.Second, 3*time.Second), operator.process.Start)
	}
	w.startDemand()
}

func (w *World) startDemand() {
	w.demand.next()
	w.scheduler.At(w.faultsOver+recoveryBound, w.checker.probeLoads)
	w.scheduler.At(w.config.Duration-leaveTimeBeforeEnd, w.announceEngineLeaving)
	w.scheduler.At(w.config.Duration-drainTimeBeforeEnd, w.drainNode)
	w.scheduler.At(w.config.Duration-deathDetectionBound, w.checker.killNodeForGood)
}

func (w *World) count(name string) {
	w.counters[name]++
}

// zoneOf assigns processes to the zones in round-robin order.
func (w *World) zoneOf(index int) fleet.Zone {
	return w.zones[index%len(w.zones)]
}

// drawClock draws a clock with a realistic offset and drift.
func drawClock(random *rand.Rand) sim.Clock {
	return sim.Clock{
		Offset:   sim.Between(random, -20*time.Millisecond, 20*time.Millisecond),
		DriftPPM: random.Int64N(401) - 200,
	}
}
