package configsync

import (
	"fmt"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// envelope is a message under way to a node's boot.
type envelope struct {
	to      fleet.NodeName
	boot    int
	message Message
	// call names the digest or push that the message answers.
	from fleet.NodeName
}

type testNode struct {
	// cutOff parts the node from the store alone.
	cutOff bool
	member fleet.Member
	boot   int
	core   *Core
	watch  *WatchStore
	// position is the last revision that the watch delivered.
	position uint64
	versions map[objectstore.Key]uint64
	inForce  uint64
	machines objectstore.MachineList
	// checked and checkedMachines are what the rules were last held against.
	checked         ledgerState
	checkedMachines [2]uint64
}

// ledgerState tells whether a ledger changed.
type ledgerState struct {
	loaded     bool
	version    uint64
	newest     uint64
	hash       uint64
	tombstones int
}

func stateOf(held *ledger) ledgerState {
	return ledgerState{loaded: held.loaded, version: held.version, newest: held.newest, hash: held.hash, tombstones: held.tombstones}
}

// cluster runs several cores over a network and a store that may fail.
type cluster struct {
	now      time.Time
	store    testStore
	nodes    []*testNode
	inFlight []envelope
	options  Options
	// failure is the first broken rule.
	failure string
	// reports are the StoreBehind and Diverged effects.
	reports []Effect
	calls   uint64
	asked   map[uint64]envelope
}

func newCluster(zones []fleet.Zone, perZone int, options Options) *cluster {
	c := &cluster{now: time.Unix(1000, 0), options: options, asked: make(map[uint64]envelope)}
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

// setMachine moves the time on: a list with the time of a change shows it.
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
	node.inForce = 0
	node.machines = objectstore.MachineList{}
	node.checked = ledgerState{}
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
	c.check(node)
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
			c.asked[c.calls] = envelope{to: node.member.Name, boot: node.boot, from: to.member.Name}
			c.send(to, node.member.Name, DigestReceived{Call: c.calls, From: node.member.Name, Digest: effect.Digest})
		}
	case AnswerDigest:
		answer := c.asked[effect.Call]
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

// deliver takes a message from the network. Messages to an earlier boot are
// lost with it, save pushes and digests, which find the new one.
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

// pump delivers the next event of a node's watch.
func (c *cluster) pump(node *testNode) {
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

// heal lets all nodes take each other for alive.
func (c *cluster) heal() {
	for _, node := range c.nodes {
		node.member.State = fleet.MemberAlive
	}
	for _, node := range c.nodes {
		c.step(node, MembersChanged{Members: c.members()})
	}
}

// settle lets everything arrive.
func (c *cluster) settle(rounds int) {
	for range rounds {
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
		}
		for _, node := range c.nodes {
			for before := -1; node.watch != nil && before != int(node.position); {
				before = int(node.position)
				c.pump(node)
			}
		}
		c.advance(100 * time.Millisecond)
	}
}

// check holds the rules against the store's own history: versions only grow,
// and a version is in force only where every change up to it is held.
func (c *cluster) check(node *testNode) {
	c.checkMachines(node)
	state := stateOf(node.core.objects)
	if state == node.checked {
		return
	}
	node.checked = state
	version, loaded := node.core.Version()
	if version < node.inForce {
		c.fail("%s went back from version %d to %d", node.member.Name, node.inForce, version)
	}
	node.inForce = version
	for key, object := range node.core.objects.objects {
		if object.Version < node.versions[key] {
			c.fail("%s went back on %v from %d to %d", node.member.Name, key, node.versions[key], object.Version)
		}
		node.versions[key] = object.Version
	}
	if !loaded {
		return
	}
	for key, change := range c.store.at(version) {
		if key.Kind == objectstore.KindLease {
			continue
		}
		held, found := node.core.Lookup(key)
		switch {
		case !found && !change.Deleted:
			c.fail("%s lacks %v@%d at version %d", node.member.Name, key, change.Version, version)
		case found && held.Deleted && change.Deleted:
			// A recreation in between may never have been seen.
		case found && held.Version < change.Version:
			c.fail("%s holds %v@%d instead of @%d at version %d", node.member.Name, key, held.Version, change.Version, version)
		}
	}
}

// checkMachines compares what is held with what the list showed at its time.
func (c *cluster) checkMachines(node *testNode) {
	held := node.core.machines
	state := [2]uint64{held.asOf, held.hash}
	if !held.loaded || state == node.checkedMachines {
		return
	}
	node.checkedMachines = state
	want := c.store.machinesAt(int64(held.asOf))
	if difference := cmp.Diff(want, held.list(), cmpopts.EquateEmpty()); difference != "" {
		c.fail("%s holds other machines: %s", node.member.Name, difference)
	}
}

func (c *cluster) fail(format string, arguments ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, arguments...)
	}
}

// differences tells where a node does not hold what the store holds.
func (c *cluster) differences() string {
	want := make(map[objectstore.Key]uint64)
	for key, object := range c.store.at(c.store.version) {
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
