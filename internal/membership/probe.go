package membership

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// probe is the probe under way; there is one at a time.
type probe struct {
	target   fleet.NodeName
	sequence uint64
	started  time.Time
	// indirect is set once others were asked to probe too.
	indirect bool
}

// relay is a ping sent in another node's place.
type relay struct {
	to       string
	sequence uint64
	expires  time.Time
}

func (c *Core) beginProbe() {
	c.dropRelays()
	target := c.nextTarget()
	if target == "" {
		return
	}
	c.probe = probe{target: target, started: c.now}
	c.probe.sequence = c.sendPing(c.records[target].member)
}

// nextTarget walks all live neighbours in an order drawn anew each round, so
// that each is probed within two rounds at most.
func (c *Core) nextTarget() fleet.NodeName {
	for range 2 {
		for len(c.probeOrder) > 0 {
			name := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if held := c.records[name]; held != nil && c.isLiveNeighbour(held.member) {
				return name
			}
		}
		c.probeOrder = c.pick(len(c.records), c.isLiveNeighbour)
	}
	return ""
}

// sendPing pings a member and returns the sequence. What is held against the
// member goes along, so that it can refute at once.
func (c *Core) sendPing(member fleet.Member) uint64 {
	c.sequence++
	packet := c.newPacket(peerpb.GossipPacket_PING)
	packet.Sequence = c.sequence
	packet.To = string(member.Name)
	c.accuse(packet, member.Name)
	c.send(member.Addresses.Gossip, packet)
	return c.sequence
}

// maxSuspectPings bounds the suspects that are pinged beside the probe.
const maxSuspectPings = 3

// pingSuspects gives suspects of the zone more chances to hear of it and to
// refute, so that lost packets alone kill nobody.
func (c *Core) pingSuspects() {
	if c.suspects == 0 {
		return
	}
	suspects := c.pick(maxSuspectPings, func(member fleet.Member) bool {
		return member.State == fleet.MemberSuspect && c.isLiveNeighbour(member)
	})
	for _, name := range suspects {
		if name != c.probe.target {
			c.sendPing(c.records[name].member)
		}
	}
}

// gossip sends news to a few neighbours without waiting for a probe.
func (c *Core) gossip() {
	if c.updates.local == 0 {
		return
	}
	for _, name := range c.pick(c.options.GossipFanout, c.isLiveNeighbour) {
		c.send(c.records[name].member.Addresses.Gossip, c.newPacket(peerpb.GossipPacket_STATE))
	}
}

// accuse adds what is held against the node that the packet goes to.
func (c *Core) accuse(packet *peerpb.GossipPacket, name fleet.NodeName) {
	if held := c.records[name]; held != nil && held.member.State != fleet.MemberAlive {
		packet.Members = append(packet.Members, encodeMember(held.member))
	}
}

// continueProbe asks others to probe once the direct probe is late.
func (c *Core) continueProbe() {
	late := !c.now.Before(c.probe.started.Add(c.options.ProbeTimeout))
	if c.probe.target == "" || c.probe.indirect || !late {
		return
	}
	c.probe.indirect = true
	target := c.records[c.probe.target]
	if target == nil || c.options.Defects.NoIndirectProbes {
		return
	}
	helpers := c.pick(c.options.IndirectProbes, func(member fleet.Member) bool {
		return c.isLiveNeighbour(member) && member.State == fleet.MemberAlive && member.Name != c.probe.target
	})
	for _, name := range helpers {
		packet := c.newPacket(peerpb.GossipPacket_PING_REQUEST)
		packet.Sequence = c.probe.sequence
		packet.Target = target.member.Addresses.Gossip
		packet.To = string(c.probe.target)
		c.send(c.records[name].member.Addresses.Gossip, packet)
	}
}

// endProbe suspects the target of a probe that nobody answered.
func (c *Core) endProbe() {
	target := c.probe.target
	c.probe = probe{}
	if target != "" {
		c.suspect(target)
	}
}

func (c *Core) receivePing(from string, packet *peerpb.GossipPacket) {
	if packet.GetTo() != "" && packet.GetTo() != string(c.self) {
		return
	}
	answer := c.newPacket(peerpb.GossipPacket_ACK)
	answer.Sequence = packet.GetSequence()
	c.accuse(answer, fleet.NodeName(packet.GetFrom()))
	if c.accused(packet) {
		answer.Members = append(answer.Members, encodeMember(c.own().member))
	}
	c.send(from, answer)
}

// accused reports whether the sender holds this node for other than alive. It
// then needs the refutation, also where that was spread before.
func (c *Core) accused(packet *peerpb.GossipPacket) bool {
	return slices.ContainsFunc(packet.GetMembers(), func(member *peerpb.GossipMember) bool {
		return member.GetName() == string(c.self) && member.GetState() != peerpb.GossipMember_ALIVE
	})
}

func (c *Core) receivePingRequest(from string, packet *peerpb.GossipPacket) {
	c.sequence++
	c.relays[c.sequence] = relay{
		to:       from,
		sequence: packet.GetSequence(),
		expires:  c.now.Add(c.options.ProbeInterval),
	}
	ping := c.newPacket(peerpb.GossipPacket_PING)
	ping.Sequence = c.sequence
	ping.To = packet.GetTo()
	c.accuse(ping, fleet.NodeName(packet.GetTo()))
	c.send(packet.GetTarget(), ping)
}

func (c *Core) receiveAck(packet *peerpb.GossipPacket) {
	sequence := packet.GetSequence()
	if c.probe.target != "" && sequence == c.probe.sequence {
		c.probe = probe{}
		return
	}
	asked, found := c.relays[sequence]
	if !found {
		return
	}
	delete(c.relays, sequence)
	answer := c.newPacket(peerpb.GossipPacket_ACK)
	answer.Sequence = asked.sequence
	c.send(asked.to, answer)
}

func (c *Core) dropRelays() {
	for sequence, asked := range c.relays {
		if c.now.After(asked.expires) {
			delete(c.relays, sequence)
		}
	}
}
