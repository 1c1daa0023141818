package world

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// World is one simulated fleet with all that is around it.
type World struct {
	config    Config
	scheduler *sim.Scheduler
	streams   *sim.Streams
	trace     *sim.Trace
	network   *sim.Network
	rules     *sim.Rules
	judge     *judge

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

	// faultsOver is when the last fault of the plan ends.
	faultsOver time.Duration
	counters   map[string]uint64
	armed      map[armedKey][]sim.Fault
}

// servicesInZone is the number of command servers in each zone.
const servicesInZone = 2

// platformZone is where the platform's services run. No fault of a fleet zone
// reaches it, but zones can be cut off from it.
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

// Run simulates one seed. A nil plan is drawn from the seed; the trace, if not
// nil, gets a line for each event.
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
	world.judge.finish()
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
	world.judge = newJudge(world)
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

// start brings up the platform, then the fleet over the first second.
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
	w.scheduler.At(w.faultsOver+quietBound, w.judge.probeLoads)
	w.scheduler.At(w.config.Duration-leaveBefore, w.leaveOne)
	w.scheduler.At(w.config.Duration-drainBefore, w.drainOne)
	w.scheduler.At(w.config.Duration-deathBound, w.judge.killOne)
}

func (w *World) count(name string) {
	w.counters[name]++
}

// zoneOf spreads the n-th of a kind over the zones in turn.
func (w *World) zoneOf(index int) fleet.Zone {
	return w.zones[index%len(w.zones)]
}

// drawClock draws a clock that is wrong as clocks of machines are.
func drawClock(random *rand.Rand) sim.Clock {
	return sim.Clock{
		Offset:   sim.Between(random, -20*time.Millisecond, 20*time.Millisecond),
		DriftPPM: random.Int64N(401) - 200,
	}
}
