// Package objects simulates the store behind the platform's object API:
// versioned objects with compare-and-set writes, tombstones and a bounded history
// for watches.
//
// Store is deterministic: it reads no clock, takes no lock and does no I/O. The
// HTTP driver (standin/httpdriver) and the simulator both use it.
//
// It may import the wire types of objectstore.
package objects

import (
	"cmp"
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// DefaultHistory is the default number of changes that a Store keeps for watches.
const DefaultHistory = 10_000

// Store holds versioned objects. A single version counter covers the whole store
// and increases by one with each change.
type Store struct {
	historyLimit int
	version      uint64
	objects      map[objectstore.Key]objectstore.Object
	// history holds the latest changes, oldest first; compacted is the version
	// of the newest change that has been dropped from it.
	history   []objectstore.Object
	compacted uint64
	frozen    *snapshot
}

// snapshot is the state that reads return: the current one, or an older one while
// the store is frozen.
type snapshot struct {
	version uint64
	objects map[objectstore.Key]objectstore.Object
}

// New returns an empty store; history 0 means DefaultHistory.
func New(history int) *Store {
	if history <= 0 {
		history = DefaultHistory
	}
	return &Store{historyLimit: history, objects: map[objectstore.Key]objectstore.Object{}}
}

// Version returns the version of the last change that reads show.
func (s *Store) Version() uint64 {
	return s.snapshot().version
}

// Freeze makes reads and watches keep showing the current state until they are
// unfrozen by Freeze(false); writes still take effect.
func (s *Store) Freeze(on bool) {
	switch {
	case !on:
		s.frozen = nil
	case s.frozen == nil:
		s.frozen = &snapshot{version: s.version, objects: maps.Clone(s.objects)}
	}
}

func (s *Store) snapshot() snapshot {
	if s.frozen != nil {
		return *s.frozen
	}
	return snapshot{version: s.version, objects: s.objects}
}

// Get returns an object or its tombstone, and whether there is one.
func (s *Store) Get(key objectstore.Key) (objectstore.Object, bool) {
	object, found := s.snapshot().objects[key]
	return object, found
}

// List returns the objects of a kind, or of all kinds if kind is empty, sorted by
// kind and name. It includes tombstones on request.
func (s *Store) List(kind string, tombstones bool) objectstore.ObjectList {
	visible := s.snapshot()
	list := objectstore.ObjectList{Version: visible.version, Objects: []objectstore.Object{}}
	for _, object := range visible.objects {
		if (kind == "" || object.Kind == kind) && (tombstones || !object.Deleted) {
			list.Objects = append(list.Objects, object)
		}
	}
	slices.SortFunc(list.Objects, func(one, other objectstore.Object) int {
		return cmp.Or(cmp.Compare(one.Kind, other.Kind), cmp.Compare(one.Name, other.Name))
	})
	return list
}

// Write stores the object if its current version is the expected one; otherwise
// it returns a conflict with the current object.
func (s *Store) Write(request objectstore.WriteRequest) (objectstore.Object, *objectstore.ConflictResponse) {
	current := s.objects[request.Object.Key()]
	if !versionMatches(current, request.ExpectedVersion) {
		return objectstore.Object{}, &objectstore.ConflictResponse{Current: current}
	}
	return s.commit(request.Object), nil
}

// versionMatches reports whether the object has the expected version; 0 expects no
// object or a tombstone.
func versionMatches(current objectstore.Object, expected uint64) bool {
	if expected == 0 {
		return current.Version == 0 || current.Deleted
	}
	return current.Version == expected
}

// Delete replaces the object with a tombstone if its current version is the
// expected one. found is false if the object has never existed.
func (s *Store) Delete(key objectstore.Key, expected uint64, changeID, changedBy string) (tombstone objectstore.Object, conflict *objectstore.ConflictResponse, found bool) {
	current, found := s.objects[key]
	if !found {
		return objectstore.Object{}, nil, false
	}
	if current.Deleted || current.Version != expected {
		return objectstore.Object{}, &objectstore.ConflictResponse{Current: current}, true
	}
	return s.commit(objectstore.Object{
		Kind:      key.Kind,
		Name:      key.Name,
		ChangeID:  changeID,
		ChangedBy: changedBy,
		Deleted:   true,
	}), nil, true
}

// commit stores the object under the next version and adds it to the history.
func (s *Store) commit(object objectstore.Object) objectstore.Object {
	s.version++
	object.Version = s.version
	s.objects[object.Key()] = object
	s.history = append(s.history, object)
	if excess := len(s.history) - s.historyLimit; excess > 0 {
		s.compacted = s.history[excess-1].Version
		s.history = slices.Delete(s.history, 0, excess)
	}
	return object
}

// Restore resets the store to an earlier version, as a restore from a backup
// does: later changes are lost and their versions are assigned again. It returns
// false and changes nothing if the history does not reach back to the first
// change, or if the version is later than the current one.
func (s *Store) Restore(version uint64) bool {
	if s.compacted > 0 || version > s.version {
		return false
	}
	kept := s.history[:version]
	s.version, s.history, s.frozen = version, slices.Clone(kept), nil
	s.objects = map[objectstore.Key]objectstore.Object{}
	for _, object := range kept {
		s.objects[object.Key()] = object
	}
	return true
}

// Changes returns the changes after a version, oldest first. It returns false if
// the history no longer holds all of them, or if the version is later than the
// store's.
func (s *Store) Changes(since uint64) ([]objectstore.WatchEvent, bool) {
	if since < s.compacted || since > s.version {
		return nil, false
	}
	visibleVersion := s.snapshot().version
	first, _ := slices.BinarySearchFunc(s.history, since+1, func(object objectstore.Object, version uint64) int {
		return cmp.Compare(object.Version, version)
	})
	var events []objectstore.WatchEvent
	for _, object := range s.history[first:] {
		if object.Version <= visibleVersion {
			events = append(events, objectstore.WatchEvent{Version: object.Version, Object: &object})
		}
	}
	return events, true
}
