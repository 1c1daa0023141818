package membership

import (
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// otherZoneBytesPerPacket bounds the updates about other zones in one packet.
const otherZoneBytesPerPacket = 400

// memberUpdate contains all fields of a live member, and only identity and state of others.
func memberUpdate(member fleet.Member) update {
	return update{key: "member " + string(member.Name), member: encodeMember(member)}
}

// versionUpdate contains only a member's configuration version.
func versionUpdate(member fleet.Member) update {
	return update{key: "version " + string(member.Name), member: &peerpb.GossipMember{
		Name:          string(member.Name),
		BootId:        member.BootID,
		ConfigVersion: member.ConfigVersion,
	}}
}

func zoneUpdate(zone fleet.Zone, report *zoneReport) update {
	return update{key: "zone " + string(zone), zone: &peerpb.GossipZone{
		Zone:        string(zone),
		Stamp:       report.stamp,
		ConfigFloor: report.configFloor,
	}}
}

func encodeMember(member fleet.Member) *peerpb.GossipMember {
	encoded := &peerpb.GossipMember{
		Name:        string(member.Name),
		Incarnation: member.Incarnation,
		State:       encodeState(member.State),
		BootId:      member.BootID,
	}
	if !isLive(member) {
		return encoded
	}
	host, _, _ := net.SplitHostPort(member.Addresses.Gossip)
	encoded.Zone = string(member.Zone)
	encoded.Draining = member.Draining
	encoded.ConfigVersion = member.ConfigVersion
	encoded.Gossip = member.Addresses.Gossip
	encoded.Caller = omitHost(host, member.Addresses.Caller)
	encoded.Operator = omitHost(host, member.Addresses.Operator)
	encoded.Peer = omitHost(host, member.Addresses.Peer)
	return encoded
}

func decodeMember(encoded *peerpb.GossipMember) fleet.Member {
	host, _, _ := net.SplitHostPort(encoded.GetGossip())
	return fleet.Member{
		Name:          fleet.NodeName(encoded.GetName()),
		Zone:          fleet.Zone(encoded.GetZone()),
		Incarnation:   encoded.GetIncarnation(),
		State:         decodeState(encoded.GetState()),
		BootID:        encoded.GetBootId(),
		Draining:      encoded.GetDraining(),
		ConfigVersion: encoded.GetConfigVersion(),
		Addresses: fleet.Addresses{
			Gossip:   encoded.GetGossip(),
			Caller:   restoreHost(host, encoded.GetCaller()),
			Operator: restoreHost(host, encoded.GetOperator()),
			Peer:     restoreHost(host, encoded.GetPeer()),
		},
	}
}

// omitHost removes the IP address if it equals host.
func omitHost(host, address string) string {
	if other, port, err := net.SplitHostPort(address); err == nil && other == host {
		return ":" + port
	}
	return address
}

func restoreHost(host, address string) string {
	if address == "" || address[0] != ':' {
		return address
	}
	return net.JoinHostPort(host, address[1:])
}

func encodeState(state fleet.MemberState) peerpb.GossipMember_State {
	switch state {
	case fleet.MemberSuspect:
		return peerpb.GossipMember_SUSPECT
	case fleet.MemberDead:
		return peerpb.GossipMember_DEAD
	case fleet.MemberLeft:
		return peerpb.GossipMember_LEFT
	default:
		return peerpb.GossipMember_ALIVE
	}
}

func decodeState(state peerpb.GossipMember_State) fleet.MemberState {
	switch state {
	case peerpb.GossipMember_SUSPECT:
		return fleet.MemberSuspect
	case peerpb.GossipMember_DEAD:
		return fleet.MemberDead
	case peerpb.GossipMember_LEFT:
		return fleet.MemberLeft
	default:
		return fleet.MemberAlive
	}
}

// send fills the packet up with updates, encodes it and sends it.
func (c *Core) send(to string, packet *peerpb.GossipPacket) {
	if to == "" {
		return
	}
	c.updates.fill(packet, c.options.PacketBytes-proto.Size(packet), otherZoneBytesPerPacket, c.retransmitLimit())
	c.sendWithoutUpdates(to, packet)
}

func (c *Core) sendWithoutUpdates(to string, packet *peerpb.GossipPacket) {
	encoded, err := proto.Marshal(packet)
	if err != nil || len(encoded) > c.options.PacketBytes {
		return
	}
	c.effects = append(c.effects, Send{To: to, Packet: encoded})
}

// newPacket returns a packet with the fields that every packet contains about its sender.
func (c *Core) newPacket(kind peerpb.GossipPacket_Kind) *peerpb.GossipPacket {
	return &peerpb.GossipPacket{
		Kind:          kind,
		From:          string(c.self),
		ConfigVersion: c.own().member.ConfigVersion,
	}
}
