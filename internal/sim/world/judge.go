package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// The rules on configuration and membership. All rules are checked against the
// actual state: the objects in the store, the state of the engines and the cores
// of each node.
const (
	// ruleVersionsGrow: on a node, neither the version of an object nor the
	// configuration version in force decreases.
	ruleVersionsGrow sim.RuleName = "versions-only-grow"
	// ruleNoRevert: once a version of an object was in force on all live nodes,
	// no serving node has an earlier version in force.
	ruleNoRevert sim.RuleName = "accepted-write-never-reverts"
	// ruleInForce: an accepted write is in force on all live nodes within a
	// bounded time after the faults have ended.
	ruleInForce sim.RuleName = "accepted-write-in-force"
	// ruleMembers: all live nodes of a zone see each other as alive within a
	// bounded time after the faults have ended.
	ruleMembers sim.RuleName = "members-converge"
	// ruleDead: when a node dies after the faults have ended, the other nodes of
	// its zone detect it within a bounded time.
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
	// inForceBound is the maximum time until an accepted write is in force on
	// all live nodes in the absence of faults.
	inForceBound = 10 * time.Second
	// recoveryBound is the maximum time for the fleet to recover after the last
	// fault.
	recoveryBound = 45 * time.Second
	// deathDetectionBound is the maximum time until the death of a node is
	// detected.
	deathDetectionBound = 12 * time.Second
)

// checker checks the rules and holds the history that they need.
type checker struct {
	world *World
	// views hold the last observed configuration of each node.
	views map[fleet.NodeName]*configView
	// heldByAll is, for each object, the highest version that all live nodes
	// held at the same time.
	heldByAll map[objectstore.Key]uint64
	// record is the allotment record currently in the store.
	record allotment.Record
	// loadOrders are the IDs of the load orders that engines accepted.
	loadOrders map[string]bool
	// victim is the node that was killed and is not restarted.
	victim *node
	// pendingProbes counts the probes of probeLoads that have not finished.
	pendingProbes int
	// calls and serviceCalls are all calls of the run.
	calls        []*call
	serviceCalls []*serviceCall
}

// configView is the observed configuration of the current boot of a node.
type configView struct {
	boot     uint64
	version  uint64
	loaded   bool
	versions map[objectstore.Key]uint64
}

func newChecker(world *World) *checker {
	return &checker{
		world:      world,
		views:      make(map[fleet.NodeName]*configView),
		heldByAll:  make(map[objectstore.Key]uint64),
		loadOrders: make(map[string]bool),
	}
}

// writeAccepted is called when an operator knows that its write was accepted. It
// schedules the check that the write is in force, inForceBound later and not
// before the fleet has had recoveryBound to recover from the last fault.
func (c *checker) writeAccepted(object objectstore.Object) {
	world := c.world
	from := max(world.scheduler.Elapsed(), world.faultsOver+recoveryBound-inForceBound)
	world.scheduler.At(from+inForceBound, func() {
		for _, node := range world.nodes {
			c.checkInForce(node, object)
		}
	})
}

func (c *checker) checkInForce(node *node, object objectstore.Object) {
	if node.process.State() != sim.ProcessRunning {
		return
	}
	held, found := node.config.core.Lookup(object.Key())
	c.world.rules.Check(ruleInForce, found && held.Version >= object.Version,
		"%s holds %s/%s at version %d; %d by %s was accepted", node.name, object.Kind, object.Name,
		held.Version, object.Version, object.ChangedBy)
}

// configChanged is called after each change of the configuration in force on a
// node.
func (c *checker) configChanged(node *node, version uint64, changed []objectstore.Object) {
	view := c.view(node)
	rules := c.world.rules
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
		c.checkNoRevert(node)
		c.recordHeldByAll(changed)
	}
}

func (c *checker) view(node *node) *configView {
	view := c.views[node.name]
	if view == nil || view.boot != node.process.Boot() {
		view = &configView{boot: node.process.Boot(), versions: make(map[objectstore.Key]uint64)}
		c.views[node.name] = view
	}
	return view
}

// checkNoRevert compares the objects in force on a node with the versions that
// all live nodes held earlier.
func (c *checker) checkNoRevert(node *node) {
	for key, version := range c.heldByAll {
		held, _ := node.config.core.Lookup(key)
		if held.Version >= version {
			continue
		}
		c.world.rules.Check(ruleNoRevert, false, "%s serves %s/%s at version %d; %d was in force everywhere",
			node.name, key.Kind, key.Name, held.Version, version)
	}
	c.world.rules.Check(ruleNoRevert, true, "")
}

// recordHeldByAll records the versions of the changed objects that all live
// nodes now hold.
func (c *checker) recordHeldByAll(changed []objectstore.Object) {
	for _, object := range changed {
		key := object.Key()
		least, known := c.minHeldVersion(key)
		if known && least > c.heldByAll[key] {
			c.heldByAll[key] = least
		}
	}
}

func (c *checker) minHeldVersion(key objectstore.Key) (uint64, bool) {
	least, known := uint64(0), false
	for _, node := range c.world.nodes {
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

// finish checks the rules that apply to the end of a run.
func (c *checker) finish() {
	c.checkCalls()
	c.checkServices()
	if c.world.scheduler.Elapsed() < c.world.faultsOver+recoveryBound {
		return
	}
	c.world.rules.Check(ruleLoads, c.pendingProbes == 0, "%d wants are neither served nor given up", c.pendingProbes)
	for _, observer := range c.world.nodes {
		if observer.process.State() == sim.ProcessRunning {
			c.checkMembers(observer)
		}
	}
}

func (c *checker) checkMembers(observer *node) {
	states := make(map[fleet.NodeName]fleet.MemberState)
	for _, member := range observer.membership.core.Members() {
		states[member.Name] = member.State
	}
	for _, other := range c.world.nodes {
		if other.zone != observer.zone || other.process.State() != sim.ProcessRunning {
			continue
		}
		c.world.rules.Check(ruleMembers, states[other.name] == fleet.MemberAlive,
			"%s holds %s for %q", observer.name, other.name, states[other.name])
	}
	if victim := c.victim; victim != nil && victim.zone == observer.zone {
		state := states[victim.name]
		c.world.rules.Check(ruleDead, state != fleet.MemberAlive && state != fleet.MemberSuspect,
			"%s holds %s, dead for %s, for %q", observer.name, victim.name, deathDetectionBound, state)
	}
}

// killNodeForGood kills a random node shortly before the end of a run without
// restarting it.
func (c *checker) killNodeForGood() {
	random := c.world.streams.Stream("victim")
	victim := c.world.nodes[random.IntN(len(c.world.nodes))]
	if victim.process.State() == sim.ProcessRunning {
		victim.process.Die()
		c.victim = victim
	}
}
