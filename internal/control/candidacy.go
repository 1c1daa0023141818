package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// candidacy is whether this node is to lead its zone.
type candidacy struct {
	// since is when the node first found that it should lead; zero where it
	// should not.
	since time.Time
	// handedOver is set by a leader that stops; it skips the wait.
	handedOver bool
	// excluded is a leader that said it stops.
	excluded fleet.NodeName
	stopping bool
}

func (c *Core) setMembers(members []fleet.Member) {
	clear(c.members)
	clear(c.usable)
	for _, member := range members {
		c.members[member.Name] = member
		if member.Usable() {
			c.usable[member.Zone] = append(c.usable[member.Zone], member)
		}
	}
	for zone, usable := range c.usable {
		slices.SortFunc(usable, func(a, b fleet.Member) int { return byRank(zone, a, b) })
	}
}

// zoneMembers are the usable members of the zone by rank; the slice is shared.
func (c *Core) zoneMembers(zone fleet.Zone) []fleet.Member { return c.usable[zone] }

// byRank orders members of a zone alike at all nodes.
func byRank(zone fleet.Zone, a, b fleet.Member) int {
	return cmp.Or(cmp.Compare(rank(zone, a.Name), rank(zone, b.Name)), cmp.Compare(a.Name, b.Name))
}

// peersOfZone are the other usable members of the zone.
func (c *Core) peersOfZone(zone fleet.Zone) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(c.zoneMembers(zone)), func(member fleet.Member) bool {
		return member.Name == c.options.Self
	})
}

func rank(zone fleet.Zone, name fleet.NodeName) uint64 {
	return xxhash.Sum64String(string(zone) + "/" + string(name))
}

// candidate is the node that should lead the zone: whoever leads it and is
// heard of, else the first-ranked usable member.
func (c *Core) candidate() fleet.NodeName {
	members := c.zoneMembers(c.options.Zone)
	current, heard := c.tables.leader(c.options.Zone)
	silent := !heard.IsZero() && c.now.Sub(heard) >= c.settings().LeaderTimeout
	for _, member := range members {
		if member.Name == current && !silent && current != c.standing.excluded {
			return current
		}
	}
	for _, member := range members {
		if member.Name == c.standing.excluded || (silent && member.Name == current) {
			continue
		}
		return member.Name
	}
	if len(members) > 0 {
		return members[0].Name
	}
	return ""
}

// stand tells the leadership core whether to lead.
func (c *Core) stand() {
	if c.standing.stopping {
		return
	}
	if c.candidate() != c.options.Self {
		c.standing.since = time.Time{}
		c.standing.handedOver = false
		c.forgetAsked()
		c.stepLeader(leadership.LeadershipDesired{Lead: false})
		return
	}
	if c.standing.since.IsZero() {
		c.standing.since = c.now
		// What a leader has to write does not wait for the next try to vouch.
		c.decider.next = c.now
	}
	if c.standing.handedOver || c.now.Sub(c.standing.since) >= c.settings().TakeoverDelay {
		c.stepLeader(leadership.LeadershipDesired{Lead: true})
	}
}

// handOverAsked makes this node the candidate at once.
func (c *Core) handOverAsked(asked HandOverRequested) {
	if c.standing.stopping {
		return
	}
	c.standing.excluded = asked.From
	c.standing.handedOver = c.candidate() == c.options.Self
}

// stopRequested ends the leadership and hands it to the next-ranked member.
func (c *Core) stopRequested() {
	if c.standing.stopping {
		return
	}
	leading, fence := c.Leading()
	c.standing.stopping = true
	c.stepLeader(leadership.LeadershipDesired{Lead: false})
	if peers := c.peersOfZone(c.options.Zone); leading && len(peers) > 0 {
		c.emit(HandOver{To: peers[0], Fence: fence})
	}
}
