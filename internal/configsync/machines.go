package configsync

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// kindMachine is the object kind of machine list entries in pushes and digests.
const kindMachine = "Machine"

// machineTable holds the machine list as of one time. Its entries have no versions of their own,
// and two readers may see different changes between their lists. A change therefore applies only to
// exactly the list it was made from, identified by hash; otherwise the whole list is replaced.
type machineTable struct {
	machines map[string]machineEntry
	loaded   bool
	// asOf is the platform's timestamp of the list in Unix milliseconds.
	asOf uint64
	hash uint64

	// pushAt is when the collected changes are pushed; zero if there are none.
	pushAt time.Time
	// pushBaseHash is the hash before the first collected change, changedNames the machines that
	// changed since.
	pushBaseHash uint64
	changedNames map[string]bool
	// digestAt is when the next digest goes to a random peer.
	digestAt time.Time
}

// machineEntry is one machine with its JSON encoding.
type machineEntry struct {
	machine objectstore.Machine
	raw     []byte
}

func newMachineTable() *machineTable {
	return &machineTable{machines: make(map[string]machineEntry), changedNames: make(map[string]bool)}
}

func machineKey(machine objectstore.Machine) string {
	return machine.Role + "/" + machine.Name
}

// set stores one entry and reports whether it changed.
func (t *machineTable) set(name string, entry machineEntry) bool {
	held, found := t.machines[name]
	if found && bytes.Equal(held.raw, entry.raw) {
		return false
	}
	t.remove(name)
	t.machines[name] = entry
	t.hash ^= hashParts(kindMachine, name, entry.raw)
	t.changedNames[name] = true
	return true
}

func (t *machineTable) remove(name string) bool {
	held, found := t.machines[name]
	if !found {
		return false
	}
	t.hash ^= hashParts(kindMachine, name, held.raw)
	delete(t.machines, name)
	t.changedNames[name] = true
	return true
}

// replace stores a whole list and reports whether anything changed.
func (t *machineTable) replace(asOf uint64, entries map[string]machineEntry) bool {
	changed := !t.loaded
	for name := range t.machines {
		if _, listed := entries[name]; !listed {
			changed = t.remove(name) || changed
		}
	}
	for name, entry := range entries {
		changed = t.set(name, entry) || changed
	}
	t.asOf = asOf
	t.loaded = true
	return changed
}

// list returns the machine list ordered by role and name.
func (t *machineTable) list() objectstore.MachineList {
	list := objectstore.MachineList{AsOfUnixMilli: int64(t.asOf), Machines: make([]objectstore.Machine, 0, len(t.machines))}
	for _, name := range slices.Sorted(maps.Keys(t.machines)) {
		list.Machines = append(list.Machines, t.machines[name].machine)
	}
	return list
}

// object returns the wire form of an entry, or of its absence.
func (t *machineTable) object(name string) objectstore.Object {
	entry, found := t.machines[name]
	return objectstore.Object{Kind: kindMachine, Name: name, Version: t.asOf, Deleted: !found, Spec: entry.raw}
}

// answer returns the whole list if the digest's sender holds an older one.
func (t *machineTable) answer(digest Digest) DigestAnswer {
	answer := DigestAnswer{
		Space:   SpaceMachines,
		Changes: Changes{Version: t.asOf},
		Hash:    t.hash,
		Loaded:  t.loaded,
	}
	switch {
	case !t.loaded:
	case digest.Hash == t.hash && digest.Version > 0:
		answer.InSync = true
	case digest.Version < t.asOf:
		answer.Full = true
		for _, name := range slices.Sorted(maps.Keys(t.machines)) {
			answer.Changes.Objects = append(answer.Changes.Objects, t.object(name))
		}
	}
	return answer
}

func (c *Core) machinesListed(now time.Time, list objectstore.MachineList) {
	asOf := uint64(max(list.AsOfUnixMilli, 0))
	if c.machines.loaded && asOf <= c.machines.asOf {
		return
	}
	entries := make(map[string]machineEntry, len(list.Machines))
	for _, machine := range list.Machines {
		raw, err := json.Marshal(machine)
		if err == nil {
			entries[machineKey(machine)] = machineEntry{machine: machine, raw: raw}
		}
	}
	c.replaceMachines(now, asOf, entries, true)
}

// replaceMachines pushes changes to the zone if push is set. A node without an earlier list pushes
// nothing: its zone can ask for it.
func (c *Core) replaceMachines(now time.Time, asOf uint64, entries map[string]machineEntry, push bool) {
	baseHash, wasLoaded := c.machines.hash, c.machines.loaded
	changed := c.machines.replace(asOf, entries)
	c.machinesChanged(now, baseHash, changed, push && wasLoaded)
}

func (c *Core) machinesChanged(now time.Time, baseHash uint64, changed, push bool) {
	if changed {
		c.emit(MachinesUpdated{List: c.machines.list()})
	}
	switch {
	case !c.machines.pushAt.IsZero():
	case changed && push:
		c.machines.pushAt = now.Add(c.options.PushDelay)
		c.machines.pushBaseHash = baseHash
	default:
		clear(c.machines.changedNames)
	}
}

func (c *Core) pushMachinesIfDue(now time.Time) {
	if !isDue(c.machines.pushAt, now) {
		return
	}
	c.machines.pushAt = time.Time{}
	push := Push{
		Space:    SpaceMachines,
		Changes:  Changes{Version: c.machines.asOf},
		BaseHash: c.machines.pushBaseHash,
		Hash:     c.machines.hash,
	}
	for _, name := range slices.Sorted(maps.Keys(c.machines.changedNames)) {
		push.Changes.Objects = append(push.Changes.Objects, c.machines.object(name))
	}
	clear(c.machines.changedNames)
	c.pushToZone(push)
}

func (c *Core) machinePushReceived(now time.Time, message PushReceived) {
	push := message.Push
	switch table := c.machines; {
	case table.loaded && push.Changes.Version <= table.asOf:
	case table.loaded && table.hash == push.Hash:
		table.asOf = push.Changes.Version
	case table.loaded && (table.hash == push.BaseHash || c.options.Defects.IgnoreBase):
		c.applyMachines(now, push)
	default:
		if from, found := c.peerByName(message.From); found {
			c.emit(SendDigest{To: from, Digest: c.machineDigest()})
		}
	}
	c.emit(AnswerPush{Call: message.Call, Version: c.machines.asOf})
}

func (c *Core) applyMachines(now time.Time, push Push) {
	baseHash := c.machines.hash
	for name, entry := range decodeMachines(push.Changes.Objects) {
		c.machines.set(name, entry)
	}
	for _, object := range push.Changes.Objects {
		if object.Deleted {
			c.machines.remove(object.Name)
		}
	}
	c.machines.asOf = push.Changes.Version
	c.machinesChanged(now, baseHash, true, false)
}

func decodeMachines(objects []objectstore.Object) map[string]machineEntry {
	entries := make(map[string]machineEntry, len(objects))
	for _, object := range objects {
		var machine objectstore.Machine
		if !object.Deleted && json.Unmarshal(object.Spec, &machine) == nil {
			entries[object.Name] = machineEntry{machine: machine, raw: object.Spec}
		}
	}
	return entries
}

func (c *Core) machineDigest() Digest {
	digest := Digest{Space: SpaceMachines, Hash: c.machines.hash}
	if c.machines.loaded {
		// 0 means that there is nothing to compare.
		digest.Version = max(c.machines.asOf, 1)
	}
	return digest
}

func (c *Core) sendMachineDigestIfDue(now time.Time) {
	if !c.machines.digestAt.IsZero() && now.Before(c.machines.digestAt) {
		return
	}
	c.machines.digestAt = now.Add(c.digestInterval(c.machines.loaded))
	if member, found := c.randomPeer(c.machines.loaded); found {
		c.emit(SendDigest{To: member, Digest: c.machineDigest()})
		c.awaitFirstAnswer(now, c.machines.loaded, &c.machines.digestAt)
	}
}

func (c *Core) machineDigestAnswered(now time.Time, message DigestAnswered) {
	answer := message.Answer
	isNewer := answer.Loaded && (!c.machines.loaded || answer.Changes.Version > c.machines.asOf)
	switch {
	case !isNewer:
		c.retryFirstDigest(now, c.machines.loaded, &c.machines.digestAt)
	case answer.InSync && answer.Hash == c.machines.hash:
		c.machines.asOf = answer.Changes.Version
	case answer.Full:
		from, found := c.peerByName(message.From)
		c.replaceMachines(now, answer.Changes.Version, decodeMachines(answer.Changes.Objects), found && c.isInOtherZone(from))
	}
}
