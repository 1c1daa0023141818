package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// The rules. Each is checked against what really is: the store's own objects,
// the engines' own state, each node's own cores.
const (
	// ruleVersionsGrow: on a node neither an object nor the version in force
	// goes back.
	ruleVersionsGrow sim.RuleName = "versions-only-grow"
	// ruleNoRevert: what was once in force on all live nodes is in force on
	// every node that serves from then on.
	ruleNoRevert sim.RuleName = "accepted-write-never-reverts"
	// ruleInForce: an accepted write is in force on all live nodes within
	// bounded time once faults are over.
	ruleInForce sim.RuleName = "accepted-write-in-force"
	// ruleMembers: all live nodes of a zone hold each other for alive within
	// bounded time once faults are over.
	ruleMembers sim.RuleName = "members-converge"
	// ruleDead: a node that died is held for dead by its zone within bounded
	// time, once faults are over.
	ruleDead sim.RuleName = "dead-node-is-noticed"
)

func ruleNames() []sim.RuleName {
	return []sim.RuleName{
		ruleVersionsGrow, ruleNoRevert, ruleInForce, ruleMembers,
		ruleEndsOnce, ruleInTime, ruleAnswer, ruleNotRun, ruleLeaving, rulePlannedStop, ruleRunsOnce,
		ruleReplicas, ruleCeiling, ruleRaise, ruleOrderOnce, ruleMemory, ruleLoads, ruleDead,
	}
}

const (
	// inForceBound is how long an accepted write may take once nothing fails.
	inForceBound = 10 * time.Second
	// quietBound is how long the fleet may take to get over the last fault.
	quietBound = 45 * time.Second
	// deathBound is how long a death may go unnoticed.
	deathBound = 12 * time.Second
)

// judge keeps what the rules need to know of the past.
type judge struct {
	world *World
	// views are what each node was seen to hold, by boot.
	views map[fleet.NodeName]*configView
	// everywhere are the versions that all live nodes held at one moment.
	everywhere map[objectstore.Key]uint64
	// record is the record of allotments as it stands in the store.
	record allotment.Record
	// loadOrders are the IDs of the load orders that engines took.
	loadOrders map[string]bool
	// victim is the node that was killed for good.
	victim *node
	// probing counts the wants of probeLoads that are not yet served.
	probing int
	// calls are all that were made.
	calls        []*call
	serviceCalls []*serviceCall
}

// configView is what a node's present boot holds.
type configView struct {
	boot     uint64
	version  uint64
	loaded   bool
	versions map[objectstore.Key]uint64
}

func newJudge(world *World) *judge {
	return &judge{
		world:      world,
		views:      make(map[fleet.NodeName]*configView),
		everywhere: make(map[objectstore.Key]uint64),
		loadOrders: make(map[string]bool),
	}
}

// accepted is told once an operator knows that its write took effect. The
// check comes after the bound, counted from the end of the faults.
func (j *judge) accepted(object objectstore.Object) {
	world := j.world
	from := max(world.scheduler.Elapsed(), world.faultsOver+quietBound-inForceBound)
	world.scheduler.At(from+inForceBound, func() {
		for _, node := range world.nodes {
			j.checkInForce(node, object)
		}
	})
}

func (j *judge) checkInForce(node *node, object objectstore.Object) {
	if node.process.State() != sim.ProcessRunning {
		return
	}
	held, found := node.config.core.Lookup(object.Key())
	j.world.rules.Check(ruleInForce, found && held.Version >= object.Version,
		"%s holds %s/%s at version %d; %d by %s was accepted", node.name, object.Kind, object.Name,
		held.Version, object.Version, object.ChangedBy)
}

// configChanged is called after each change of what a node has in force.
func (j *judge) configChanged(node *node, version uint64, changed []objectstore.Object) {
	view := j.view(node)
	rules := j.world.rules
	rules.Check(ruleVersionsGrow, version >= view.version,
		"%s went from version %d to %d", node.name, view.version, version)
	view.version = version
	_, view.loaded = node.config.core.Version()
	for _, object := range changed {
		key := object.Key()
		rules.Check(ruleVersionsGrow, object.Version >= view.versions[key],
			"%s went from version %d to %d of %s/%s", node.name, view.versions[key], object.Version, key.Kind, key.Name)
		view.versions[key] = object.Version
	}
	if view.loaded {
		j.checkNoRevert(node)
		j.noteEverywhere(changed)
	}
}

func (j *judge) view(node *node) *configView {
	view := j.views[node.name]
	if view == nil || view.boot != node.process.Boot() {
		view = &configView{boot: node.process.Boot(), versions: make(map[objectstore.Key]uint64)}
		j.views[node.name] = view
	}
	return view
}

// checkNoRevert holds what a serving node has against what was in force
// everywhere before.
func (j *judge) checkNoRevert(node *node) {
	for key, version := range j.everywhere {
		held, _ := node.config.core.Lookup(key)
		if held.Version >= version {
			continue
		}
		j.world.rules.Check(ruleNoRevert, false, "%s serves %s/%s at version %d; %d was in force everywhere",
			node.name, key.Kind, key.Name, held.Version, version)
	}
	j.world.rules.Check(ruleNoRevert, true, "")
}

// noteEverywhere records what all live nodes now hold of the changed objects.
func (j *judge) noteEverywhere(changed []objectstore.Object) {
	for _, object := range changed {
		key := object.Key()
		least, known := j.leastHeld(key)
		if known && least > j.everywhere[key] {
			j.everywhere[key] = least
		}
	}
}

func (j *judge) leastHeld(key objectstore.Key) (uint64, bool) {
	least, known := uint64(0), false
	for _, node := range j.world.nodes {
		if !node.alive() {
			continue
		}
		held, _ := node.config.core.Lookup(key)
		if !known || held.Version < least {
			least, known = held.Version, true
		}
	}
	return least, known
}

// finish checks what must hold at the end of a run.
func (j *judge) finish() {
	j.judgeCalls()
	j.judgeServices()
	if j.world.scheduler.Elapsed() < j.world.faultsOver+quietBound {
		return
	}
	j.world.rules.Check(ruleLoads, j.probing == 0, "%d wants are neither served nor given up", j.probing)
	for _, observer := range j.world.nodes {
		if observer.process.State() == sim.ProcessRunning {
			j.checkMembers(observer)
		}
	}
}

func (j *judge) checkMembers(observer *node) {
	states := make(map[fleet.NodeName]fleet.MemberState)
	for _, member := range observer.membership.core.Members() {
		states[member.Name] = member.State
	}
	for _, other := range j.world.nodes {
		if other.zone != observer.zone || other.process.State() != sim.ProcessRunning {
			continue
		}
		j.world.rules.Check(ruleMembers, states[other.name] == fleet.MemberAlive,
			"%s holds %s for %q", observer.name, other.name, states[other.name])
	}
	if victim := j.victim; victim != nil && victim.zone == observer.zone {
		state := states[victim.name]
		j.world.rules.Check(ruleDead, state != fleet.MemberAlive && state != fleet.MemberSuspect,
			"%s holds %s, dead for %s, for %q", observer.name, victim.name, deathBound, state)
	}
}

// killOne kills a node for good shortly before the end of a run.
func (j *judge) killOne() {
	random := j.world.streams.Stream("victim")
	victim := j.world.nodes[random.IntN(len(j.world.nodes))]
	if victim.process.State() == sim.ProcessRunning {
		victim.process.Die()
		j.victim = victim
	}
}
