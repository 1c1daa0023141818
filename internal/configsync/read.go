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

// readersPerZone is how many nodes of a zone read the store: one may fail
// without a pause, and the store bears few readers.
const readersPerZone = 2

// The machine list is asked for less often as it grows, and seldom by the
// second reader, who only stands in.
const (
	machineBytes          = 200
	machineBytesPerSecond = 128 << 10
	standInFactor         = 4
)

// reader is the state of a node that reads the store.
type reader struct {
	active bool
	// rank is the node's place among its zone's readers.
	rank int
	// generation tells answers to the present list or watch from older ones.
	generation uint64
	// busy is set while a list or watch is under way.
	busy bool
	// position is the revision that the watch has reached.
	position uint64
	// readAt is when the next list or watch starts; zero while one runs.
	readAt   time.Time
	failures int
	// mustList is set when a watch cannot close the distance.
	mustList bool
	// machinesAt is when the machine list is asked for next.
	machinesAt time.Time
}

// Readers ranks the usable members of a zone by rendezvous hash and returns
// the names of those that read the store.
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

// membersChanged keeps the node itself in the list: while it has heard of
// nobody it is its zone's reader.
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
		c.reader.machinesAt = now
	}
	c.reader.rank = rank
	if active == c.reader.active {
		return
	}
	c.reader.active = active
	c.emit(ReaderChanged{Reader: active})
	if active {
		c.reader.readAt = now
		c.reader.machinesAt = now
		return
	}
	c.reader = reader{generation: c.reader.generation + 1}
	c.emit(StopReading{})
}

// readDue starts a watch from the version in force, or a list where there is
// none or the store no longer keeps the changes since.
func (c *Core) readDue(now time.Time) {
	if due(c.reader.machinesAt, now) {
		c.reader.machinesAt = now.Add(c.jitter(c.machineInterval()))
		c.emit(ListMachines{})
	}
	if !due(c.reader.readAt, now) {
		return
	}
	c.reader.readAt = time.Time{}
	c.reader.busy = true
	c.reader.generation++
	if c.objects.loaded && !c.reader.mustList {
		c.reader.position = c.objects.version
		c.emit(WatchStore{Generation: c.reader.generation, Since: c.reader.position})
		return
	}
	c.emit(ListStore{Generation: c.reader.generation})
}

func (c *Core) machineInterval() time.Duration {
	bounded := time.Duration(len(c.machines.machines)) * machineBytes * time.Second / machineBytesPerSecond
	interval := max(c.options.MachineInterval, bounded)
	if c.reader.rank > 0 {
		return standInFactor * interval
	}
	return interval
}

func (c *Core) current(generation uint64) bool {
	return c.reader.active && c.reader.busy && generation == c.reader.generation
}

func (c *Core) listed(now time.Time, message StoreListed) {
	if !c.current(message.Generation) {
		return
	}
	c.reader.busy = false
	list := Changes{Version: message.List.Version, Objects: spreadable(message.List.Objects)}
	if c.objects.loaded && list.Version < c.objects.version {
		c.takeAll(now, list, true)
		c.storeBehind(now, list.Version)
		return
	}
	c.reader.failures = 0
	c.reader.mustList = false
	c.reader.readAt = now
	c.takeAll(now, list, true)
}

// storeBehind keeps listing instead of watching: a watch from the version in
// force would miss the changes that the store makes up to it.
func (c *Core) storeBehind(now time.Time, store uint64) {
	c.emit(StoreBehind{Store: store, Held: c.objects.version})
	c.reader.mustList = true
	c.retryRead(now)
}

func (c *Core) retryRead(now time.Time) {
	c.reader.busy = false
	backoff := c.options.ReadRetry << min(c.reader.failures, maxReadBackoff)
	c.reader.failures++
	c.reader.readAt = now.Add(c.jitter(backoff))
}

// withoutStore reports whether this node should read the store and cannot.
func (c *Core) withoutStore() bool {
	return c.reader.active && c.reader.failures > 0
}

func (c *Core) readFailed(now time.Time, generation uint64) {
	if c.current(generation) {
		c.retryRead(now)
	}
}

func (c *Core) watched(now time.Time, message EventsReceived) {
	if !c.current(message.Generation) {
		return
	}
	// Revisions grow along a watch that began at one the store has reached.
	if message.Version < c.reader.position {
		c.storeBehind(now, message.Version)
		return
	}
	c.reader.failures = 0
	events := Changes{Since: c.reader.position, Version: message.Version, Objects: spreadable(message.Objects)}
	c.reader.position = message.Version
	before := c.objects.contentVersion
	c.taken(now, before, c.objects.applyEvents(events), true)
}

func (c *Core) watchEnded(now time.Time, message WatchEnded) {
	if !c.current(message.Generation) {
		return
	}
	if message.Idle {
		c.reader.busy = false
		c.reader.readAt = now
		return
	}
	c.reader.mustList = c.reader.mustList || message.Compacted
	c.retryRead(now)
}

// spreadable leaves out leases: they change often and only those who compare
// and set them need them.
func spreadable(objects []objectstore.Object) []objectstore.Object {
	return slices.DeleteFunc(slices.Clone(objects), func(object objectstore.Object) bool {
		return object.Kind == objectstore.KindLease
	})
}
