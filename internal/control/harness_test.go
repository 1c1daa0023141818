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
// engines' own state is the judge.
type cluster struct {
	now      time.Time
	random   *rand.Rand
	queue    eventQueue
	sequence int
	nodes    map[fleet.NodeName]*testNode
	engines  map[fleet.BackendName]*testEngine
	store    *objects.Store
	// storeDown lets every call to the store fail.
	storeDown bool
	// lossShare is the share of calls whose answer is lost; half of them are
	// carried out nevertheless, some much later.
	lossShare float64
	defects   Defects
	faulty    fleet.NodeName
	settings  Settings
	// hold delays a claim on its way to the engine; nil for none.
	hold   func(from fleet.NodeName, engine fleet.BackendName) time.Duration
	models []catalog.ModelInfo
	// evacuations are in force beside the models.
	evacuations evacuation.Snapshot
	places      locality.Map
	// regional lets some nodes want models in one region only.
	regional bool
	// unjudged is set where an engine or the record changed.
	unjudged   bool
	violations []string
	loads      int
	refusals   int
	machines   objectstore.MachineList
	// weights bounds the loads; nil for none.
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
	// deaf nodes hear no records from others.
	deaf bool
	// suspects are members that this node takes for dead.
	suspects map[fleet.NodeName]bool
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

// clusterOptions size a cluster.
type clusterOptions struct {
	seed                 uint64
	zones, nodes, engins int
	models               []catalog.ModelInfo
	defects              Defects
	// faulty bounds the defects to one node; empty for all.
	faulty fleet.NodeName
	// boundedStore gives the weight store the bounds of the settings.
	boundedStore bool
}

func newCluster(options clusterOptions) *cluster {
	settings := DefaultSettings()
	var bounded *weightStore
	if options.boundedStore {
		bounded = &weightStore{done: make(map[string]func()), core: weights.New(weights.Options{
			ReadsPerSecond: settings.Placement.StoreLoadsPerSecond,
			Concurrency:    settings.Placement.StoreConcurrency,
		})}
	} else {
		settings.Placement.StoreLoadsPerSecond = 100
		settings.Placement.StoreConcurrency = 100
	}
	c := &cluster{
		now:      testStart,
		random:   rand.New(rand.NewPCG(options.seed, 7)),
		nodes:    make(map[fleet.NodeName]*testNode),
		engines:  make(map[fleet.BackendName]*testEngine),
		store:    objects.New(0),
		defects:  options.defects,
		faulty:   options.faulty,
		settings: settings,
		models:   options.models,
		weights:  bounded,
	}
	for zone := range options.zones {
		for index := range options.engins {
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
	c.repairRecords()
	return c
}

// repairRecords hands the record out again from time to time, as the digests of
// the configuration do for what a push missed.
func (c *cluster) repairRecords() {
	if !c.storeDown {
		c.spreadRecord()
	}
	c.after(3*time.Second, c.repairRecords)
}

const gib = int64(1) << 30

func (c *cluster) addEngine(zone fleet.Zone, index int) {
	name := fleet.BackendName(fmt.Sprintf("%s-e%d", zone, index))
	described := fleet.Backend{Name: name, Kind: fleet.KindEngine, Zone: zone, Address: string(name)}
	c.engines[name] = &testEngine{
		backend: described,
		state:   objectstore.MachineLive,
		core: engine.New(engine.Options{
			Backend:     described,
			Incarnation: 1,
			MemoryBytes: 40 * gib,
			Timing:      engine.Timing{RemoteLoad: 2 * time.Second},
		}),
	}
}

func (c *cluster) addNode(zone fleet.Zone, index int) {
	name := fleet.NodeName(fmt.Sprintf("%s-n%d", zone, index))
	c.nodes[name] = &testNode{
		member:   fleet.Member{Name: name, Zone: zone, State: fleet.MemberAlive},
		suspects: make(map[fleet.NodeName]bool),
	}
}

func (c *cluster) nodeNames() []fleet.NodeName { return slices.Sorted(maps.Keys(c.nodes)) }

func (c *cluster) engineNames() []fleet.BackendName { return slices.Sorted(maps.Keys(c.engines)) }

func (c *cluster) listMachines() {
	c.machines = objectstore.MachineList{AsOfUnixMilli: c.machines.AsOfUnixMilli + 1}
	for _, name := range c.engineNames() {
		described, state := c.engines[name].backend, c.engines[name].state
		c.machines.Machines = append(c.machines.Machines, objectstore.Machine{
			Role: "engine", Name: string(name), Zone: described.Zone, State: state, Address: string(name),
		})
	}
	for _, name := range c.nodeNames() {
		c.machines.Machines = append(c.machines.Machines, objectstore.Machine{
			Role: "node", Name: string(name), Zone: c.nodes[name].member.Zone, State: objectstore.MachineLive,
		})
	}
}

// boot starts a node's process: it knows nothing of what it knew before.
func (c *cluster) boot(name fleet.NodeName) {
	node := c.nodes[name]
	node.boot++
	node.down = false
	defects := c.defects
	if c.faulty != "" && c.faulty != name {
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
	c.spreadMembers()
}

// catalog is what is declared.
func (c *cluster) catalog() CatalogChanged {
	return CatalogChanged{Models: c.models, ColdStartWeight: 0.5, Evacuations: c.evacuations, Topology: c.places}
}

func (c *cluster) spreadCatalog() {
	for _, name := range c.nodeNames() {
		c.send(name, c.catalog())
	}
}

func (c *cluster) spreadMembers() {
	for _, name := range c.nodeNames() {
		c.sendMembers(name)
	}
}

func (c *cluster) sendMembers(name fleet.NodeName) {
	node := c.nodes[name]
	var members []fleet.Member
	for _, other := range c.nodeNames() {
		member := c.nodes[other].member
		if c.nodes[other].down || node.suspects[other] {
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

// send delivers a message to the present process of a node.
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

// step feeds a core; a paused node takes its messages when it goes on.
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

// run lets the virtual clock run for the span.
func (c *cluster) run(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
		if c.unjudged {
			c.unjudged = false
			c.judge()
		}
	}
	c.now = end
}

// want reports waiting requests at a node, as the node's queue does each
// second.
func (c *cluster) want(name fleet.NodeName, model fleet.ModelVersion, waiting int) {
	node := c.nodes[name]
	c.send(name, WantsReported{From: name, Wants: []fleet.Want{{
		Model: model, Node: name, Zone: node.member.Zone, Waiting: waiting, Arrivals: waiting,
		Deadline: c.now.Add(30 * time.Second),
	}}})
}

// judge holds the engines' own books against what is recorded.
func (c *cluster) judge() {
	record := c.stored().Record
	total := make(map[fleet.ModelVersion]int)
	for _, name := range c.engineNames() {
		if c.engines[name].state == objectstore.MachineGone {
			continue
		}
		state := c.engines[name].core.State(c.now)
		if state.UsedBytes() > state.MemoryBytes-state.KVReserveBytes {
			c.violate("memory overcommitted on %s", name)
		}
		for _, loaded := range state.Models {
			total[loaded.Model]++
		}
	}
	for _, model := range slices.SortedFunc(maps.Keys(total), fleet.ModelVersion.Compare) {
		if decided := record.Models[model].ReplicaLimit; total[model] > decided {
			c.violate("%d replicas of %s, decided %d", total[model], model, decided)
		}
	}
	for _, model := range record.Overcommitted() {
		c.violate("ceilings of %s exceed what was decided", model)
	}
}

// judgeChange holds a written record against the one before: the decided number
// grows only where the declared one does.
func (c *cluster) judgeChange(before, after allotment.Record) {
	for model, decision := range after.Models {
		if decision.ReplicaLimit > max(before.Models[model].ReplicaLimit, decision.Target) {
			c.violate("decided number of %s raised to %d, target %d", model, decision.ReplicaLimit, decision.Target)
		}
	}
}

func (c *cluster) violate(format string, arguments ...any) {
	c.violations = append(c.violations, c.now.Sub(testStart).String()+": "+fmt.Sprintf(format, arguments...))
}

// replicas counts the model on all engines.
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

// leaders are the nodes that lead under an established round.
func (c *cluster) leaders() []fleet.NodeName {
	var leaders []fleet.NodeName
	for _, name := range c.nodeNames() {
		if leading, _ := c.nodes[name].core.Leading(); leading && !c.nodes[name].down {
			leaders = append(leaders, name)
		}
	}
	return leaders
}
