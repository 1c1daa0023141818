package configsync

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// kindMachine is the kind of the machine list's lines when they are spread.
const kindMachine = "Machine"

// machineTable holds the machine list as it was at one time. Its lines have no
// versions of their own, and two readers may see different changes between
// their lists: so a change applies only to exactly the list that it was made
// from, which the hash tells, and otherwise the whole list is taken.
type machineTable struct {
	machines map[string]machineLine
	loaded   bool
	// asOf is the platform's time of the list in Unix milliseconds.
	asOf uint64
	hash uint64

	// pushAt is when the gathered changes are pushed; zero for none.
	pushAt time.Time
	// pushBase is the hash before the first gathered change, touched names
	// the machines that changed since.
	pushBase uint64
	touched  map[string]bool
	// digestAt is when the next digest goes to a drawn peer.
	digestAt time.Time
}

// machineLine is one machine with its JSON.
type machineLine struct {
	machine objectstore.Machine
	raw     []byte
}

func newMachineTable() *machineTable {
	return &machineTable{machines: make(map[string]machineLine), touched: make(map[string]bool)}
}

func machineName(machine objectstore.Machine) string {
	return machine.Role + "/" + machine.Name
}

// set changes one line and reports whether it was another before.
func (t *machineTable) set(name string, line machineLine) bool {
	held, found := t.machines[name]
	if found && bytes.Equal(held.raw, line.raw) {
		return false
	}
	t.remove(name)
	t.machines[name] = line
	t.hash ^= hashParts(kindMachine, name, line.raw)
	t.touched[name] = true
	return true
}

func (t *machineTable) remove(name string) bool {
	held, found := t.machines[name]
	if !found {
		return false
	}
	t.hash ^= hashParts(kindMachine, name, held.raw)
	delete(t.machines, name)
	t.touched[name] = true
	return true
}

// replace takes a whole list and reports whether anything changed.
func (t *machineTable) replace(asOf uint64, lines map[string]machineLine) bool {
	changed := !t.loaded
	for name := range t.machines {
		if _, listed := lines[name]; !listed {
			changed = t.remove(name) || changed
		}
	}
	for name, line := range lines {
		changed = t.set(name, line) || changed
	}
	t.asOf = asOf
	t.loaded = true
	return changed
}

// list is the machine list in the order of role and name.
func (t *machineTable) list() objectstore.MachineList {
	list := objectstore.MachineList{AsOfUnixMilli: int64(t.asOf), Machines: make([]objectstore.Machine, 0, len(t.machines))}
	for _, name := range slices.Sorted(maps.Keys(t.machines)) {
		list.Machines = append(list.Machines, t.machines[name].machine)
	}
	return list
}

// object is the wire form of a line, or of its absence.
func (t *machineTable) object(name string) objectstore.Object {
	line, found := t.machines[name]
	return objectstore.Object{Kind: kindMachine, Name: name, Version: t.asOf, Deleted: !found, Spec: line.raw}
}

// answer gives the whole list to whoever holds an older one.
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
	lines := make(map[string]machineLine, len(list.Machines))
	for _, machine := range list.Machines {
		raw, err := json.Marshal(machine)
		if err == nil {
			lines[machineName(machine)] = machineLine{machine: machine, raw: raw}
		}
	}
	c.replaceMachines(now, asOf, lines, true)
}

// replaceMachines hands changes on to the zone where push is set. A node that
// had nothing has no news.
func (c *Core) replaceMachines(now time.Time, asOf uint64, lines map[string]machineLine, push bool) {
	base, known := c.machines.hash, c.machines.loaded
	changed := c.machines.replace(asOf, lines)
	c.machinesChanged(now, base, changed, push && known)
}

func (c *Core) machinesChanged(now time.Time, base uint64, changed, push bool) {
	if changed {
		c.emit(MachinesUpdated{List: c.machines.list()})
	}
	switch {
	case !c.machines.pushAt.IsZero():
	case changed && push:
		c.machines.pushAt = now.Add(c.options.PushDelay)
		c.machines.pushBase = base
	default:
		clear(c.machines.touched)
	}
}

func (c *Core) pushMachinesDue(now time.Time) {
	if !due(c.machines.pushAt, now) {
		return
	}
	c.machines.pushAt = time.Time{}
	push := Push{
		Space:    SpaceMachines,
		Changes:  Changes{Version: c.machines.asOf},
		BaseHash: c.machines.pushBase,
		Hash:     c.machines.hash,
	}
	for _, name := range slices.Sorted(maps.Keys(c.machines.touched)) {
		push.Changes.Objects = append(push.Changes.Objects, c.machines.object(name))
	}
	clear(c.machines.touched)
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
		if from, found := c.peerNamed(message.From); found {
			c.emit(SendDigest{To: from, Digest: c.machineDigest()})
		}
	}
	c.emit(AnswerPush{Call: message.Call, Version: c.machines.asOf})
}

func (c *Core) applyMachines(now time.Time, push Push) {
	base := c.machines.hash
	for name, line := range decodeMachines(push.Changes.Objects) {
		c.machines.set(name, line)
	}
	for _, object := range push.Changes.Objects {
		if object.Deleted {
			c.machines.remove(object.Name)
		}
	}
	c.machines.asOf = push.Changes.Version
	c.machinesChanged(now, base, true, false)
}

func decodeMachines(objects []objectstore.Object) map[string]machineLine {
	lines := make(map[string]machineLine, len(objects))
	for _, object := range objects {
		var machine objectstore.Machine
		if !object.Deleted && json.Unmarshal(object.Spec, &machine) == nil {
			lines[object.Name] = machineLine{machine: machine, raw: object.Spec}
		}
	}
	return lines
}

func (c *Core) machineDigest() Digest {
	digest := Digest{Space: SpaceMachines, Hash: c.machines.hash}
	if c.machines.loaded {
		// 0 says that there is nothing to compare.
		digest.Version = max(c.machines.asOf, 1)
	}
	return digest
}

func (c *Core) digestMachinesDue(now time.Time) {
	if !c.machines.digestAt.IsZero() && now.Before(c.machines.digestAt) {
		return
	}
	c.machines.digestAt = now.Add(c.digestInterval(c.machines.loaded))
	if member, found := c.drawPeer(c.machines.loaded); found {
		c.emit(SendDigest{To: member, Digest: c.machineDigest()})
		c.awaitFirst(now, c.machines.loaded, &c.machines.digestAt)
	}
}

func (c *Core) machineDigestAnswered(now time.Time, message DigestAnswered) {
	answer := message.Answer
	newer := answer.Loaded && (!c.machines.loaded || answer.Changes.Version > c.machines.asOf)
	switch {
	case !newer:
		c.retryFirst(now, c.machines.loaded, &c.machines.digestAt)
	case answer.InSync && answer.Hash == c.machines.hash:
		c.machines.asOf = answer.Changes.Version
	case answer.Full:
		from, found := c.peerNamed(message.From)
		c.replaceMachines(now, answer.Changes.Version, decodeMachines(answer.Changes.Objects), found && c.isForeign(from))
	}
}
