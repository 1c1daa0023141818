package configsync

import (
	"fmt"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// envelope is a message in flight to one boot of a node.
type envelope struct {
	to      fleet.NodeName
	boot    int
	message Message
	// from is the sender of the message, or the peer that answers a digest.
	from fleet.NodeName
}

type testNode struct {
	// cutOff separates this node alone from the store.
	cutOff bool
	member fleet.Member
	boot   int
	core   *Core
	watch  *WatchStore
	// position is the last revision that the watch delivered.
	position    uint64
	versions    map[objectstore.Key]uint64
	lastVersion uint64
	machines    objectstore.MachineList
	// checkedObjects and checkedMachines are the states at the last check of the invariants.
	checkedObjects  objectTableState
	checkedMachines [2]uint64
}

// objectTableState identifies the state of an object table, to detect changes.
type objectTableState struct {
	loaded     bool
	version    uint64
	newest     uint64
	hash       uint64
	tombstones int
}

func stateOf(held *objectTable) objectTableState {
	return objectTableState{loaded: held.loaded, version: held.version, newest: held.newest, hash: held.hash, tombstones: held.tombstones}
}

// cluster runs several cores with a network and a store that can fail.
type cluster struct {
	now      time.Time
	store    testStore
	nodes    []*testNode
	inFlight []envelope
	options  Options
	// violation is the first violated invariant.
	violation string
	// reports are the StoreBehind and PeerDiverged effects.
	reports        []Effect
	calls          uint64
	pendingDigests map[uint64]envelope
}

func newCluster(zones []fleet.Zone, perZone int, options Options) *cluster {
	c := &cluster{now: time.Unix(1000, 0), options: options, pendingDigests: make(map[uint64]envelope)}
	for _, zone := range zones {
		for index := range perZone {
			name := fleet.NodeName(fmt.Sprintf("%s-%d", zone, index))
			c.nodes = append(c.nodes, &testNode{member: fleet.Member{Name: name, Zone: zone, State: fleet.MemberAlive}})
		}
	}
	for _, node := range c.nodes {
		c.start(node)
	}
	return c
}

// setMachine advances the time, so that a list as of the time of a change includes it.
func (c *cluster) setMachine(name string, state objectstore.MachineState) {
	c.now = c.now.Add(time.Millisecond)
	c.store.setMachine(c.now, name, state)
}

func (c *cluster) start(node *testNode) {
	node.boot++
	options := c.options
	options.Self = node.member
	options.Seed = uint64(node.boot)
	node.core = New(options)
	node.watch = nil
	node.versions = make(map[objectstore.Key]uint64)
	node.lastVersion = 0
	node.machines = objectstore.MachineList{}
	node.checkedObjects = objectTableState{}
	node.checkedMachines = [2]uint64{}
	c.step(node, MembersChanged{Members: c.members()})
}

func (c *cluster) members() []fleet.Member {
	members := make([]fleet.Member, 0, len(c.nodes))
	for _, node := range c.nodes {
		members = append(members, node.member)
	}
	return members
}

func (c *cluster) step(node *testNode, message Message) {
	for _, effect := range node.core.Step(c.now, message) {
		c.perform(node, effect)
	}
	c.checkInvariants(node)
}

func (c *cluster) send(to *testNode, from fleet.NodeName, message Message) {
	c.inFlight = append(c.inFlight, envelope{to: to.member.Name, boot: to.boot, from: from, message: message})
}

func (c *cluster) perform(node *testNode, effect Effect) {
	switch effect := effect.(type) {
	case ListStore:
		if c.store.down || node.cutOff {
			c.send(node, "", ListFailed(effect))
			return
		}
		c.send(node, "", StoreListed{Generation: effect.Generation, List: c.store.list()})
	case WatchStore:
		node.watch = &effect
		node.position = effect.Since
	case StopReading:
		node.watch = nil
	case SendPush:
		if to := c.node(effect.To.Name); to != nil {
			c.send(to, node.member.Name, PushReceived{From: node.member.Name, Push: effect.Push})
		}
	case SendDigest:
		if to := c.node(effect.To.Name); to != nil {
			c.calls++
			c.pendingDigests[c.calls] = envelope{to: node.member.Name, boot: node.boot, from: to.member.Name}
			c.send(to, node.member.Name, DigestReceived{Call: c.calls, From: node.member.Name, Digest: effect.Digest})
		}
	case AnswerDigest:
		answer := c.pendingDigests[effect.Call]
		answer.message = DigestAnswered{From: answer.from, Answer: effect.Answer}
		c.inFlight = append(c.inFlight, answer)
	case ListMachines:
		if !c.store.down && !node.cutOff {
			c.send(node, "", MachinesListed{List: c.store.machinesAt(c.now.UnixMilli())})
		}
	case MachinesUpdated:
		node.machines = effect.List
	case StoreBehind, PeerDiverged:
		c.reports = append(c.reports, effect)
	}
}

func (c *cluster) node(name fleet.NodeName) *testNode {
	for _, node := range c.nodes {
		if node.member.Name == name {
			return node
		}
	}
	return nil
}

// deliver delivers a message from the network. Messages to an earlier boot are lost, except pushes
// and digests, which reach the new one.
func (c *cluster) deliver(index int, keep bool) {
	message := c.inFlight[index]
	if !keep {
		c.inFlight = append(c.inFlight[:index:index], c.inFlight[index+1:]...)
	}
	node := c.node(message.to)
	switch message.message.(type) {
	case PushReceived, DigestReceived:
	default:
		if node.boot != message.boot {
			return
		}
	}
	c.step(node, message.message)
}

// deliverWatchEvent delivers the next event of a node's watch.
func (c *cluster) deliverWatchEvent(node *testNode) {
	if node.watch == nil {
		return
	}
	generation := node.watch.Generation
	if c.store.down || node.cutOff {
		node.watch = nil
		c.step(node, WatchEnded{Generation: generation})
		return
	}
	if node.position < c.store.compacted || node.position > c.store.version {
		node.watch = nil
		c.step(node, WatchEnded{Generation: generation, Compacted: true})
		return
	}
	for _, change := range c.store.history {
		if change.Version > node.position && change.Version <= c.store.visible() {
			node.position = change.Version
			c.step(node, EventsReceived{Generation: generation, Version: change.Version, Objects: []objectstore.Object{change}})
			return
		}
	}
}

func (c *cluster) advance(duration time.Duration) {
	c.now = c.now.Add(duration)
	for _, node := range c.nodes {
		if wake := node.core.NextWake(); !wake.IsZero() && !c.now.Before(wake) {
			c.step(node, Tick{})
		}
	}
}

// markAllAlive makes all nodes consider each other alive.
func (c *cluster) markAllAlive() {
	for _, node := range c.nodes {
		node.member.State = fleet.MemberAlive
	}
	for _, node := range c.nodes {
		c.step(node, MembersChanged{Members: c.members()})
	}
}

// settle delivers all messages and watch events, for a number of rounds.
func (c *cluster) settle(rounds int) {
	for range rounds {
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
		}
		for _, node := range c.nodes {
			for previous := -1; node.watch != nil && previous != int(node.position); {
				previous = int(node.position)
				c.deliverWatchEvent(node)
			}
		}
		c.advance(100 * time.Millisecond)
	}
}

// checkInvariants compares a node with the store's own history: versions only increase, and a
// version is in force only if every change up to it is held.
func (c *cluster) checkInvariants(node *testNode) {
	c.checkMachines(node)
	state := stateOf(node.core.objects)
	if state == node.checkedObjects {
		return
	}
	node.checkedObjects = state
	version, loaded := node.core.Version()
	if version < node.lastVersion {
		c.fail("version of %s decreased from %d to %d", node.member.Name, node.lastVersion, version)
	}
	node.lastVersion = version
	for key, object := range node.core.objects.objects {
		if object.Version < node.versions[key] {
			c.fail("%s: version of %v decreased from %d to %d", node.member.Name, key, node.versions[key], object.Version)
		}
		node.versions[key] = object.Version
	}
	if !loaded {
		return
	}
	for key, change := range c.store.stateAt(version) {
		if key.Kind == objectstore.KindLease {
			continue
		}
		held, found := node.core.Lookup(key)
		switch {
		case !found && !change.Deleted:
			c.fail("%s lacks %v@%d at version %d", node.member.Name, key, change.Version, version)
		case found && held.Deleted && change.Deleted:
			// A recreation in between may never have been received.
		case found && held.Version < change.Version:
			c.fail("%s holds %v@%d instead of @%d at version %d", node.member.Name, key, held.Version, change.Version, version)
		}
	}
}

// checkMachines compares the held machine list with the store's list at its timestamp.
func (c *cluster) checkMachines(node *testNode) {
	held := node.core.machines
	state := [2]uint64{held.asOf, held.hash}
	if !held.loaded || state == node.checkedMachines {
		return
	}
	node.checkedMachines = state
	want := c.store.machinesAt(int64(held.asOf))
	if difference := cmp.Diff(want, held.list(), cmpopts.EquateEmpty()); difference != "" {
		c.fail("%s holds different machines (-want +got): %s", node.member.Name, difference)
	}
}

func (c *cluster) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// differences describes the first difference between a node and the store.
func (c *cluster) differences() string {
	want := make(map[objectstore.Key]uint64)
	for key, object := range c.store.stateAt(c.store.version) {
		if !object.Deleted && key.Kind != objectstore.KindLease {
			want[key] = object.Version
		}
	}
	machines := c.store.machinesAt(c.now.UnixMilli()).Machines
	for _, node := range c.nodes {
		if !cmp.Equal(machines, node.machines.Machines, cmpopts.EquateEmpty()) {
			return fmt.Sprintf("%s knows machines %v instead of %v", node.member.Name, node.machines.Machines, machines)
		}
		objects := node.core.Objects()
		if len(objects) != len(want) {
			return fmt.Sprintf("%s holds %d objects of %d", node.member.Name, len(objects), len(want))
		}
		for _, object := range objects {
			if want[object.Key()] != object.Version {
				return fmt.Sprintf("%s holds %v@%d of @%d", node.member.Name, object.Key(), object.Version, want[object.Key()])
			}
		}
	}
	return ""
}
