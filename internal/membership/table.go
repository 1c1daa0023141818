package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// isLive reports whether the member is alive or may be.
func isLive(member fleet.Member) bool {
	return member.State == fleet.MemberAlive || member.State == fleet.MemberSuspect
}

func compareMembers(first, second fleet.Member) int {
	return cmp.Or(cmp.Compare(first.Zone, second.Zone), cmp.Compare(first.Name, second.Name))
}

// stateRank orders the states within one incarnation: later ones override.
func stateRank(state fleet.MemberState) int {
	switch state {
	case fleet.MemberSuspect:
		return 1
	case fleet.MemberDead:
		return 2
	case fleet.MemberLeft:
		return 3
	default:
		return 0
	}
}

// overrides reports whether incoming state of a member replaces the state held. Two starts with the
// same incarnation are ordered by boot ID, so that all nodes agree.
func overrides(incoming, held fleet.Member) bool {
	return cmp.Or(
		cmp.Compare(incoming.Incarnation, held.Incarnation),
		cmp.Compare(stateRank(incoming.State), stateRank(held.State)),
		cmp.Compare(incoming.BootID, held.BootID),
	) > 0
}

// merge applies state of a member from any source.
func (c *Core) merge(incoming fleet.Member) {
	if incoming.Name == c.self {
		c.mergeSelf(incoming)
		return
	}
	held := c.records[incoming.Name]
	if held == nil {
		c.mergeUnknown(incoming)
		return
	}
	resurrected := c.options.Defects.ResurrectDead && incoming.State == fleet.MemberAlive && !isLive(held.member)
	if !overrides(incoming, held.member) && !resurrected {
		c.mergeVersion(incoming, held)
		return
	}
	if incoming.Addresses == (fleet.Addresses{}) {
		incoming.Addresses = held.member.Addresses
		incoming.Zone = held.member.Zone
	}
	if incoming.BootID == held.member.BootID {
		incoming.ConfigVersion = max(incoming.ConfigVersion, held.member.ConfigVersion)
	}
	if incoming.State != held.member.State {
		held.stateSince = c.now
	}
	held.member = incoming
	c.disseminate(incoming)
}

// mergeUnknown adds a member. One without addresses or no longer alive is of no use, and adding it
// would let a reaped member circulate for ever.
func (c *Core) mergeUnknown(incoming fleet.Member) {
	if incoming.Addresses.Gossip == "" || incoming.Zone == "" || !isLive(incoming) {
		return
	}
	c.records[incoming.Name] = &record{member: incoming, stateSince: c.now}
	if c.zones[incoming.Zone] == nil {
		c.zones[incoming.Zone] = &zoneReport{receivedAt: c.now}
	}
	c.disseminate(incoming)
}

// mergeVersion applies a newer configuration version of the same process.
func (c *Core) mergeVersion(incoming fleet.Member, held *record) {
	if incoming.BootID != held.member.BootID || incoming.ConfigVersion <= held.member.ConfigVersion {
		return
	}
	held.member.ConfigVersion = incoming.ConfigVersion
	c.changed = true
	if c.isLocal(held.member) {
		c.updates.add(versionUpdate(held.member), false)
	}
}

// mergeSelf refutes any state of this node that overrides its own.
func (c *Core) mergeSelf(incoming fleet.Member) {
	own := c.own().member
	if own.State == fleet.MemberLeft || c.options.Defects.NoRefutation {
		return
	}
	if overrides(incoming, own) {
		c.raiseIncarnation(incoming.Incarnation)
	}
}

func (c *Core) disseminate(member fleet.Member) {
	c.updates.add(memberUpdate(member), !c.isLocal(member))
	c.recordChanged()
}

func (c *Core) isLocal(member fleet.Member) bool {
	return member.Zone == c.options.Self.Zone
}

// isLiveNeighbour reports whether the member is another live member of this zone.
func (c *Core) isLiveNeighbour(member fleet.Member) bool {
	return member.Name != c.self && c.isLocal(member) && isLive(member)
}

// sortedNames returns the names of the members that match the filter.
func (c *Core) sortedNames(filter func(fleet.Member) bool) []fleet.NodeName {
	var names []fleet.NodeName
	for name, held := range c.records {
		if filter(held.member) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pick returns up to count random members that match the filter.
func (c *Core) pick(count int, filter func(fleet.Member) bool) []fleet.NodeName {
	names := c.sortedNames(filter)
	c.shuffle(names)
	return names[:min(count, len(names))]
}

func (c *Core) shuffle(names []fleet.NodeName) {
	c.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// expireSuspicions declares dead every suspect of the zone whose time to refute is over.
func (c *Core) expireSuspicions() {
	c.updateCounts()
	if c.suspects == 0 {
		return
	}
	cutoff := c.now.Add(-c.suspicionTimeout())
	for _, name := range c.sortedNames(func(member fleet.Member) bool {
		return member.State == fleet.MemberSuspect && c.isLocal(member)
	}) {
		held := c.records[name]
		if held.stateSince.After(cutoff) {
			continue
		}
		dead := held.member
		dead.State = fleet.MemberDead
		c.merge(dead)
	}
}

func (c *Core) suspect(name fleet.NodeName) {
	held := c.records[name]
	if held == nil || held.member.State != fleet.MemberAlive {
		return
	}
	suspected := held.member
	suspected.State = fleet.MemberSuspect
	c.merge(suspected)
}

// reap removes members that have been dead or departed for long enough.
func (c *Core) reap() {
	cutoff := c.now.Add(-c.options.DeadRetention)
	for name, held := range c.records {
		if name != c.self && !isLive(held.member) && held.stateSince.Before(cutoff) {
			delete(c.records, name)
			c.recordChanged()
		}
	}
}

// zoneHash covers the state of a zone's live members that the zones must agree on. Suspicion is
// left out because it ends by itself.
func (c *Core) zoneHash(zone fleet.Zone) uint64 {
	digest := xxhash.New()
	for _, name := range c.sortedNames(func(member fleet.Member) bool {
		return member.Zone == zone && isLive(member)
	}) {
		member := c.records[name].member
		_, _ = digest.WriteString(string(name))
		var fixed [17]byte
		binary.LittleEndian.PutUint64(fixed[0:], member.Incarnation)
		binary.LittleEndian.PutUint64(fixed[8:], member.BootID)
		if member.Draining {
			fixed[16] = 1
		}
		_, _ = digest.Write(fixed[:])
	}
	return digest.Sum64()
}

// knownZones returns the zones of all members held, sorted.
func (c *Core) knownZones() []fleet.Zone {
	seen := make(map[fleet.Zone]bool)
	var zones []fleet.Zone
	for _, held := range c.records {
		if zone := held.member.Zone; !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
