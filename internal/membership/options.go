package membership

import (
	"cmp"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Options configure a Core. Zero durations and counts take the defaults.
type Options struct {
	// Self is this node; the core sets its Incarnation and State.
	Self fleet.Member
	// Seeds are gossip addresses to join through; the node's own address is ignored.
	Seeds []string
	// RandomSeed makes the core's random choices repeatable.
	RandomSeed uint64

	// ProbeInterval is the time between probes; one member is probed each time.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before other members are asked to probe.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked.
	IndirectProbes int
	// SuspicionMultiplier times the logarithm of the zone's size times the probe interval is how
	// long a suspect has to refute.
	SuspicionMultiplier float64
	// RetransmitMultiplier times the logarithm of the zone's size is how many times a node sends an
	// update.
	RetransmitMultiplier float64
	// GossipInterval is the time between packets that carry only updates, sent only while there are
	// updates about this zone, and between pings of suspects.
	GossipInterval time.Duration
	// GossipFanout is how many members receive these packets.
	GossipFanout int
	// DeadRetention is how long a dead or departed member is remembered.
	DeadRetention time.Duration
	// SyncInterval is the time between comparisons of the whole table with a random member of the
	// zone, a seed or a dead member.
	SyncInterval time.Duration
	// DigestInterval is the time between a delegate's exchanges with other zones.
	DigestInterval time.Duration
	// Delegates is how many members of a zone exchange tables with other zones.
	Delegates int
	// ZoneStaleAfter is how long no report of another zone may arrive before its members count as
	// suspect.
	ZoneStaleAfter time.Duration
	// PacketBytes bounds an encoded packet.
	PacketBytes int
	// Defects injects faults; only tests and the simulator set it.
	Defects Defects
}

// Defects are injected faults that the tests must detect. Only tests and the simulator set them; no
// setting or flag does.
type Defects struct {
	// NoRefutation ignores claims that this node is suspect or dead.
	NoRefutation bool
	// NoIndirectProbes suspects a member after the direct probe alone.
	NoIndirectProbes bool
	// ResurrectDead accepts outdated updates that a dead member is alive.
	ResurrectDead bool
}

const (
	defaultProbeInterval        = 500 * time.Millisecond
	defaultProbeTimeout         = 200 * time.Millisecond
	defaultIndirectProbes       = 3
	defaultSuspicionMultiplier  = 6
	defaultRetransmitMultiplier = 4
	defaultGossipInterval       = 200 * time.Millisecond
	defaultGossipFanout         = 2
	defaultDeadRetention        = 10 * time.Minute
	defaultSyncInterval         = 5 * time.Second
	defaultDigestInterval       = time.Second
	defaultDelegates            = 3
	defaultZoneStaleAfter       = 15 * time.Second
	// defaultPacketBytes fits a packet into one frame on any path.
	defaultPacketBytes = 1200
)

func (o Options) withDefaults() Options {
	o.ProbeInterval = cmp.Or(o.ProbeInterval, defaultProbeInterval)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, defaultProbeTimeout)
	o.IndirectProbes = cmp.Or(o.IndirectProbes, defaultIndirectProbes)
	o.SuspicionMultiplier = cmp.Or(o.SuspicionMultiplier, defaultSuspicionMultiplier)
	o.RetransmitMultiplier = cmp.Or(o.RetransmitMultiplier, defaultRetransmitMultiplier)
	o.GossipInterval = cmp.Or(o.GossipInterval, defaultGossipInterval)
	o.GossipFanout = cmp.Or(o.GossipFanout, defaultGossipFanout)
	o.DeadRetention = cmp.Or(o.DeadRetention, defaultDeadRetention)
	o.SyncInterval = cmp.Or(o.SyncInterval, defaultSyncInterval)
	o.DigestInterval = cmp.Or(o.DigestInterval, defaultDigestInterval)
	o.Delegates = cmp.Or(o.Delegates, defaultDelegates)
	o.ZoneStaleAfter = cmp.Or(o.ZoneStaleAfter, defaultZoneStaleAfter)
	o.PacketBytes = cmp.Or(o.PacketBytes, defaultPacketBytes)
	return o
}
