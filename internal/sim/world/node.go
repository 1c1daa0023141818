package world

import (
	"fmt"
	"math/rand/v2"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// node is one node of the fleet. Each of its cores has a thin adapter, called a
// part, that turns the effects of the core into messages on the simulated
// network.
type node struct {
	world     *World
	process   *sim.Process
	name      fleet.NodeName
	zone      fleet.Zone
	addresses fleet.Addresses
	// random draws the values that differ between boots.
	random *rand.Rand

	// The following fields are rebuilt at each start.
	membership *membershipPart
	config     *configPart
	control    *controlPart
	requests   *requestsPart
	services   *servicePart
	compiler   *catalog.Compiler
	// tables are the node's current routing tables.
	tables map[fleet.Zone]fleet.RouteTable
}

func newNode(world *World, index int) *node {
	name := fmt.Sprintf("node%02d", index+1)
	created := &node{
		world:  world,
		name:   fleet.NodeName(name),
		zone:   world.zoneOf(index),
		random: world.streams.Stream("boot/" + name),
		addresses: fleet.Addresses{
			Caller: name + ":caller", Operator: name + ":operator", Peer: name + ":peer", Gossip: name + ":gossip",
		},
	}
	created.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name:  name,
		Zone:  string(created.zone),
		Clock: drawClock(world.streams.Stream("clock/" + name)),
		Start: created.start,
	})
	return created
}

// start builds the cores of a new boot. No state of an earlier boot is kept.
func (n *node) start(uint64) {
	self := n.member(n.random.Uint64())
	seed := n.random.Uint64()
	n.membership = newMembershipPart(n, self, seed)
	n.config = newConfigPart(n, self, seed)
	n.control = newControlPart(n, self, seed)
	n.requests = newRequestsPart(n, seed)
	n.services = newServicePart(n, seed)
	n.compiler = catalog.NewCompiler()
	n.tables = nil
	n.membership.start()
	n.config.start()
	n.control.start()
}

func (n *node) member(bootID uint64) fleet.Member {
	return fleet.Member{
		Name: n.name, Zone: n.zone, State: fleet.MemberAlive, Addresses: n.addresses, BootID: bootID,
	}
}

// post runs the action in this node's process after the current event, like a
// message to a mailbox, so that no core is stepped during another core's step.
func (n *node) post(action func()) {
	boot := n.process.Boot()
	n.world.scheduler.After(0, func() { n.process.Do(boot, action) })
}

// alive reports whether the process is started and has not died.
func (n *node) alive() bool {
	return n.process.State() != sim.ProcessDead
}

func (n *node) machine() objectstore.Machine {
	return objectstore.Machine{
		Role: "node", Name: string(n.name), Zone: n.zone, State: objectstore.MachineLive, Node: n.addresses,
	}
}

// membersChanged passes a changed member list from membership to the other
// cores.
func (n *node) membersChanged(members []fleet.Member) {
	n.post(func() {
		n.config.membersChanged(members)
		n.control.step(control.MembersChanged{Members: members})
	})
}

// machinesChanged passes a changed machine list from the configuration core to
// the other cores.
func (n *node) machinesChanged(list objectstore.MachineList) {
	n.post(func() {
		n.membership.machinesChanged(list)
		n.control.step(control.MachinesChanged{List: list})
		n.requests.machinesChanged(list)
	})
}

// configChanged handles a change of the configuration in force.
func (n *node) configChanged(version uint64, changed []objectstore.Object) {
	n.world.checker.configChanged(n, version, changed)
	n.post(func() {
		n.membership.configVersion(version)
		n.compile(changed)
		for _, object := range changed {
			if object.Key() == recordKey {
				n.control.recordChanged(object)
			}
		}
	})
}

// compile compiles the configuration in force and passes it to the control core.
func (n *node) compile(changed []objectstore.Object) {
	n.compiler.Apply(changed)
	version, loaded := n.config.core.Version()
	if !loaded {
		return
	}
	snapshot, _ := n.compiler.Snapshot(version)
	n.control.catalogChanged(snapshot)
}
