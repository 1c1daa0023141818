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

// mergeSenderVersion takes the version that each packet says of its sender.
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

// takeHints keeps the listed nodes as seeds and suspects those that go.
func (c *Core) takeHints(nodes []ListedNode) {
	c.hints = nodes
	for _, hint := range nodes {
		name := fleet.NodeName(hint.Name)
		held := c.records[name]
		if hint.Leaving && held != nil && c.isLiveNeighbour(held.member) {
			c.suspect(name)
		}
	}
}

// syncOwnZone compares the table with one neighbour, and with one node that
// is not known to be alive: a seed, a listed node or a dead member. The second
// joins the fleet at the start and heals it after a cut.
func (c *Core) syncOwnZone() {
	if c.own().member.State == fleet.MemberLeft {
		return
	}
	for _, name := range c.pick(1, c.isLiveNeighbour) {
		c.sendSync(peerpb.GossipPacket_SYNC, c.records[name].member.Addresses.Gossip)
	}
	if strangers := c.strangers(); len(strangers) > 0 {
		c.sendSync(peerpb.GossipPacket_SYNC, strangers[c.random.IntN(len(strangers))])
	}
}

// strangers are the addresses of nodes that may be alive unknown to this one.
func (c *Core) strangers() []string {
	known := map[string]bool{c.options.Self.Addresses.Gossip: true, "": true}
	for _, held := range c.records {
		if live(held.member) {
			known[held.member.Addresses.Gossip] = true
		}
	}
	var addresses []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, seed := range c.options.Seeds {
		add(seed)
	}
	for _, hint := range c.hints {
		if !hint.Leaving {
			add(hint.GossipAddress)
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
	c.sendPlain(to, packet)
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
	theirs := make(map[fleet.Zone]uint64)
	for _, zone := range packet.GetZones() {
		theirs[fleet.Zone(zone.GetZone())] = zone.GetHash()
	}
	if packet.GetKind() == peerpb.GossipPacket_SYNC {
		c.sendSync(peerpb.GossipPacket_SYNC_REPLY, from)
	}
	for _, zone := range c.knownZones() {
		hash, found := theirs[zone]
		if found && hash != c.zoneHash(zone) || !found && !packet.GetPartial() {
			c.sendZone(from, zone)
		}
	}
}

// sendZone sends all that is held of a zone, in as many packets as it takes.
func (c *Core) sendZone(to string, zone fleet.Zone) {
	packet := c.newPacket(peerpb.GossipPacket_STATE)
	base := proto.Size(packet)
	size := base
	for _, name := range c.sortedNames(func(member fleet.Member) bool { return member.Zone == zone }) {
		member := encodeMember(c.records[name].member)
		bytes := proto.Size(member) + fieldOverheadBytes
		if size+bytes > c.options.PacketBytes {
			c.sendPlain(to, packet)
			packet = c.newPacket(peerpb.GossipPacket_STATE)
			size = base
		}
		packet.Members = append(packet.Members, member)
		size += bytes
	}
	c.sendPlain(to, packet)
}

// delegates are the members of a zone that exchange with other zones: the
// first by a hash of their names, so that all choose the same ones.
func (c *Core) delegates(zone fleet.Zone) []fleet.NodeName {
	names := c.sortedNames(func(member fleet.Member) bool {
		return member.Zone == zone && member.State == fleet.MemberAlive
	})
	slices.SortStableFunc(names, CompareDelegates)
	return names[:min(c.options.Delegates, len(names))]
}

// CompareDelegates orders the members of a zone: the first of them, which are its
// delegates, are those that the nodes of other zones know.
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
	var others []fleet.Zone
	for _, known := range c.knownZones() {
		if known != zone {
			others = append(others, known)
		}
	}
	if len(others) == 0 {
		return
	}
	candidates := c.delegates(others[c.random.IntN(len(others))])
	if len(candidates) == 0 {
		return
	}
	name := candidates[c.random.IntN(len(candidates))]
	c.sendSync(peerpb.GossipPacket_SYNC, c.records[name].member.Addresses.Gossip)
}

// reportZone stamps the zone's report: its first delegate does so.
func (c *Core) reportZone() {
	zone := c.options.Self.Zone
	floor := c.own().member.ConfigVersion
	for _, held := range c.records {
		if c.isLocal(held.member) && live(held.member) {
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
	report.heard = c.now
}

// mergeReports takes newer reports of other zones and spreads them.
func (c *Core) mergeReports(zones []*peerpb.GossipZone) {
	for _, news := range zones {
		zone := fleet.Zone(news.GetZone())
		held := c.zones[zone]
		if news.GetStamp() == 0 || held != nil && news.GetStamp() <= held.stamp {
			continue
		}
		if held == nil {
			held = &zoneReport{}
			c.zones[zone] = held
		}
		if held.configFloor != news.GetConfigFloor() || held.stale {
			c.changed = true
		}
		held.stamp = news.GetStamp()
		held.configFloor = news.GetConfigFloor()
		held.heard = c.now
		held.stale = false
		if zone != c.options.Self.Zone {
			c.updates.add(zoneUpdate(zone, held), true)
		}
	}
}

// markStaleZones notices zones whose delegates were not heard of for long.
func (c *Core) markStaleZones() {
	for zone, report := range c.zones {
		stale := zone != c.options.Self.Zone && c.now.Sub(report.heard) > c.options.ZoneStaleAfter
		if stale != report.stale {
			report.stale = stale
			c.changed = true
		}
	}
}
