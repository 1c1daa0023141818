package control

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/objects"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// cluster runs control cores, engines and a store on a virtual clock. The
// invariants are checked against the actual state of the engines.
type cluster struct {
	now      time.Time
	random   *rand.Rand
	queue    eventQueue
	sequence int
	nodes    map[fleet.NodeName]*testNode
	engines  map[fleet.BackendName]*testEngine
	store    *objects.Store
	// storeDown makes every call to the store fail.
	storeDown bool
	// lossRate is the fraction of calls whose answer is lost; half of these
	// calls are carried out nevertheless, some of them much later.
	lossRate   float64
	defects    Defects
	faultyNode fleet.NodeName
	settings   Settings
	// claimDelay delays a claim on its way to the engine; nil for no delay.
	claimDelay func(from fleet.NodeName, engine fleet.BackendName) time.Duration
	models     []catalog.ModelInfo
	// evacuations is part of the catalog in force.
	evacuations evacuation.Snapshot
	topology    locality.Map
	// regionalDemand makes some nodes want models in one region only.
	regionalDemand bool
	// needsCheck is set when an engine or the record has changed.
	needsCheck bool
	violations []string
	loads      int
	refusals   int
	machines   objectstore.MachineList
	// weights limits the loads; nil for no limit.
	weights    *weightStore
	coldStarts []*coldStart
}

type testNode struct {
	member      fleet.Member
	core        *Core
	boot        uint64
	down        bool
	pausedUntil time.Time
	tables      map[fleet.Zone]fleet.RouteTable
	refused     []fleet.LoadRefusal
	// missesRecords keeps records from reaching the node.
	missesRecords bool
	// reachesNoEngine makes all calls of the node to engines fail.
	reachesNoEngine bool
	// suspected are the members that this node considers dead.
	suspected map[fleet.NodeName]bool
}

type testEngine struct {
	core    *engine.Core
	backend fleet.Backend
	down    bool
	state   objectstore.MachineState
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clusterOptions set the size and behavior of a cluster.
type clusterOptions struct {
	seed                  uint64
	zones, nodes, engines int
	models                []catalog.ModelInfo
	defects               Defects
	// faultyNode restricts the defects to one node; empty for all nodes.
	faultyNode fleet.NodeName
	// boundedStore gives the weight store the limits of the default settings.
	boundedStore bool
}

func newCluster(options clusterOptions) *cluster {
	settings := DefaultSettings()
	var boundedStore *weightStore
	if options.boundedStore {
		boundedStore = &weightStore{done: make(map[string]func()), core: weights.New(weights.Options{
			ReadsPerSecond: settings.Placement.StoreLoadsPerSecond,
			Concurrency:    settings.Placement.StoreConcurrency,
		})}
	} else {
		settings.Placement.StoreLoadsPerSecond = 100
		settings.Placement.StoreConcurrency = 100
	}
	c := &cluster{
		now:        testStart,
		random:     rand.New(rand.NewPCG(options.seed, 7)),
		nodes:      make(map[fleet.NodeName]*testNode),
		engines:    make(map[fleet.BackendName]*testEngine),
		store:      objects.New(0),
		defects:    options.defects,
		faultyNode: options.faultyNode,
		settings:   settings,
		models:     options.models,
		weights:    boundedStore,
	}
	for zone := range options.zones {
		for index := range options.engines {
			c.addEngine(fleet.Zone(fmt.Sprintf("z%d", zone)), index)
		}
		for index := range options.nodes {
			c.addNode(fleet.Zone(fmt.Sprintf("z%d", zone)), index)
		}
	}
	c.listMachines()
	for _, name := range c.nodeNames() {
		c.boot(name)
	}
	c.redistributeRecord()
	return c
}

// redistributeRecord sends the record again at intervals, as the
// configuration's digests do to repair lost pushes.
func (c *cluster) redistributeRecord() {
	if !c.storeDown {
		c.distributeRecord()
	}
	c.after(3*time.Second, c.redistributeRecord)
}

const gib = int64(1) << 30

func (c *cluster) addEngine(zone fleet.Zone, index int) {
	name := fleet.BackendName(fmt.Sprintf("%s-e%d", zone, index))
	backend := fleet.Backend{Name: name, Kind: fleet.KindEngine, Zone: zone, Address: string(name)}
	c.engines[name] = &testEngine{
		backend: backend,
		state:   objectstore.MachineLive,
		core: engine.New(engine.Options{
			Backend:     backend,
			Incarnation: 1,
			MemoryBytes: 40 * gib,
			Timing:      engine.Timing{RemoteLoad: 2 * time.Second},
		}),
	}
}

func (c *cluster) addNode(zone fleet.Zone, index int) {
	name := fleet.NodeName(fmt.Sprintf("%s-n%d", zone, index))
	c.nodes[name] = &testNode{
		member:    fleet.Member{Name: name, Zone: zone, State: fleet.MemberAlive},
		suspected: make(map[fleet.NodeName]bool),
	}
}

func (c *cluster) nodeNames() []fleet.NodeName { return slices.Sorted(maps.Keys(c.nodes)) }

func (c *cluster) engineNames() []fleet.BackendName { return slices.Sorted(maps.Keys(c.engines)) }

func (c *cluster) listMachines() {
	c.machines = objectstore.MachineList{AsOfUnixMilli: c.machines.AsOfUnixMilli + 1}
	for _, name := range c.engineNames() {
		backend, state := c.engines[name].backend, c.engines[name].state
		c.machines.Machines = append(c.machines.Machines, objectstore.Machine{
			Role: "engine", Name: string(name), Zone: backend.Zone, State: state, Address: string(name),
		})
	}
	for _, name := range c.nodeNames() {
		c.machines.Machines = append(c.machines.Machines, objectstore.Machine{
			Role: "node", Name: string(name), Zone: c.nodes[name].member.Zone, State: objectstore.MachineLive,
		})
	}
}

// boot starts a new process of a node without any state of the previous one.
func (c *cluster) boot(name fleet.NodeName) {
	node := c.nodes[name]
	node.boot++
	node.down = false
	defects := c.defects
	if c.faultyNode != "" && c.faultyNode != name {
		defects = Defects{}
	}
	node.core = New(Options{
		Self:     name,
		Zone:     node.member.Zone,
		BootID:   node.boot * 1000003,
		Seed:     uint64(len(name)) + node.boot,
		Settings: c.settings,
		Defects:  defects,
	})
	boot := node.boot
	c.step(name, boot, MachinesChanged{List: c.machines})
	c.step(name, boot, c.catalog())
	c.tick(name, boot)
	c.distributeMembers()
}

// catalog returns the declared models and related configuration.
func (c *cluster) catalog() CatalogChanged {
	return CatalogChanged{Models: c.models, ColdStartWeight: 0.5, Evacuations: c.evacuations, Topology: c.topology}
}

func (c *cluster) distributeCatalog() {
	for _, name := range c.nodeNames() {
		c.send(name, c.catalog())
	}
}

func (c *cluster) distributeMembers() {
	for _, name := range c.nodeNames() {
		c.sendMembers(name)
	}
}

func (c *cluster) sendMembers(name fleet.NodeName) {
	node := c.nodes[name]
	var members []fleet.Member
	for _, other := range c.nodeNames() {
		member := c.nodes[other].member
		if c.nodes[other].down || node.suspected[other] {
			member.State = fleet.MemberDead
		}
		members = append(members, member)
	}
	c.send(name, MembersChanged{Members: members})
}

func (c *cluster) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(delay), sequence: c.sequence, run: run})
}

func (c *cluster) latency() time.Duration {
	return time.Duration(1+c.random.IntN(30)) * time.Millisecond
}

// send delivers a message to the current process of a node.
func (c *cluster) send(name fleet.NodeName, message Message) {
	boot := c.nodes[name].boot
	c.after(c.latency(), func() { c.step(name, boot, message) })
}

func (c *cluster) tick(name fleet.NodeName, boot uint64) {
	c.step(name, boot, Tick{})
	if c.nodes[name].boot == boot {
		c.after(100*time.Millisecond, func() { c.tick(name, boot) })
	}
}

// step passes a message to a core; a paused node handles it after the pause.
func (c *cluster) step(name fleet.NodeName, boot uint64, message Message) {
	node := c.nodes[name]
	if node.boot != boot || node.down {
		return
	}
	if c.now.Before(node.pausedUntil) {
		c.after(node.pausedUntil.Sub(c.now), func() { c.step(name, boot, message) })
		return
	}
	for _, effect := range node.core.Step(c.now, message) {
		c.perform(name, boot, effect)
	}
}

// run advances the virtual clock by span.
func (c *cluster) run(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
		if c.needsCheck {
			c.needsCheck = false
			c.checkInvariants()
		}
	}
	c.now = end
}

// reportWant reports waiting requests at a node, as the node's queue does every
// second.
func (c *cluster) reportWant(name fleet.NodeName, model fleet.ModelVersion, waiting int) {
	node := c.nodes[name]
	c.send(name, WantsReported{From: name, Wants: []fleet.Want{{
		Model: model, Node: name, Zone: node.member.Zone, Waiting: waiting, Arrivals: waiting,
		Deadline: c.now.Add(30 * time.Second),
	}}})
}

// checkInvariants checks the engines' actual state against the record.
func (c *cluster) checkInvariants() {
	record := c.stored().Record
	total := make(map[fleet.ModelVersion]int)
	for _, name := range c.engineNames() {
		if c.engines[name].state == objectstore.MachineGone {
			continue
		}
		state := c.engines[name].core.State(c.now)
		if state.UsedBytes() > state.MemoryBytes-state.KVReserveBytes {
			c.addViolation("memory overcommitted on %s", name)
		}
		for _, loaded := range state.Models {
			total[loaded.Model]++
		}
	}
	for _, model := range slices.SortedFunc(maps.Keys(total), fleet.ModelVersion.Compare) {
		if limit := record.Models[model].ReplicaLimit; total[model] > limit {
			c.addViolation("%d replicas of %s, replica limit %d", total[model], model, limit)
		}
	}
	for _, model := range record.Overcommitted() {
		c.addViolation("ceilings of %s exceed the replica limit", model)
	}
}

// checkWrittenRecord compares a written record with the previous one: the
// replica limit may rise only up to the declared target.
func (c *cluster) checkWrittenRecord(before, after allotment.Record) {
	for model, decision := range after.Models {
		if decision.ReplicaLimit > max(before.Models[model].ReplicaLimit, decision.Target) {
			c.addViolation("replica limit of %s raised to %d, target %d", model, decision.ReplicaLimit, decision.Target)
		}
	}
}

func (c *cluster) addViolation(format string, arguments ...any) {
	c.violations = append(c.violations, c.now.Sub(testStart).String()+": "+fmt.Sprintf(format, arguments...))
}

// replicas counts the replicas of the model on all engines.
func (c *cluster) replicas(model fleet.ModelVersion) int {
	count := 0
	for _, name := range c.engineNames() {
		state := c.engines[name].core.State(c.now)
		if c.engines[name].state != objectstore.MachineGone && state.Find(model) != nil {
			count++
		}
	}
	return count
}

// leaders returns the nodes that lead under an established round.
func (c *cluster) leaders() []fleet.NodeName {
	var leaders []fleet.NodeName
	for _, name := range c.nodeNames() {
		if leading, _ := c.nodes[name].core.Leading(); leading && !c.nodes[name].down {
			leaders = append(leaders, name)
		}
	}
	return leaders
}
