package world

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// seedNodes is the number of nodes given to every node as gossip seeds. The
// others must be found through the machine list.
const seedNodes = 2

// membershipPart runs a node's membership core, its failure detector.
type membershipPart struct {
	node  *node
	core  *membership.Core
	waker *sim.Waker
}

func newMembershipPart(node *node, self fleet.Member, seed uint64) *membershipPart {
	part := &membershipPart{node: node}
	part.core = membership.New(membership.Options{
		Self:       self,
		Seeds:      node.world.seedAddresses(),
		RandomSeed: seed,
		Defects:    node.world.config.Defects.Membership,
	})
	part.waker = sim.NewWaker(node.process, func() { part.step(membership.Tick{}) })
	return part
}

func (w *World) seedAddresses() []string {
	var addresses []string
	for _, node := range w.nodes[:min(seedNodes, len(w.nodes))] {
		addresses = append(addresses, node.addresses.Gossip)
	}
	return addresses
}

func (p *membershipPart) start() {
	p.step(membership.Tick{})
}

func (p *membershipPart) step(message membership.Message) {
	for _, effect := range p.core.Step(p.node.process.Now(), message) {
		switch effect := effect.(type) {
		case membership.Send:
			p.send(effect)
		case membership.Changed:
			p.node.membersChanged(p.core.Members())
		}
	}
	p.waker.Set(p.core.NextWake())
}

func (p *membershipPart) send(send membership.Send) {
	target, found := p.node.world.byGossip[send.To]
	if !found {
		return
	}
	from := p.node.addresses.Gossip
	p.node.world.network.Send(sim.Message{
		From: p.node.process, To: target.process, Transport: sim.Datagram, Kind: "gossip", Size: uint64(len(send.Packet)),
		Deliver: func() { target.membership.step(membership.Receive{From: from, Packet: send.Packet}) },
	})
}

func (p *membershipPart) machinesChanged(list objectstore.MachineList) {
	var hints []membership.ListedNode
	for _, machine := range list.Machines {
		if machine.Role == "node" {
			hints = append(hints, membership.ListedNode{
				Name: machine.Name, GossipAddress: machine.Node.Gossip, Leaving: machine.State != objectstore.MachineLive,
			})
		}
	}
	p.step(membership.NodesListed{Nodes: hints})
}

func (p *membershipPart) configVersion(version uint64) {
	p.step(membership.SetConfigVersion{Version: version})
}
