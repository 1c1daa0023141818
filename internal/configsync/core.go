package configsync

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Defaults of the options.
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
	// foreignDigestShare is one in how many digests goes to another zone.
	foreignDigestShare = 8
	// cutOffForeignShare is that of a reader without the store, and
	// cutOffDigestFactor how much more often it sends digests.
	cutOffForeignShare = 2
	cutOffDigestFactor = 4
	// maxReadBackoff is how many times the read retry may double.
	maxReadBackoff = 2
	// jitterShare is the part of an interval that is drawn.
	jitterShare = 0.5
)

// Options configure a core. Zero durations and limits take the defaults.
type Options struct {
	// Self is the node's own member; only name, zone and addresses are used.
	Self fleet.Member
	Seed uint64
	// PushDelay gathers changes into one push.
	PushDelay time.Duration
	// DigestInterval is the mean time between two digests, of objects and of
	// machines each.
	DigestInterval time.Duration
	// FirstDigestRetry is the interval until the node has something in force.
	FirstDigestRetry time.Duration
	// ReadRetry is the first wait after a failed list or watch; it doubles.
	ReadRetry time.Duration
	// MachineInterval is how often the first reader asks for the machine list
	// while it is short.
	MachineInterval time.Duration
	// FullMergeInterval is the least time between two merges of all objects
	// with peers that hold others at the same version.
	FullMergeInterval time.Duration
	// TombstoneLimit bounds the tombstones that are kept.
	TombstoneLimit int
	Defects        Defects
}

// Defects are planted faults. Only tests and the simulator set them.
type Defects struct {
	// VersionsMayGoBack takes objects and versions that are older than what
	// is held.
	VersionsMayGoBack bool
	// IgnoreGaps claims a pushed version though changes before it are missing.
	IgnoreGaps bool
	// TakeUnknown takes objects that are not held whatever their version, so
	// that deleted ones come back.
	TakeUnknown bool
	// IgnoreBase applies a change of the machine list to another list than it
	// was made from.
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

// Core decides for one node who reads the store and who hears of changes.
type Core struct {
	options Options
	random  *rand.Rand
	members []fleet.Member

	objects  *ledger
	machines *machineTable
	reader   reader
	spread   spread
	effects  []Effect
	// reported is the version of the last Updated.
	reported uint64
	// everReported is false until the first Updated.
	everReported bool
}

// New returns a core that holds nothing.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, hashText(string(options.Self.Name)))),
		members:  []fleet.Member{options.Self},
		objects:  newLedger(options.TombstoneLimit, options.Defects),
		machines: newMachineTable(),
	}
}

// Version is the store revision in force, and false while there is none.
func (c *Core) Version() (uint64, bool) {
	return c.objects.version, c.objects.loaded
}

// Objects lists the declared objects and system records held, without
// tombstones, in the order of their versions.
func (c *Core) Objects() []objectstore.Object {
	return c.objects.all()
}

// Lookup returns the version at which an object or its tombstone is held.
func (c *Core) Lookup(key objectstore.Key) (objectstore.Object, bool) {
	object, found := c.objects.objects[key]
	return object, found
}

// IsReader reports whether the node reads the store for its zone.
func (c *Core) IsReader() bool {
	return c.reader.active
}

// Step takes one message and returns what is to be done.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	switch message := message.(type) {
	case Tick:
	case MembersChanged:
		c.membersChanged(now, message.Members)
	case StoreListed:
		c.listed(now, message)
	case ListFailed:
		c.readFailed(now, message.Generation)
	case EventsReceived:
		c.watched(now, message)
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
	c.runDue(now)
	return c.effects
}

// NextWake is the earliest time at which a Tick is wanted.
func (c *Core) NextWake() time.Time {
	wake := earliest(c.reader.readAt, c.reader.machinesAt)
	wake = earliest(wake, earliest(c.spread.pushAt, c.spread.digestAt))
	return earliest(wake, earliest(c.machines.pushAt, c.machines.digestAt))
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

func (c *Core) runDue(now time.Time) {
	c.readDue(now)
	c.pushDue(now)
	c.digestDue(now)
	c.pushMachinesDue(now)
	c.digestMachinesDue(now)
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

// jitter draws around an interval, so that nodes do not act in step.
func (c *Core) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - jitterShare/2 + jitterShare*c.random.Float64()))
}

// changed tells the shell of new content, and of the first version in force
// that reaches content it was told of before.
func (c *Core) changed(changed []objectstore.Object) {
	version, loaded := c.Version()
	if !loaded && len(changed) == 0 {
		return
	}
	reachedContent := version > c.reported && c.reported < c.objects.newest
	if len(changed) == 0 && c.everReported && !reachedContent {
		return
	}
	c.everReported = c.everReported || loaded
	c.reported = version
	c.emit(ObjectsUpdated{Version: version, Changed: changed})
}
