package configsync

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Changes bring a node that holds everything up to Since to everything up to Version: Objects are
// all objects that changed in between and any newer ones.
type Changes struct {
	Since   uint64
	Version uint64
	Objects []objectstore.Object
	// TombstoneHorizon is the version up to which tombstones may be missing. An object that changed
	// after Since and is not listed was deleted at or before Version.
	TombstoneHorizon uint64
}

// objectTable holds objects with their versions, including tombstones.
type objectTable struct {
	objects map[objectstore.Key]objectstore.Object
	// loaded is false until a version is in force for the first time.
	loaded bool
	// version is the version in force: every change up to it is held.
	version uint64
	// contentVersion is the version in force after the last step that changed an object; nothing
	// changed between it and version.
	contentVersion uint64
	// newest is the largest version of any object held.
	newest uint64
	// tombstoneHorizon is the version up to which tombstones may be missing: a node whose version
	// is below it must be sent all objects. It is never above version.
	tombstoneHorizon uint64
	// droppedVersion is the largest version of any dropped tombstone.
	droppedVersion uint64
	// hash covers the objects that are not deleted.
	hash       uint64
	tombstones int

	tombstoneLimit int
	defects        Defects
}

func newObjectTable(tombstoneLimit int, defects Defects) *objectTable {
	return &objectTable{
		objects:        make(map[objectstore.Key]objectstore.Object),
		tombstoneLimit: tombstoneLimit,
		defects:        defects,
	}
}

// accept stores an object if it is newer than the one held.
func (t *objectTable) accept(object objectstore.Object) bool {
	held, found := t.objects[object.Key()]
	if !t.isNewer(object, held, found) {
		return false
	}
	t.put(object)
	return true
}

// isNewer rejects an object that is not held, or held as a tombstone, if its version is not above
// the one in force: the object was deleted, and the tombstone of that deletion may have been
// dropped or never received.
func (t *objectTable) isNewer(object, held objectstore.Object, found bool) bool {
	if t.defects.VersionsMayGoBack {
		return !found || held.Version != object.Version
	}
	if found && !held.Deleted {
		return object.Version > held.Version
	}
	if t.defects.TakeUnknown {
		return object.Version > held.Version
	}
	return object.Version > max(held.Version, t.version)
}

func (t *objectTable) put(object objectstore.Object) {
	if held, found := t.objects[object.Key()]; found {
		t.remove(held)
	}
	t.objects[object.Key()] = object
	t.newest = max(t.newest, object.Version)
	if object.Deleted {
		t.tombstones++
	} else {
		t.hash ^= objectHash(object)
	}
}

func (t *objectTable) remove(held objectstore.Object) {
	if held.Deleted {
		t.tombstones--
	} else {
		t.hash ^= objectHash(held)
	}
	delete(t.objects, held.Key())
}

// apply stores changes and returns the objects that were new. The version advances only if the
// changes leave no gap to it; gap reports that they do.
func (t *objectTable) apply(changes Changes) (changed []objectstore.Object, gap bool) {
	hasNewer := t.newest > changes.Since
	changed = t.acceptAll(changes.Objects)
	if changes.Version <= t.version && t.loaded {
		return changed, false
	}
	if changes.Since > t.version && !t.defects.IgnoreGaps {
		return changed, true
	}
	if hasNewer {
		changed = append(changed, t.deleteUnlisted(changes, changes.Since)...)
	}
	t.tombstoneHorizon = max(t.tombstoneHorizon, min(changes.TombstoneHorizon, changes.Version))
	t.advance(changes.Version, len(changed) > 0)
	return changed, false
}

// applyEvents is apply for watch events, which include every deletion.
func (t *objectTable) applyEvents(events Changes) []objectstore.Object {
	changed := t.acceptAll(events.Objects)
	if events.Version > t.version && events.Since <= t.version {
		t.advance(events.Version, len(changed) > 0)
	}
	return changed
}

// applyFull stores everything that exists at a version. Held objects up to that version that are
// not listed were deleted. If the version is not above the one in force, absence proves nothing, so
// objects are only merged.
func (t *objectTable) applyFull(full Changes) []objectstore.Object {
	if t.loaded && full.Version <= t.version {
		return t.acceptAll(full.Objects)
	}
	var changed []objectstore.Object
	for _, object := range full.Objects {
		held, found := t.objects[object.Key()]
		if !found || held.Deleted && object.Version > held.Version {
			t.put(object)
			changed = append(changed, object)
		} else if t.accept(object) {
			changed = append(changed, object)
		}
	}
	changed = append(changed, t.deleteUnlisted(full, 0)...)
	t.tombstoneHorizon = full.Version
	t.advance(full.Version, len(changed) > 0)
	return changed
}

// applyInSync advances to a version at which exactly the objects with the hash exist, if these are
// still the objects held. Deletions in between remain unknown.
func (t *objectTable) applyInSync(version, hash uint64) {
	if t.hash != hash || version <= t.version {
		return
	}
	t.tombstoneHorizon = version
	t.advance(version, false)
}

func (t *objectTable) acceptAll(objects []objectstore.Object) []objectstore.Object {
	var changed []objectstore.Object
	for _, object := range objects {
		if t.accept(object) {
			changed = append(changed, object)
		}
	}
	return changed
}

// deleteUnlisted stores tombstones for objects that are held at versions after since and up to that
// of the changes but are not among them.
func (t *objectTable) deleteUnlisted(changes Changes, since uint64) []objectstore.Object {
	listed := make(map[objectstore.Key]bool, len(changes.Objects))
	for _, object := range changes.Objects {
		listed[object.Key()] = true
	}
	var missing []objectstore.Object
	for key, held := range t.objects {
		if !held.Deleted && held.Version > since && held.Version <= changes.Version && !listed[key] {
			missing = append(missing, objectstore.Object{Kind: key.Kind, Name: key.Name, Version: changes.Version, Deleted: true})
		}
	}
	sortObjects(missing)
	return t.acceptAll(missing)
}

func (t *objectTable) advance(version uint64, contentChanged bool) {
	if version < t.version && !t.defects.VersionsMayGoBack {
		return
	}
	t.loaded = true
	t.version = version
	if contentChanged {
		t.contentVersion = version
	}
	t.dropTombstones()
}

// dropTombstones keeps the newest ones up to the limit. Only tombstones up to the version in force
// may be dropped, so that the horizon never hides a change that is still to come.
func (t *objectTable) dropTombstones() {
	excess := t.tombstones - t.tombstoneLimit
	if excess <= 0 {
		return
	}
	var droppable []objectstore.Object
	for _, held := range t.objects {
		if held.Deleted && held.Version <= t.version {
			droppable = append(droppable, held)
		}
	}
	sortObjects(droppable)
	for _, tombstone := range droppable[:min(excess, len(droppable))] {
		t.remove(tombstone)
		t.droppedVersion = max(t.droppedVersion, tombstone.Version)
		t.tombstoneHorizon = max(t.tombstoneHorizon, t.droppedVersion)
	}
}

// hasNewerObjects reports whether objects newer than the version in force are held.
func (t *objectTable) hasNewerObjects() bool {
	return t.newest > t.version
}

// comparableHash returns 0 if the hash does not describe the version in force.
func (t *objectTable) comparableHash() uint64 {
	if t.hasNewerObjects() {
		return 0
	}
	return t.hash
}

// changedSince returns the objects changed after a version, ordered by version.
func (t *objectTable) changedSince(version uint64) []objectstore.Object {
	if version >= t.newest {
		return nil
	}
	var objects []objectstore.Object
	for _, held := range t.objects {
		if held.Version > version {
			objects = append(objects, held)
		}
	}
	sortObjects(objects)
	return objects
}

// liveObjects returns the objects that are not deleted.
func (t *objectTable) liveObjects() []objectstore.Object {
	return t.filter(func(held objectstore.Object) bool { return !held.Deleted })
}

// liveObjectsInForce returns the objects that exist at the version in force. A newer tombstone
// stands for an object that exists at that version.
func (t *objectTable) liveObjectsInForce() []objectstore.Object {
	return t.filter(func(held objectstore.Object) bool { return !held.Deleted || held.Version > t.version })
}

func (t *objectTable) filter(keep func(objectstore.Object) bool) []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(t.objects))
	for _, held := range t.objects {
		if keep(held) {
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
