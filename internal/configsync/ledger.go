package configsync

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Changes take a holder of everything up to Since to everything up to Version:
// Objects are all that changed in between and what is newer.
type Changes struct {
	Since   uint64
	Version uint64
	Objects []objectstore.Object
	// TombstoneHorizon is the version up to which tombstones may be missing. An object
	// that changed after Since and is not listed was deleted up to Version.
	TombstoneHorizon uint64
}

// ledger holds objects with their versions, tombstones included.
type ledger struct {
	objects map[objectstore.Key]objectstore.Object
	// loaded is false until the first claim of a version.
	loaded bool
	// version is in force: every change up to it is held.
	version uint64
	// contentVersion is the version that was in force after the last step
	// that changed an object; nothing changed between it and version.
	contentVersion uint64
	// newest is the largest version of an object held.
	newest uint64
	// horizon is the version up to which tombstones may be missing: who holds
	// less must be given all objects. It is never above version.
	horizon uint64
	// dropped is the largest version of a tombstone that was dropped.
	dropped uint64
	// hash is over the objects that are not deleted.
	hash       uint64
	tombstones int

	tombstoneLimit int
	defects        Defects
}

func newLedger(tombstoneLimit int, defects Defects) *ledger {
	return &ledger{
		objects:        make(map[objectstore.Key]objectstore.Object),
		tombstoneLimit: tombstoneLimit,
		defects:        defects,
	}
}

// accept takes an object if it is newer than what is held.
func (l *ledger) accept(object objectstore.Object) bool {
	held, found := l.objects[object.Key()]
	if !l.isNewer(object, held, found) {
		return false
	}
	l.put(object)
	return true
}

// isNewer refuses an object that is not held, or held as a tombstone, with a
// version up to the one in force: it was deleted, and the tombstone of that
// deletion may be gone or may never have been seen.
func (l *ledger) isNewer(object, held objectstore.Object, found bool) bool {
	if l.defects.VersionsMayGoBack {
		return !found || held.Version != object.Version
	}
	if found && !held.Deleted {
		return object.Version > held.Version
	}
	if l.defects.TakeUnknown {
		return object.Version > held.Version
	}
	return object.Version > max(held.Version, l.version)
}

func (l *ledger) put(object objectstore.Object) {
	if held, found := l.objects[object.Key()]; found {
		l.forget(held)
	}
	l.objects[object.Key()] = object
	l.newest = max(l.newest, object.Version)
	if object.Deleted {
		l.tombstones++
	} else {
		l.hash ^= objectHash(object)
	}
}

func (l *ledger) forget(held objectstore.Object) {
	if held.Deleted {
		l.tombstones--
	} else {
		l.hash ^= objectHash(held)
	}
	delete(l.objects, held.Key())
}

// apply takes changes and returns the objects that were new. The version moves
// only where the changes close the distance; gap tells that they do not.
func (l *ledger) apply(changes Changes) (changed []objectstore.Object, gap bool) {
	ahead := l.newest > changes.Since
	changed = l.acceptAll(changes.Objects)
	if changes.Version <= l.version && l.loaded {
		return changed, false
	}
	if changes.Since > l.version && !l.defects.IgnoreGaps {
		return changed, true
	}
	if ahead {
		changed = append(changed, l.deleteUnlisted(changes, changes.Since)...)
	}
	l.horizon = max(l.horizon, min(changes.TombstoneHorizon, changes.Version))
	l.advance(changes.Version, len(changed) > 0)
	return changed, false
}

// applyEvents is apply for events of a watch, which tell every deletion.
func (l *ledger) applyEvents(events Changes) []objectstore.Object {
	changed := l.acceptAll(events.Objects)
	if events.Version > l.version && events.Since <= l.version {
		l.advance(events.Version, len(changed) > 0)
	}
	return changed
}

// applyAll takes everything that exists at a version. What is held up to that
// version and not listed was deleted. Where the version is not above the one
// in force nothing can be concluded from absence: objects only merge.
func (l *ledger) applyAll(all Changes) []objectstore.Object {
	if l.loaded && all.Version <= l.version {
		return l.acceptAll(all.Objects)
	}
	var changed []objectstore.Object
	for _, object := range all.Objects {
		held, found := l.objects[object.Key()]
		if !found || held.Deleted && object.Version > held.Version {
			l.put(object)
			changed = append(changed, object)
		} else if l.accept(object) {
			changed = append(changed, object)
		}
	}
	changed = append(changed, l.deleteUnlisted(all, 0)...)
	l.horizon = all.Version
	l.advance(all.Version, len(changed) > 0)
	return changed
}

// applySame claims a version at which exactly the objects with the hash exist,
// if they still are what is held. What was deleted in between is not known.
func (l *ledger) applySame(version, hash uint64) {
	if l.hash != hash || version <= l.version {
		return
	}
	l.horizon = version
	l.advance(version, false)
}

func (l *ledger) acceptAll(objects []objectstore.Object) []objectstore.Object {
	var changed []objectstore.Object
	for _, object := range objects {
		if l.accept(object) {
			changed = append(changed, object)
		}
	}
	return changed
}

// deleteUnlisted puts tombstones in place of what is held at versions after
// since up to that of the changes and is not among them.
func (l *ledger) deleteUnlisted(changes Changes, since uint64) []objectstore.Object {
	listed := make(map[objectstore.Key]bool, len(changes.Objects))
	for _, object := range changes.Objects {
		listed[object.Key()] = true
	}
	var missing []objectstore.Object
	for key, held := range l.objects {
		if !held.Deleted && held.Version > since && held.Version <= changes.Version && !listed[key] {
			missing = append(missing, objectstore.Object{Kind: key.Kind, Name: key.Name, Version: changes.Version, Deleted: true})
		}
	}
	sortObjects(missing)
	return l.acceptAll(missing)
}

func (l *ledger) advance(version uint64, contentChanged bool) {
	if version < l.version && !l.defects.VersionsMayGoBack {
		return
	}
	l.loaded = true
	l.version = version
	if contentChanged {
		l.contentVersion = version
	}
	l.dropTombstones()
}

// dropTombstones keeps the newest ones up to the limit. Only tombstones up to
// the version in force may go, so that the horizon never hides a change that
// is still to come.
func (l *ledger) dropTombstones() {
	excess := l.tombstones - l.tombstoneLimit
	if excess <= 0 {
		return
	}
	var droppable []objectstore.Object
	for _, held := range l.objects {
		if held.Deleted && held.Version <= l.version {
			droppable = append(droppable, held)
		}
	}
	sortObjects(droppable)
	for _, tombstone := range droppable[:min(excess, len(droppable))] {
		l.forget(tombstone)
		l.dropped = max(l.dropped, tombstone.Version)
		l.horizon = max(l.horizon, l.dropped)
	}
}

// ahead tells whether objects newer than the version in force are held.
func (l *ledger) ahead() bool {
	return l.newest > l.version
}

// comparableHash is 0 where the hash says nothing about the version in force.
func (l *ledger) comparableHash() uint64 {
	if l.ahead() {
		return 0
	}
	return l.hash
}

// since lists what changed after a version, in the order of the changes.
func (l *ledger) since(version uint64) []objectstore.Object {
	if version >= l.newest {
		return nil
	}
	var objects []objectstore.Object
	for _, held := range l.objects {
		if held.Version > version {
			objects = append(objects, held)
		}
	}
	sortObjects(objects)
	return objects
}

// all lists what is not deleted.
func (l *ledger) all() []objectstore.Object {
	return l.listed(func(held objectstore.Object) bool { return !held.Deleted })
}

// allInForce lists what exists at the version in force. A tombstone that is
// newer stands for an object that exists at that version.
func (l *ledger) allInForce() []objectstore.Object {
	return l.listed(func(held objectstore.Object) bool { return !held.Deleted || held.Version > l.version })
}

func (l *ledger) listed(wanted func(objectstore.Object) bool) []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(l.objects))
	for _, held := range l.objects {
		if wanted(held) {
			objects = append(objects, held)
		}
	}
	sortObjects(objects)
	return objects
}

func sortObjects(objects []objectstore.Object) {
	slices.SortFunc(objects, func(a, b objectstore.Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
}

func objectHash(object objectstore.Object) uint64 {
	return hashParts(object.Kind, object.Name, binary.LittleEndian.AppendUint64(nil, object.Version))
}

func hashParts(kind, name string, rest []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(kind)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(rest)
	return digest.Sum64()
}
