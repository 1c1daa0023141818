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

	self    fleet.NodeName
	records map[fleet.NodeName]*record
	zones   map[fleet.Zone]*zoneReport
	updates queue
	hints   []ListedNode

	sequence   uint64
	probe      probe
	probeOrder []fleet.NodeName
	relays     map[uint64]relay

	nextProbe  time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextDigest time.Time

	// localLive and suspects count records; they hold while counted does.
	localLive int
	suspects  int
	counted   bool

	effects []Effect
	changed bool
}

// record is what is held of one member.
type record struct {
	member fleet.Member
	// since is when the state was taken.
	since time.Time
}

// zoneReport is the newest word from a zone's delegates.
type zoneReport struct {
	stamp       uint64
	configFloor uint64
	heard       time.Time
	stale       bool
}

// New returns a core; the first Step starts it.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.RandomSeed, options.Self.BootID)),
		self:    options.Self.Name,
		records: make(map[fleet.NodeName]*record),
		zones:   make(map[fleet.Zone]*zoneReport),
		relays:  make(map[uint64]relay),
	}
}

// Step takes a message. It must be called with a now that does not go back.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.excusePause(now)
	c.now = now
	c.effects = nil
	c.changed = false
	c.start()
	switch message := message.(type) {
	case Tick:
	case Receive:
		c.receive(message)
	case NodesListed:
		c.takeHints(message.Nodes)
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

// NextWake is when Step wants a Tick.
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

// wantsGossip holds while there is news of the own zone or a suspect in it.
func (c *Core) wantsGossip() bool {
	c.recount()
	return c.updates.local > 0 || c.suspects > 0
}

func earlier(first, second time.Time) time.Time {
	if second.Before(first) {
		return second
	}
	return first
}

// start sets the first incarnation from the clock, so that a restart under the
// same name usually overrides what is held of the earlier process at once;
// where the clock went back, refutation does the same a little later.
func (c *Core) start() {
	if c.started {
		return
	}
	c.started = true
	member := c.options.Self
	member.State = fleet.MemberAlive
	member.Incarnation = uint64(max(c.now.UnixMilli(), 1))
	c.records[c.self] = &record{member: member, since: c.now}
	c.nextProbe = c.now.Add(c.jitter(c.options.ProbeInterval))
	c.nextSync = c.now
	c.nextDigest = c.now.Add(c.jitter(c.options.DigestInterval))
	c.changed = true
}

// pausedProbes is how many probe intervals without a step count as a pause of
// this process.
const pausedProbes = 3

// excusePause drops what a pause of this process would make it believe of
// others: an unanswered probe and the time that suspects had.
func (c *Core) excusePause(now time.Time) {
	gap := now.Sub(c.now)
	if !c.started || gap < pausedProbes*c.options.ProbeInterval {
		return
	}
	c.probe = probe{}
	for _, held := range c.records {
		if held.member.State == fleet.MemberSuspect {
			held.since = held.since.Add(gap)
		}
	}
	for _, report := range c.zones {
		report.heard = report.heard.Add(gap)
	}
}

// jitter returns a random share of the duration.
func (c *Core) jitter(duration time.Duration) time.Duration {
	return time.Duration(c.random.Float64() * float64(duration))
}

func (c *Core) runTimers() {
	c.endSuspicions()
	c.continueProbe()
	if !c.now.Before(c.nextProbe) {
		c.nextProbe = c.now.Add(c.options.ProbeInterval)
		c.endProbe()
		c.beginProbe()
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

// reassert gives this node's record a higher incarnation and spreads it.
func (c *Core) reassert(above uint64) {
	own := c.own()
	own.member.Incarnation = max(own.member.Incarnation, above) + 1
	c.updates.add(memberUpdate(own.member), false)
	c.touch()
}

func (c *Core) setDraining(draining bool) {
	if c.own().member.Draining == draining {
		return
	}
	c.own().member.Draining = draining
	c.reassert(0)
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

// leave tells as many as can be told at once; the others hear it from them.
func (c *Core) leave() {
	own := c.own()
	own.member.State = fleet.MemberLeft
	own.member.Draining = true
	c.reassert(0)
	for _, name := range c.pick(leaveNotices, c.isLiveNeighbour) {
		c.sendPing(c.records[name].member)
	}
}

// leaveNotices is how many members a leaving node tells itself.
const leaveNotices = 8

// Members returns all members that are held, sorted by zone and name: this
// node, its zone with the dead not yet reaped, and the other zones' members,
// whose ConfigVersion is the least one in force in their zone.
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

// touch notes that a record changed.
func (c *Core) touch() {
	c.changed = true
	c.counted = false
}

// recount brings the counts of records up to date.
func (c *Core) recount() {
	if c.counted {
		return
	}
	c.counted = true
	c.localLive = 0
	c.suspects = 0
	for _, held := range c.records {
		if !c.isLocal(held.member) || !live(held.member) {
			continue
		}
		c.localLive++
		if held.member.State == fleet.MemberSuspect {
			c.suspects++
		}
	}
}

// logarithm of the zone's size scales suspicion and retransmission.
func (c *Core) logarithm() float64 {
	c.recount()
	return max(1, math.Log10(float64(c.localLive)+1))
}

func (c *Core) retransmits() int {
	return int(math.Ceil(c.options.RetransmitMultiplier * c.logarithm()))
}

func (c *Core) suspicionTime() time.Duration {
	return time.Duration(c.options.SuspicionMultiplier * c.logarithm() * float64(c.options.ProbeInterval))
}
