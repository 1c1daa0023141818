package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	simPeriod  = 200 * time.Millisecond
	simFanout  = 6
	simSilence = 700 * time.Millisecond
	// simListening is how long a node listens after its start before it coordinates.
	simListening = time.Second
	simDiscovery = 2 * time.Second
	simStopTime  = 3 * time.Second
	simRestart   = 500 * time.Millisecond
)

// simNode is one machine of a simulated fleet.
type simNode struct {
	address   string
	strength  uint32
	roster    *Roster
	life      uint64
	sequence  uint64
	startedAt time.Time
	leaving   bool
	// changesAt is when a stopping node ends, or an ended one starts again.
	changesAt time.Time
}

// simFleet plays the rosters of a fleet on a virtual clock.
type simFleet struct {
	// anyNodeIsNext is a planted defect: a node coordinates that hears none of those that precede it.
	anyNodeIsNext bool

	random *rand.Rand
	now    time.Time
	nodes  []*simNode
	// byAddress holds the same nodes.
	byAddress map[string]*simNode
}

func newSimFleet(seed uint64, size int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), byAddress: make(map[string]*simNode)}
	for i := range size {
		f.nodes = append(f.nodes, &simNode{address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), strength: uint32(1 + f.random.IntN(3))})
	}
	for _, node := range f.nodes {
		f.byAddress[node.address] = node
		f.start(node)
	}
	return f
}

func (f *simFleet) start(node *simNode) {
	var seeds []string
	for range 3 {
		seeds = append(seeds, f.nodes[f.random.IntN(len(f.nodes))].address)
	}
	node.life++
	node.sequence, node.leaving, node.changesAt, node.startedAt = 0, false, time.Time{}, f.now
	node.roster = New(node.address, seeds, f.random.Uint64())
	node.roster.SetStrength(node.strength)
}

// stop begins a planned stop, which the node tells all others.
func (f *simFleet) stop(node *simNode) {
	if node.roster == nil || node.leaving {
		return
	}
	node.leaving, node.changesAt = true, f.now.Add(simStopTime)
	var all []string
	for _, peer := range node.roster.Alive(f.now) {
		all = append(all, peer.Address)
	}
	f.send(node, all)
}

// kill ends a node without a word.
func (f *simFleet) kill(node *simNode) { node.roster, node.changesAt = nil, f.now.Add(simRestart) }

// send delivers a node's state, and what receivers answer to a node that is new to them: the state with the
// nodes that may coordinate. A node that has just started contacts those that a datagram names.
func (f *simFleet) send(node *simNode, targets []string) {
	node.sequence++
	state := &peerpb.NodeState{Node: node.address, Address: node.address, Life: node.life, Sequence: node.sequence,
		Strength: node.strength, Leaving: node.leaving, Peers: f.namedPeers(node)}
	for _, target := range targets {
		if other := f.byAddress[target]; other != nil && other.roster != nil && other != node {
			f.receive(other, state)
		}
	}
}

func (f *simFleet) receive(node *simNode, state *peerpb.NodeState) {
	isNew := !node.roster.Knows(state.Address, state.Life)
	if !node.roster.Observe(f.now, state) {
		return
	}
	if isNew {
		f.send(node, []string{state.Address})
	}
	if f.now.Sub(node.startedAt) >= simDiscovery {
		return
	}
	for _, address := range state.Peers {
		if !node.roster.HasHeardFrom(address) {
			f.send(node, []string{address})
		}
	}
}

// namedPeers are the addresses that a node's datagrams name.
func (f *simFleet) namedPeers(node *simNode) []string {
	named := node.roster.SampleAddresses(f.now, 2)
	for _, coordinator := range node.roster.Coordinators(f.now, true) {
		named = append(named, coordinator.Address)
	}
	return named
}

// step plays one period.
func (f *simFleet) step() {
	f.now = f.now.Add(simPeriod)
	for _, node := range f.nodes {
		switch {
		case node.changesAt.IsZero() || f.now.Before(node.changesAt):
		case node.roster != nil:
			node.roster, node.changesAt = nil, f.now.Add(simRestart)
		default:
			f.start(node)
		}
	}
	for _, node := range f.nodes {
		if node.roster == nil {
			continue
		}
		targets := node.roster.Targets(f.now, simFanout)
		for _, coordinator := range node.roster.Coordinators(f.now, true) {
			targets = append(targets, coordinator.Address)
		}
		f.send(node, targets)
	}
}

// coordinators counts the nodes that coordinate.
func (f *simFleet) coordinators() int {
	count := 0
	for _, node := range f.nodes {
		if node.roster == nil || f.now.Sub(node.startedAt) < simListening {
			continue
		}
		address, isSelf := node.roster.NextCoordinator(f.now, node.leaving, simSilence)
		if isSelf || f.anyNodeIsNext && address == "" {
			count++
		}
	}
	return count
}

// playRollingRestart restarts all nodes of a fleet in turn, some at a time each second in a drawn order, and kills
// every fourth instead if kills is set. It returns the most nodes that coordinated at a time.
func (f *simFleet) playRollingRestart(kills bool) (most int) {
	for range 60 {
		f.step()
	}
	order := f.random.Perm(len(f.nodes))
	atATime := 1 + f.random.IntN(len(f.nodes)/3)
	for step := range 150 {
		if step%5 == 0 {
			batch := order[:min(atATime, len(order))]
			order = order[len(batch):]
			for _, index := range batch {
				if kills && f.random.IntN(4) == 0 {
					f.kill(f.nodes[index])
				} else {
					f.stop(f.nodes[index])
				}
			}
		}
		f.step()
		most = max(most, f.coordinators())
	}
	return most
}

// Guards against several coordinators at once, each of which grants quotas, while nodes restart.
func TestRollingRestartHasOneCoordinatorAtATime(t *testing.T) {
	for _, size := range []int{8, 30, 84} {
		for seed := range uint64(6) {
			for _, kills := range []bool{false, true} {
				if most := newSimFleet(seed, size).playRollingRestart(kills); most > 1 {
					t.Errorf("%d nodes, seed %d, kills %t: %d coordinators at once", size, seed, kills, most)
				}
			}
		}
	}
}

// TestSimulatedRestartsFindPlantedDefect checks that the simulation can fail.
func TestSimulatedRestartsFindPlantedDefect(t *testing.T) {
	fleet := newSimFleet(0, 84)
	fleet.anyNodeIsNext = true
	if most := fleet.playRollingRestart(false); most <= 1 {
		t.Error("no node coordinated beside another")
	}
}
