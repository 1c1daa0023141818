package configsync

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// readersPerZone is how many nodes of a zone read the store: one may fail without interruption, and
// the store can serve only few readers.
const readersPerZone = 2

// The machine list is requested less often as it grows, and rarely by the second reader, which is
// only a standby.
const (
	bytesPerMachine           = 200
	machineListBytesPerSecond = 128 << 10
	standbyIntervalFactor     = 4
)

// reader is the state of a node that reads the store.
type reader struct {
	active bool
	// rank is the node's position among its zone's readers.
	rank int
	// generation distinguishes answers to the current list or watch from older ones.
	generation uint64
	// inFlight is set while a list or watch is in progress.
	inFlight bool
	// position is the revision that the watch has reached.
	position uint64
	// nextReadAt is when the next list or watch starts; zero while one is in progress.
	nextReadAt time.Time
	failures   int
	// mustList is set when a watch cannot deliver the missing changes.
	mustList bool
	// nextMachineListAt is when the machine list is requested next.
	nextMachineListAt time.Time
}

// Readers ranks the usable members of a zone by rendezvous hash and returns the names of those that
// read the store.
func Readers(zone fleet.Zone, members []fleet.Member) []fleet.NodeName {
	var names []fleet.NodeName
	for _, member := range members {
		if member.Zone == zone && member.Usable() {
			names = append(names, member.Name)
		}
	}
	slices.SortFunc(names, func(a, b fleet.NodeName) int {
		return cmp.Or(cmp.Compare(rendezvous(zone, b), rendezvous(zone, a)), strings.Compare(string(a), string(b)))
	})
	names = slices.Compact(names)
	return names[:min(readersPerZone, len(names))]
}

func rendezvous(zone fleet.Zone, name fleet.NodeName) uint64 {
	return hashText(string(zone) + "\x00" + string(name))
}

func hashText(text string) uint64 {
	return xxhash.Sum64String(text)
}

// membersChanged keeps the node itself in the list: as long as it knows no other node it is its
// zone's reader.
func (c *Core) membersChanged(now time.Time, members []fleet.Member) {
	c.members = slices.Clone(members)
	if !slices.ContainsFunc(members, func(member fleet.Member) bool { return member.Name == c.options.Self.Name }) {
		self := c.options.Self
		self.State = fleet.MemberAlive
		c.members = append(c.members, self)
	}
	rank := slices.Index(Readers(c.options.Self.Zone, c.members), c.options.Self.Name)
	active := rank >= 0
	if active && rank < c.reader.rank {
		c.reader.nextMachineListAt = now
	}
	c.reader.rank = rank
	if active == c.reader.active {
		return
	}
	c.reader.active = active
	c.emit(ReaderChanged{Reader: active})
	if active {
		c.reader.nextReadAt = now
		c.reader.nextMachineListAt = now
		return
	}
	c.reader = reader{generation: c.reader.generation + 1}
	c.emit(StopReading{})
}

// startReadIfDue starts a watch from the version in force, or a list if there is none or the store
// no longer keeps the changes since.
func (c *Core) startReadIfDue(now time.Time) {
	if isDue(c.reader.nextMachineListAt, now) {
		c.reader.nextMachineListAt = now.Add(c.jitter(c.machineInterval()))
		c.emit(ListMachines{})
	}
	if !isDue(c.reader.nextReadAt, now) {
		return
	}
	c.reader.nextReadAt = time.Time{}
	c.reader.inFlight = true
	c.reader.generation++
	if c.objects.loaded && !c.reader.mustList {
		c.reader.position = c.objects.version
		c.emit(WatchStore{Generation: c.reader.generation, Since: c.reader.position})
		return
	}
	c.emit(ListStore{Generation: c.reader.generation})
}

func (c *Core) machineInterval() time.Duration {
	minInterval := time.Duration(len(c.machines.machines)) * bytesPerMachine * time.Second / machineListBytesPerSecond
	interval := max(c.options.MachineInterval, minInterval)
	if c.reader.rank > 0 {
		return standbyIntervalFactor * interval
	}
	return interval
}

func (c *Core) isCurrent(generation uint64) bool {
	return c.reader.active && c.reader.inFlight && generation == c.reader.generation
}

func (c *Core) storeListed(now time.Time, message StoreListed) {
	if !c.isCurrent(message.Generation) {
		return
	}
	c.reader.inFlight = false
	list := Changes{Version: message.List.Version, Objects: withoutLeases(message.List.Objects)}
	if c.objects.loaded && list.Version < c.objects.version {
		c.applyFullChanges(now, list, true)
		c.storeBehind(now, list.Version)
		return
	}
	c.reader.failures = 0
	c.reader.mustList = false
	c.reader.nextReadAt = now
	c.applyFullChanges(now, list, true)
}

// storeBehind keeps listing instead of watching: a watch from the version in force would miss the
// changes that the store makes before it reaches that version.
func (c *Core) storeBehind(now time.Time, storeVersion uint64) {
	c.emit(StoreBehind{Store: storeVersion, Held: c.objects.version})
	c.reader.mustList = true
	c.retryRead(now)
}

func (c *Core) retryRead(now time.Time) {
	c.reader.inFlight = false
	backoff := c.options.ReadRetry << min(c.reader.failures, maxReadBackoffDoublings)
	c.reader.failures++
	c.reader.nextReadAt = now.Add(c.jitter(backoff))
}

// isCutOffFromStore reports whether this node should read the store but cannot.
func (c *Core) isCutOffFromStore() bool {
	return c.reader.active && c.reader.failures > 0
}

func (c *Core) listFailed(now time.Time, generation uint64) {
	if c.isCurrent(generation) {
		c.retryRead(now)
	}
}

func (c *Core) eventsReceived(now time.Time, message EventsReceived) {
	if !c.isCurrent(message.Generation) {
		return
	}
	// Revisions only increase along a watch that began at a revision the store had reached.
	if message.Version < c.reader.position {
		c.storeBehind(now, message.Version)
		return
	}
	c.reader.failures = 0
	events := Changes{Since: c.reader.position, Version: message.Version, Objects: withoutLeases(message.Objects)}
	c.reader.position = message.Version
	previousVersion := c.objects.contentVersion
	c.objectsApplied(now, previousVersion, c.objects.applyEvents(events), true)
}

func (c *Core) watchEnded(now time.Time, message WatchEnded) {
	if !c.isCurrent(message.Generation) {
		return
	}
	if message.Idle {
		c.reader.inFlight = false
		c.reader.nextReadAt = now
		return
	}
	c.reader.mustList = c.reader.mustList || message.Compacted
	c.retryRead(now)
}

// withoutLeases removes leases: they change often, and only nodes that compare and set them need
// them.
func withoutLeases(objects []objectstore.Object) []objectstore.Object {
	return slices.DeleteFunc(slices.Clone(objects), func(object objectstore.Object) bool {
		return object.Kind == objectstore.KindLease
	})
}
