package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// candidacyState tracks whether this node should lead its zone.
type candidacyState struct {
	// since is when the node first found that it should lead; zero if it should
	// not.
	since time.Time
	// handedOver is set when a leader that stops or cedes hands over; it skips the
	// takeover delay.
	handedOver bool
	// excluded holds nodes that should not lead, and until when: leaders that announced that they are
	// stopping or reach no engine, and this node after it did so.
	excluded map[fleet.NodeName]time.Time
	stopping bool
}

const (
	// exclusionTime is how long a node that gave up its leadership is passed over by others, and
	// cedeBackoff how long it does not lead itself after it reached no engine.
	exclusionTime = 30 * time.Second
	cedeBackoff   = 10 * time.Second
	// maxSuccessors is the number of members, by rank, that are told of a leader that cedes.
	maxSuccessors = 8
)

func newCandidacyState() candidacyState {
	return candidacyState{excluded: make(map[fleet.NodeName]time.Time)}
}

// isExcluded reports whether the node should not lead.
func (c *Core) isExcluded(name fleet.NodeName) bool { return c.now.Before(c.candidacy.excluded[name]) }

// exclude passes the node over for that time.
func (c *Core) exclude(name fleet.NodeName, period time.Duration) {
	maps.DeleteFunc(c.candidacy.excluded, func(_ fleet.NodeName, until time.Time) bool { return !c.now.Before(until) })
	c.candidacy.excluded[name] = c.now.Add(period)
}

func (c *Core) setMembers(members []fleet.Member) {
	clear(c.members)
	clear(c.usableByZone)
	for _, member := range members {
		c.members[member.Name] = member
		if member.Usable() {
			c.usableByZone[member.Zone] = append(c.usableByZone[member.Zone], member)
		}
	}
	for zone, usable := range c.usableByZone {
		slices.SortFunc(usable, func(a, b fleet.Member) int { return byRank(zone, a, b) })
	}
}

// zoneMembers returns the usable members of the zone by rank. Callers must not
// modify the slice.
func (c *Core) zoneMembers(zone fleet.Zone) []fleet.Member { return c.usableByZone[zone] }

// byRank orders the members of a zone in the same way on all nodes.
func byRank(zone fleet.Zone, a, b fleet.Member) int {
	return cmp.Or(cmp.Compare(rank(zone, a.Name), rank(zone, b.Name)), cmp.Compare(a.Name, b.Name))
}

// peersInZone returns the usable members of the zone other than this node.
func (c *Core) peersInZone(zone fleet.Zone) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(c.zoneMembers(zone)), func(member fleet.Member) bool {
		return member.Name == c.options.Self
	})
}

func rank(zone fleet.Zone, name fleet.NodeName) uint64 {
	return xxhash.Sum64String(string(zone) + "/" + string(name))
}

// candidate returns the node that should lead the zone: the current leader
// while its table stays fresh, otherwise the first usable member by rank.
func (c *Core) candidate() fleet.NodeName {
	members := c.zoneMembers(c.options.Zone)
	current, updatedAt := c.tables.leader(c.options.Zone)
	leaderTimedOut := !updatedAt.IsZero() && c.now.Sub(updatedAt) >= c.settings().LeaderTimeout
	for _, member := range members {
		if member.Name == current && !leaderTimedOut && !c.isExcluded(current) {
			return current
		}
	}
	for _, member := range members {
		if c.isExcluded(member.Name) || (leaderTimedOut && member.Name == current) {
			continue
		}
		return member.Name
	}
	if len(members) > 0 {
		return members[0].Name
	}
	return ""
}

// updateCandidacy tells the leadership core whether to lead.
func (c *Core) updateCandidacy() {
	if c.candidacy.stopping {
		return
	}
	if c.candidate() != c.options.Self {
		c.candidacy.since = time.Time{}
		c.candidacy.handedOver = false
		c.clearUnanswered()
		c.stepLeader(leadership.LeadershipDesired{Lead: false})
		return
	}
	if c.candidacy.since.IsZero() {
		c.candidacy.since = c.now
		// A new leader's writes must not wait for the next periodic read of the
		// record.
		c.recordSync.nextAttempt = c.now
	}
	if c.candidacy.handedOver || c.now.Sub(c.candidacy.since) >= c.settings().TakeoverDelay {
		c.stepLeader(leadership.LeadershipDesired{Lead: true})
	}
}

// handOverRequested makes this node the candidate without the takeover delay.
func (c *Core) handOverRequested(request HandOverRequested) {
	if c.candidacy.stopping {
		return
	}
	c.exclude(request.From, exclusionTime)
	c.candidacy.handedOver = c.candidate() == c.options.Self
}

// stopRequested ends the leadership and hands it to the first peer by rank.
func (c *Core) stopRequested() {
	if c.candidacy.stopping {
		return
	}
	leading, fence := c.Leading()
	c.candidacy.stopping = true
	c.stepLeader(leadership.LeadershipDesired{Lead: false})
	if peers := c.peersInZone(c.options.Zone); leading && len(peers) > 0 {
		c.emit(HandOver{To: peers[0], Fence: fence})
	}
}

// cedeIfCutOff ends the leadership of a node that reaches no engine while another node could lead. Members
// that reach none either cede in turn; the last one that is left stays.
func (c *Core) cedeIfCutOff() {
	leading, fence := c.Leading()
	if !leading || c.now.Sub(c.polls.answeredAt) < c.settings().CedeDelay || !c.isCutOff() {
		return
	}
	peers := c.peersInZone(c.options.Zone)
	if !slices.ContainsFunc(peers, func(peer fleet.Member) bool { return !c.isExcluded(peer.Name) }) {
		return
	}
	c.exclude(c.options.Self, cedeBackoff)
	c.stepLeader(leadership.LeadershipDesired{Lead: false, Reason: "no engine is reached"})
	for _, peer := range peers[:min(len(peers), maxSuccessors)] {
		c.emit(HandOver{To: peer, Fence: fence})
	}
}
