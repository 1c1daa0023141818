package configsync

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Default option values.
const (
	DefaultPushDelay         = 10 * time.Millisecond
	DefaultDigestInterval    = 2 * time.Second
	DefaultFirstDigestRetry  = 250 * time.Millisecond
	DefaultReadRetry         = 500 * time.Millisecond
	DefaultMachineInterval   = 2 * time.Second
	DefaultFullMergeInterval = time.Minute
	DefaultTombstoneLimit    = 4096
)

const (
	// One in digestsPerCrossZoneDigest digests goes to another zone.
	digestsPerCrossZoneDigest = 8
	// cutOffDigestsPerCrossZoneDigest is the same for a reader that cannot reach the store, and
	// cutOffDigestSpeedup how many times as often it sends digests.
	cutOffDigestsPerCrossZoneDigest = 2
	cutOffDigestSpeedup             = 4
	// maxReadBackoffDoublings is how many times the read retry interval may double.
	maxReadBackoffDoublings = 2
	// jitterFraction is the random part of an interval.
	jitterFraction = 0.5
)

// Options configure a Core. Zero durations and limits take the defaults.
type Options struct {
	// Self is the node's own member; only name, zone and addresses are used.
	Self fleet.Member
	Seed uint64
	// PushDelay is how long changes are collected into one push.
	PushDelay time.Duration
	// DigestInterval is the mean time between two digests, for objects and for machines separately.
	DigestInterval time.Duration
	// FirstDigestRetry replaces DigestInterval until the node has a version in force.
	FirstDigestRetry time.Duration
	// ReadRetry is the first delay after a failed list or watch; it doubles on each further
	// failure.
	ReadRetry time.Duration
	// MachineInterval is how often the first reader requests the machine list while it is short.
	MachineInterval time.Duration
	// FullMergeInterval is the minimum time between two merges of all objects with peers that hold
	// different objects at the same version.
	FullMergeInterval time.Duration
	// TombstoneLimit bounds the number of tombstones kept.
	TombstoneLimit int
	Defects        Defects
}

// Defects are injected faults. Only tests and the simulator set them.
type Defects struct {
	// VersionsMayGoBack accepts objects and versions older than those held.
	VersionsMayGoBack bool
	// IgnoreGaps advances to a pushed version even if changes before it are missing.
	IgnoreGaps bool
	// TakeUnknown accepts objects that are not held at any version, so that deleted ones come back.
	TakeUnknown bool
	// IgnoreBase applies a change of the machine list to a list other than the one it was made
	// from.
	IgnoreBase bool
}

func (o Options) withDefaults() Options {
	o.PushDelay = cmp.Or(o.PushDelay, DefaultPushDelay)
	o.DigestInterval = cmp.Or(o.DigestInterval, DefaultDigestInterval)
	o.FirstDigestRetry = cmp.Or(o.FirstDigestRetry, DefaultFirstDigestRetry)
	o.ReadRetry = cmp.Or(o.ReadRetry, DefaultReadRetry)
	o.MachineInterval = cmp.Or(o.MachineInterval, DefaultMachineInterval)
	o.FullMergeInterval = cmp.Or(o.FullMergeInterval, DefaultFullMergeInterval)
	o.TombstoneLimit = cmp.Or(o.TombstoneLimit, DefaultTombstoneLimit)
	return o
}

// Core decides for one node who reads the store and who is sent changes.
type Core struct {
	options Options
	random  *rand.Rand
	members []fleet.Member

	objects    *objectTable
	machines   *machineTable
	reader     reader
	objectSync objectSync
	effects    []Effect
	// reportedVersion is the version of the last ObjectsUpdated.
	reportedVersion uint64
	// hasReported is set once a version in force was reported.
	hasReported bool
}

// New returns a core without any objects.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, hashText(string(options.Self.Name)))),
		members:  []fleet.Member{options.Self},
		objects:  newObjectTable(options.TombstoneLimit, options.Defects),
		machines: newMachineTable(),
	}
}

// Version returns the store revision in force, and false if there is none yet.
func (c *Core) Version() (uint64, bool) {
	return c.objects.version, c.objects.loaded
}

// Objects returns the declared objects and system records held, without tombstones, ordered by
// version.
func (c *Core) Objects() []objectstore.Object {
	return c.objects.liveObjects()
}

// Lookup returns the held object or tombstone with the key.
func (c *Core) Lookup(key objectstore.Key) (objectstore.Object, bool) {
	object, found := c.objects.objects[key]
	return object, found
}

// IsReader reports whether the node reads the store for its zone.
func (c *Core) IsReader() bool {
	return c.reader.active
}

// Step processes one message and returns the effects to perform.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	switch message := message.(type) {
	case Tick:
	case MembersChanged:
		c.membersChanged(now, message.Members)
	case StoreListed:
		c.storeListed(now, message)
	case ListFailed:
		c.listFailed(now, message.Generation)
	case EventsReceived:
		c.eventsReceived(now, message)
	case WatchEnded:
		c.watchEnded(now, message)
	case MachinesListed:
		c.machinesListed(now, message.List)
	case ListMachinesFailed:
	case PushReceived:
		if message.Push.Space == SpaceMachines {
			c.machinePushReceived(now, message)
		} else {
			c.pushReceived(now, message)
		}
	case DigestReceived:
		if message.Digest.Space == SpaceMachines {
			c.emit(AnswerDigest{Call: message.Call, Answer: c.machines.answer(message.Digest)})
		} else {
			c.emit(AnswerDigest{Call: message.Call, Answer: c.answerDigest(message.Digest)})
		}
	case DigestAnswered:
		if message.Answer.Space == SpaceMachines {
			c.machineDigestAnswered(now, message)
		} else {
			c.digestAnswered(now, message)
		}
	case DigestFailed:
		c.digestFailed(now, message)
	}
	c.runDueActions(now)
	return c.effects
}

// NextWake returns the earliest time at which a Tick is needed.
func (c *Core) NextWake() time.Time {
	wake := earliest(c.reader.nextReadAt, c.reader.nextMachineListAt)
	wake = earliest(wake, earliest(c.objectSync.pushAt, c.objectSync.digestAt))
	return earliest(wake, earliest(c.machines.pushAt, c.machines.digestAt))
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func isDue(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

func (c *Core) runDueActions(now time.Time) {
	c.startReadIfDue(now)
	c.pushObjectsIfDue(now)
	c.sendObjectDigestIfDue(now)
	c.pushMachinesIfDue(now)
	c.sendMachineDigestIfDue(now)
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

// jitter randomizes an interval, so that nodes don't act in step.
func (c *Core) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - jitterFraction/2 + jitterFraction*c.random.Float64()))
}

// reportChanges emits ObjectsUpdated for changed objects, and for the first version in force that
// reaches objects reported earlier.
func (c *Core) reportChanges(changed []objectstore.Object) {
	version, loaded := c.Version()
	if !loaded && len(changed) == 0 {
		return
	}
	reachedContent := version > c.reportedVersion && c.reportedVersion < c.objects.newest
	if len(changed) == 0 && c.hasReported && !reachedContent {
		return
	}
	c.hasReported = c.hasReported || loaded
	c.reportedVersion = version
	c.emit(ObjectsUpdated{Version: version, Changed: changed})
}
