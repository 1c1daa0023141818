package membership

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// probe is the current probe; there is at most one.
type probe struct {
	target   fleet.NodeName
	sequence uint64
	started  time.Time
	// indirect is set once other members were asked to probe.
	indirect bool
}

// relayedPing is a ping sent on behalf of another node.
type relayedPing struct {
	to       string
	sequence uint64
	expires  time.Time
}

func (c *Core) startProbe() {
	c.expireRelayedPings()
	target := c.nextTarget()
	if target == "" {
		return
	}
	c.probe = probe{target: target, started: c.now}
	c.probe.sequence = c.sendPing(c.records[target].member)
}

// nextTarget goes through all live neighbours in an order shuffled for each round, so that each is
// probed within two rounds at most.
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

// sendPing pings a member and returns the sequence number. The packet includes the member's state
// held here if it is not alive, so that the member can refute at once.
func (c *Core) sendPing(member fleet.Member) uint64 {
	c.sequence++
	packet := c.newPacket(peerpb.GossipPacket_PING)
	packet.Sequence = c.sequence
	packet.To = string(member.Name)
	c.attachSuspicion(packet, member.Name)
	c.send(member.Addresses.Gossip, packet)
	return c.sequence
}

// maxSuspectPings bounds the suspects pinged in addition to the probe.
const maxSuspectPings = 3

// pingSuspects gives the zone's suspects more chances to learn of the suspicion and to refute it,
// so that packet loss alone makes no member count as dead.
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

// gossip sends updates to a few neighbours without waiting for a probe.
func (c *Core) gossip() {
	if c.updates.local == 0 {
		return
	}
	for _, name := range c.pick(c.options.GossipFanout, c.isLiveNeighbour) {
		c.send(c.records[name].member.Addresses.Gossip, c.newPacket(peerpb.GossipPacket_STATE))
	}
}

// attachSuspicion adds the receiver's state held here to the packet if it is not alive.
func (c *Core) attachSuspicion(packet *peerpb.GossipPacket, name fleet.NodeName) {
	if held := c.records[name]; held != nil && held.member.State != fleet.MemberAlive {
		packet.Members = append(packet.Members, encodeMember(held.member))
	}
}

// startIndirectProbesIfLate asks other members to probe once the direct probe has timed out.
func (c *Core) startIndirectProbesIfLate() {
	timedOut := !c.now.Before(c.probe.started.Add(c.options.ProbeTimeout))
	if c.probe.target == "" || c.probe.indirect || !timedOut {
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

// finishProbe suspects the target of an unanswered probe.
func (c *Core) finishProbe() {
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
	c.attachSuspicion(answer, fleet.NodeName(packet.GetFrom()))
	if c.suspectsSelf(packet) {
		answer.Members = append(answer.Members, encodeMember(c.own().member))
	}
	c.send(from, answer)
}

// suspectsSelf reports whether the sender considers this node other than alive. It then needs the
// refutation, even if that was disseminated before.
func (c *Core) suspectsSelf(packet *peerpb.GossipPacket) bool {
	return slices.ContainsFunc(packet.GetMembers(), func(member *peerpb.GossipMember) bool {
		return member.GetName() == string(c.self) && member.GetState() != peerpb.GossipMember_ALIVE
	})
}

func (c *Core) receivePingRequest(from string, packet *peerpb.GossipPacket) {
	c.sequence++
	c.relayedPings[c.sequence] = relayedPing{
		to:       from,
		sequence: packet.GetSequence(),
		expires:  c.now.Add(c.options.ProbeInterval),
	}
	ping := c.newPacket(peerpb.GossipPacket_PING)
	ping.Sequence = c.sequence
	ping.To = packet.GetTo()
	c.attachSuspicion(ping, fleet.NodeName(packet.GetTo()))
	c.send(packet.GetTarget(), ping)
}

func (c *Core) receiveAck(packet *peerpb.GossipPacket) {
	sequence := packet.GetSequence()
	if c.probe.target != "" && sequence == c.probe.sequence {
		c.probe = probe{}
		return
	}
	relayed, found := c.relayedPings[sequence]
	if !found {
		return
	}
	delete(c.relayedPings, sequence)
	answer := c.newPacket(peerpb.GossipPacket_ACK)
	answer.Sequence = relayed.sequence
	c.send(relayed.to, answer)
}

func (c *Core) expireRelayedPings() {
	for sequence, relayed := range c.relayedPings {
		if c.now.After(relayed.expires) {
			delete(c.relayedPings, sequence)
		}
	}
}
