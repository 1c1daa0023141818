package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// live reports whether the member is alive or may be.
func live(member fleet.Member) bool {
	return member.State == fleet.MemberAlive || member.State == fleet.MemberSuspect
}

func compareMembers(first, second fleet.Member) int {
	return cmp.Or(cmp.Compare(first.Zone, second.Zone), cmp.Compare(first.Name, second.Name))
}

// rank orders the states at one incarnation: later ones override.
func rank(state fleet.MemberState) int {
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

// overrides reports whether news of a member replaces what is held. Two
// starts with the same incarnation are ordered by boot, so that all agree.
func overrides(news, held fleet.Member) bool {
	return cmp.Or(
		cmp.Compare(news.Incarnation, held.Incarnation),
		cmp.Compare(rank(news.State), rank(held.State)),
		cmp.Compare(news.BootID, held.BootID),
	) > 0
}

// merge takes news of a member from any source.
func (c *Core) merge(news fleet.Member) {
	if news.Name == c.self {
		c.mergeSelf(news)
		return
	}
	held := c.records[news.Name]
	if held == nil {
		c.mergeUnknown(news)
		return
	}
	resurrected := c.options.Defects.ResurrectDead && news.State == fleet.MemberAlive && !live(held.member)
	if !overrides(news, held.member) && !resurrected {
		c.mergeVersion(news, held)
		return
	}
	if news.Addresses == (fleet.Addresses{}) {
		news.Addresses = held.member.Addresses
		news.Zone = held.member.Zone
	}
	if news.BootID == held.member.BootID {
		news.ConfigVersion = max(news.ConfigVersion, held.member.ConfigVersion)
	}
	if news.State != held.member.State {
		held.since = c.now
	}
	held.member = news
	c.spread(news)
}

// mergeUnknown adds a member; one without addresses or no longer alive is of
// no use, and taking it would let a reaped member travel for ever.
func (c *Core) mergeUnknown(news fleet.Member) {
	if news.Addresses.Gossip == "" || news.Zone == "" || !live(news) {
		return
	}
	c.records[news.Name] = &record{member: news, since: c.now}
	if c.zones[news.Zone] == nil {
		c.zones[news.Zone] = &zoneReport{heard: c.now}
	}
	c.spread(news)
}

// mergeVersion takes a newer configuration version of the same process.
func (c *Core) mergeVersion(news fleet.Member, held *record) {
	if news.BootID != held.member.BootID || news.ConfigVersion <= held.member.ConfigVersion {
		return
	}
	held.member.ConfigVersion = news.ConfigVersion
	c.changed = true
	if c.isLocal(held.member) {
		c.updates.add(versionUpdate(held.member), false)
	}
}

// mergeSelf refutes whatever is said of this node and is not its own word.
func (c *Core) mergeSelf(news fleet.Member) {
	own := c.own().member
	if own.State == fleet.MemberLeft || c.options.Defects.NoRefutation {
		return
	}
	if overrides(news, own) {
		c.reassert(news.Incarnation)
	}
}

func (c *Core) spread(member fleet.Member) {
	c.updates.add(memberUpdate(member), !c.isLocal(member))
	c.touch()
}

func (c *Core) isLocal(member fleet.Member) bool {
	return member.Zone == c.options.Self.Zone
}

// isLiveNeighbour holds for the live others of the own zone.
func (c *Core) isLiveNeighbour(member fleet.Member) bool {
	return member.Name != c.self && c.isLocal(member) && live(member)
}

// sortedNames returns the names of the members for which the filter holds.
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

// pick returns up to count random members for which the filter holds.
func (c *Core) pick(count int, filter func(fleet.Member) bool) []fleet.NodeName {
	names := c.sortedNames(filter)
	c.shuffle(names)
	return names[:min(count, len(names))]
}

func (c *Core) shuffle(names []fleet.NodeName) {
	c.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// endSuspicions declares dead every suspect of the zone whose time is up.
func (c *Core) endSuspicions() {
	c.recount()
	if c.suspects == 0 {
		return
	}
	limit := c.now.Add(-c.suspicionTime())
	for _, name := range c.sortedNames(func(member fleet.Member) bool {
		return member.State == fleet.MemberSuspect && c.isLocal(member)
	}) {
		held := c.records[name]
		if held.since.After(limit) {
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

// reap forgets members that have been dead or gone for long.
func (c *Core) reap() {
	limit := c.now.Add(-c.options.DeadRetention)
	for name, held := range c.records {
		if name != c.self && !live(held.member) && held.since.Before(limit) {
			delete(c.records, name)
			c.touch()
		}
	}
}

// zoneHash covers what the zones must agree on of a zone's live members.
// Suspicion is left out: it ends by itself.
func (c *Core) zoneHash(zone fleet.Zone) uint64 {
	digest := xxhash.New()
	for _, name := range c.sortedNames(func(member fleet.Member) bool {
		return member.Zone == zone && live(member)
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

// knownZones are the zones of all members held, sorted.
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
