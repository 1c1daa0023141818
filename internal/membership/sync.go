package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func (c *Core) receive(received Receive) {
	packet := &peerpb.GossipPacket{}
	if err := proto.Unmarshal(received.Packet, packet); err != nil {
		return
	}
	for _, member := range packet.GetMembers() {
		c.merge(decodeMember(member))
	}
	c.mergeSenderVersion(packet)
	c.mergeReports(packet.GetZones())
	switch packet.GetKind() {
	case peerpb.GossipPacket_PING:
		c.receivePing(received.From, packet)
	case peerpb.GossipPacket_PING_REQUEST:
		c.receivePingRequest(received.From, packet)
	case peerpb.GossipPacket_ACK:
		c.receiveAck(packet)
	case peerpb.GossipPacket_SYNC, peerpb.GossipPacket_SYNC_REPLY:
		c.receiveSync(received.From, packet)
	}
}

// mergeSenderVersion applies the version that each packet contains about its sender.
func (c *Core) mergeSenderVersion(packet *peerpb.GossipPacket) {
	held := c.records[fleet.NodeName(packet.GetFrom())]
	if held == nil || held.member.Name == c.self || !c.isLocal(held.member) {
		return
	}
	if packet.GetConfigVersion() > held.member.ConfigVersion {
		held.member.ConfigVersion = packet.GetConfigVersion()
		c.changed = true
	}
}

// applyListedNodes keeps the listed nodes as seeds and suspects the leaving ones.
func (c *Core) applyListedNodes(nodes []ListedNode) {
	c.listedNodes = nodes
	for _, listed := range nodes {
		name := fleet.NodeName(listed.Name)
		held := c.records[name]
		if listed.Leaving && held != nil && c.isLiveNeighbour(held.member) {
			c.suspect(name)
		}
	}
}

// syncOwnZone compares the table with one neighbour and with one node not known to be alive: a
// seed, a listed node or a dead member. The latter joins the fleet at the start and reunites it
// after a partition.
func (c *Core) syncOwnZone() {
	if c.own().member.State == fleet.MemberLeft {
		return
	}
	for _, name := range c.pick(1, c.isLiveNeighbour) {
		c.sendSync(peerpb.GossipPacket_SYNC, c.records[name].member.Addresses.Gossip)
	}
	if joinAddresses := c.joinAddresses(); len(joinAddresses) > 0 {
		c.sendSync(peerpb.GossipPacket_SYNC, joinAddresses[c.random.IntN(len(joinAddresses))])
	}
}

// joinAddresses returns the addresses of nodes that may be alive without this node knowing.
func (c *Core) joinAddresses() []string {
	seen := map[string]bool{c.options.Self.Addresses.Gossip: true, "": true}
	for _, held := range c.records {
		if isLive(held.member) {
			seen[held.member.Addresses.Gossip] = true
		}
	}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, seed := range c.options.Seeds {
		add(seed)
	}
	for _, listed := range c.listedNodes {
		if !listed.Leaving {
			add(listed.GossipAddress)
		}
	}
	for _, name := range c.sortedNames(func(member fleet.Member) bool { return member.State == fleet.MemberDead }) {
		add(c.records[name].member.Addresses.Gossip)
	}
	return addresses
}

// sendSync sends this node's own record and its hash of every zone.
func (c *Core) sendSync(kind peerpb.GossipPacket_Kind, to string) {
	packet := c.newPacket(kind)
	packet.Members = append(packet.Members, encodeMember(c.own().member))
	zones := c.knownZones()
	c.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	size := proto.Size(packet) + fieldOverheadBytes
	for _, zone := range zones {
		summary := c.summary(zone)
		size += proto.Size(summary) + fieldOverheadBytes
		if size > c.options.PacketBytes {
			packet.Partial = true
			break
		}
		packet.Zones = append(packet.Zones, summary)
	}
	c.sendWithoutUpdates(to, packet)
}

func (c *Core) summary(zone fleet.Zone) *peerpb.GossipZone {
	summary := &peerpb.GossipZone{Zone: string(zone), Hash: c.zoneHash(zone)}
	if report := c.zones[zone]; report != nil {
		summary.Stamp = report.stamp
		summary.ConfigFloor = report.configFloor
	}
	return summary
}

// receiveSync answers with the members of the zones whose hashes differ.
func (c *Core) receiveSync(from string, packet *peerpb.GossipPacket) {
	receivedHashes := make(map[fleet.Zone]uint64)
	for _, zone := range packet.GetZones() {
		receivedHashes[fleet.Zone(zone.GetZone())] = zone.GetHash()
	}
	if packet.GetKind() == peerpb.GossipPacket_SYNC {
		c.sendSync(peerpb.GossipPacket_SYNC_REPLY, from)
	}
	for _, zone := range c.knownZones() {
		hash, found := receivedHashes[zone]
		if found && hash != c.zoneHash(zone) || !found && !packet.GetPartial() {
			c.sendZone(from, zone)
		}
	}
}

// sendZone sends all members held of a zone, in as many packets as needed.
func (c *Core) sendZone(to string, zone fleet.Zone) {
	packet := c.newPacket(peerpb.GossipPacket_STATE)
	emptySize := proto.Size(packet)
	size := emptySize
	for _, name := range c.sortedNames(func(member fleet.Member) bool { return member.Zone == zone }) {
		member := encodeMember(c.records[name].member)
		bytes := proto.Size(member) + fieldOverheadBytes
		if size+bytes > c.options.PacketBytes {
			c.sendWithoutUpdates(to, packet)
			packet = c.newPacket(peerpb.GossipPacket_STATE)
			size = emptySize
		}
		packet.Members = append(packet.Members, member)
		size += bytes
	}
	c.sendWithoutUpdates(to, packet)
}

// delegates returns the members of a zone that exchange tables with other zones: the first ones by
// a hash of their names, so that all nodes select the same ones.
func (c *Core) delegates(zone fleet.Zone) []fleet.NodeName {
	names := c.sortedNames(func(member fleet.Member) bool {
		return member.Zone == zone && member.State == fleet.MemberAlive
	})
	slices.SortStableFunc(names, CompareDelegates)
	return names[:min(c.options.Delegates, len(names))]
}

// CompareDelegates orders the members of a zone. The first of them are its delegates, the members
// that nodes of other zones know.
func CompareDelegates(first, second fleet.NodeName) int {
	return cmp.Compare(xxhash.Sum64String(string(second)), xxhash.Sum64String(string(first)))
}

// exchangeAsDelegate compares tables with a delegate of one other zone.
func (c *Core) exchangeAsDelegate() {
	zone := c.options.Self.Zone
	delegates := c.delegates(zone)
	position := slices.Index(delegates, c.self)
	if position < 0 {
		return
	}
	if position == 0 {
		c.reportZone()
	}
	var otherZones []fleet.Zone
	for _, known := range c.knownZones() {
		if known != zone {
			otherZones = append(otherZones, known)
		}
	}
	if len(otherZones) == 0 {
		return
	}
	candidates := c.delegates(otherZones[c.random.IntN(len(otherZones))])
	if len(candidates) == 0 {
		return
	}
	name := candidates[c.random.IntN(len(candidates))]
	c.sendSync(peerpb.GossipPacket_SYNC, c.records[name].member.Addresses.Gossip)
}

// reportZone stamps a new report of this zone; only the first delegate calls it.
func (c *Core) reportZone() {
	zone := c.options.Self.Zone
	floor := c.own().member.ConfigVersion
	for _, held := range c.records {
		if c.isLocal(held.member) && isLive(held.member) {
			floor = min(floor, held.member.ConfigVersion)
		}
	}
	report := c.zones[zone]
	if report == nil {
		report = &zoneReport{}
		c.zones[zone] = report
	}
	report.stamp = max(report.stamp+1, uint64(c.now.UnixMilli()))
	report.configFloor = floor
	report.receivedAt = c.now
}

// mergeReports applies newer reports of other zones and disseminates them.
func (c *Core) mergeReports(zones []*peerpb.GossipZone) {
	for _, received := range zones {
		zone := fleet.Zone(received.GetZone())
		held := c.zones[zone]
		if received.GetStamp() == 0 || held != nil && received.GetStamp() <= held.stamp {
			continue
		}
		if held == nil {
			held = &zoneReport{}
			c.zones[zone] = held
		}
		if held.configFloor != received.GetConfigFloor() || held.stale {
			c.changed = true
		}
		held.stamp = received.GetStamp()
		held.configFloor = received.GetConfigFloor()
		held.receivedAt = c.now
		held.stale = false
		if zone != c.options.Self.Zone {
			c.updates.add(zoneUpdate(zone, held), true)
		}
	}
}

// markStaleZones marks zones without a report from their delegates for too long.
func (c *Core) markStaleZones() {
	for zone, report := range c.zones {
		stale := zone != c.options.Self.Zone && c.now.Sub(report.receivedAt) > c.options.ZoneStaleAfter
		if stale != report.stale {
			report.stale = stale
			c.changed = true
		}
	}
}
