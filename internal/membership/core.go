package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Core is one node's failure detector. It is not safe for concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	now     time.Time
	started bool

	self        fleet.NodeName
	records     map[fleet.NodeName]*record
	zones       map[fleet.Zone]*zoneReport
	updates     updateQueue
	listedNodes []ListedNode

	sequence     uint64
	probe        probe
	probeOrder   []fleet.NodeName
	relayedPings map[uint64]relayedPing

	nextProbe  time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextDigest time.Time

	// localLive and suspects count records; they are valid while countsValid is set.
	localLive   int
	suspects    int
	countsValid bool

	effects []Effect
	changed bool
}

// record is the state held of one member.
type record struct {
	member fleet.Member
	// stateSince is when the member's state was last changed.
	stateSince time.Time
}

// zoneReport is the newest report from a zone's delegates.
type zoneReport struct {
	stamp       uint64
	configFloor uint64
	receivedAt  time.Time
	stale       bool
}

// New returns a core; the first Step starts it.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:      options,
		random:       rand.New(rand.NewPCG(options.RandomSeed, options.Self.BootID)),
		self:         options.Self.Name,
		records:      make(map[fleet.NodeName]*record),
		zones:        make(map[fleet.Zone]*zoneReport),
		relayedPings: make(map[uint64]relayedPing),
	}
}

// Step processes a message. Successive calls must not pass a decreasing now.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.compensatePause(now)
	c.now = now
	c.effects = nil
	c.changed = false
	c.start()
	switch message := message.(type) {
	case Tick:
	case Receive:
		c.receive(message)
	case NodesListed:
		c.applyListedNodes(message.Nodes)
	case SetDraining:
		c.setDraining(message.Draining)
	case SetConfigVersion:
		c.setConfigVersion(message.Version)
	case Leave:
		c.leave()
	}
	c.runTimers()
	if c.changed {
		c.effects = append(c.effects, Changed{})
	}
	return c.effects
}

// NextWake returns when Step needs a Tick.
func (c *Core) NextWake() time.Time {
	if !c.started {
		return c.now
	}
	wake := earlier(c.nextProbe, earlier(c.nextSync, c.nextDigest))
	if c.wantsGossip() {
		wake = earlier(wake, c.nextGossip)
	}
	if c.probe.target != "" && !c.probe.indirect {
		wake = earlier(wake, c.probe.started.Add(c.options.ProbeTimeout))
	}
	return wake
}

// wantsGossip reports whether there are updates about this zone or suspects in it.
func (c *Core) wantsGossip() bool {
	c.updateCounts()
	return c.updates.local > 0 || c.suspects > 0
}

func earlier(first, second time.Time) time.Time {
	if second.Before(first) {
		return second
	}
	return first
}

// start derives the first incarnation from the clock, so that a restart under the same name usually
// overrides the records of the earlier process at once. If the clock went back, refutation does the
// same a little later.
func (c *Core) start() {
	if c.started {
		return
	}
	c.started = true
	member := c.options.Self
	member.State = fleet.MemberAlive
	member.Incarnation = uint64(max(c.now.UnixMilli(), 1))
	c.records[c.self] = &record{member: member, stateSince: c.now}
	c.nextProbe = c.now.Add(c.jitter(c.options.ProbeInterval))
	c.nextSync = c.now
	c.nextDigest = c.now.Add(c.jitter(c.options.DigestInterval))
	c.changed = true
}

// pauseThresholdProbes is how many probe intervals without a step count as a pause of this process.
const pauseThresholdProbes = 3

// compensatePause discards what a pause of this process would wrongly imply about others: an
// unanswered probe, and the time in which suspects and zones were not heard from.
func (c *Core) compensatePause(now time.Time) {
	gap := now.Sub(c.now)
	if !c.started || gap < pauseThresholdProbes*c.options.ProbeInterval {
		return
	}
	c.probe = probe{}
	for _, held := range c.records {
		if held.member.State == fleet.MemberSuspect {
			held.stateSince = held.stateSince.Add(gap)
		}
	}
	for _, report := range c.zones {
		report.receivedAt = report.receivedAt.Add(gap)
	}
}

// jitter returns a random fraction of the duration.
func (c *Core) jitter(duration time.Duration) time.Duration {
	return time.Duration(c.random.Float64() * float64(duration))
}

func (c *Core) runTimers() {
	c.expireSuspicions()
	c.startIndirectProbesIfLate()
	if !c.now.Before(c.nextProbe) {
		c.nextProbe = c.now.Add(c.options.ProbeInterval)
		c.finishProbe()
		c.startProbe()
	}
	if c.wantsGossip() && !c.now.Before(c.nextGossip) {
		c.nextGossip = c.now.Add(c.options.GossipInterval)
		c.pingSuspects()
		c.gossip()
	}
	if !c.now.Before(c.nextSync) {
		c.nextSync = c.now.Add(c.options.SyncInterval*3/4 + c.jitter(c.options.SyncInterval/2))
		c.reap()
		c.markStaleZones()
		c.syncOwnZone()
	}
	if !c.now.Before(c.nextDigest) {
		c.nextDigest = c.now.Add(c.options.DigestInterval)
		c.exchangeAsDelegate()
	}
}

// own returns this node's record.
func (c *Core) own() *record {
	return c.records[c.self]
}

// raiseIncarnation gives this node's record a higher incarnation and disseminates it.
func (c *Core) raiseIncarnation(above uint64) {
	own := c.own()
	own.member.Incarnation = max(own.member.Incarnation, above) + 1
	c.updates.add(memberUpdate(own.member), false)
	c.recordChanged()
}

func (c *Core) setDraining(draining bool) {
	if c.own().member.Draining == draining {
		return
	}
	c.own().member.Draining = draining
	c.raiseIncarnation(0)
}

func (c *Core) setConfigVersion(version uint64) {
	own := c.own()
	if version <= own.member.ConfigVersion {
		return
	}
	own.member.ConfigVersion = version
	c.updates.add(versionUpdate(own.member), false)
	c.changed = true
}

// leave informs as many members as fit into one step; the others learn of it from them.
func (c *Core) leave() {
	own := c.own()
	own.member.State = fleet.MemberLeft
	own.member.Draining = true
	c.raiseIncarnation(0)
	for _, name := range c.pick(leaveNotices, c.isLiveNeighbour) {
		c.sendPing(c.records[name].member)
	}
}

// leaveNotices is how many members a leaving node informs itself.
const leaveNotices = 8

// Members returns all members held, sorted by zone and name: this node, its zone including dead
// members not yet reaped, and the members of other zones, whose ConfigVersion is the lowest one in
// force in their zone.
func (c *Core) Members() []fleet.Member {
	members := make([]fleet.Member, 0, len(c.records))
	for _, held := range c.records {
		members = append(members, c.view(held.member))
	}
	slices.SortFunc(members, compareMembers)
	return members
}

func (c *Core) view(member fleet.Member) fleet.Member {
	if member.Zone == c.options.Self.Zone {
		return member
	}
	report := c.zones[member.Zone]
	if report == nil {
		member.ConfigVersion = 0
		return member
	}
	member.ConfigVersion = report.configFloor
	if report.stale && member.State == fleet.MemberAlive {
		member.State = fleet.MemberSuspect
	}
	return member
}

// recordChanged marks the records as changed.
func (c *Core) recordChanged() {
	c.changed = true
	c.countsValid = false
}

// updateCounts recomputes the counts of records if necessary.
func (c *Core) updateCounts() {
	if c.countsValid {
		return
	}
	c.countsValid = true
	c.localLive = 0
	c.suspects = 0
	for _, held := range c.records {
		if !c.isLocal(held.member) || !isLive(held.member) {
			continue
		}
		c.localLive++
		if held.member.State == fleet.MemberSuspect {
			c.suspects++
		}
	}
}

// zoneSizeLog is the logarithm of the zone's size, which scales suspicion and retransmission.
func (c *Core) zoneSizeLog() float64 {
	c.updateCounts()
	return max(1, math.Log10(float64(c.localLive)+1))
}

func (c *Core) retransmitLimit() int {
	return int(math.Ceil(c.options.RetransmitMultiplier * c.zoneSizeLog()))
}

func (c *Core) suspicionTimeout() time.Duration {
	return time.Duration(c.options.SuspicionMultiplier * c.zoneSizeLog() * float64(c.options.ProbeInterval))
}
