// Package objects is the model of the platform's object API: versions,
// compare-and-set, tombstones and a bounded history for watches.
//
// Store is deterministic and holds no clock, lock or I/O; the HTTP driver and
// the simulator use the same one. It may import objectstore's wire types.
package objects

import (
	"cmp"
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// DefaultHistory is how many changes a Store keeps for watches.
const DefaultHistory = 10_000

// Store holds objects under one growing version.
type Store struct {
	limit   int
	version uint64
	objects map[objectstore.Key]objectstore.Object
	// history holds the last changes, oldest first; compacted is the version
	// of the newest change that is no longer in it.
	history   []objectstore.Object
	compacted uint64
	frozen    *view
}

// view is what reads show while they are stale.
type view struct {
	version uint64
	objects map[objectstore.Key]objectstore.Object
}

// New returns an empty store; history 0 means DefaultHistory.
func New(history int) *Store {
	if history <= 0 {
		history = DefaultHistory
	}
	return &Store{limit: history, objects: map[objectstore.Key]objectstore.Object{}}
}

// Version is the version of the last change, or the frozen one.
func (s *Store) Version() uint64 {
	return s.view().version
}

// Freeze lets reads and watches show the present state until it is taken back;
// writes go on.
func (s *Store) Freeze(on bool) {
	switch {
	case !on:
		s.frozen = nil
	case s.frozen == nil:
		s.frozen = &view{version: s.version, objects: maps.Clone(s.objects)}
	}
}

func (s *Store) view() view {
	if s.frozen != nil {
		return *s.frozen
	}
	return view{version: s.version, objects: s.objects}
}

// Get returns an object or its tombstone.
func (s *Store) Get(key objectstore.Key) (objectstore.Object, bool) {
	object, found := s.view().objects[key]
	return object, found
}

// List returns the objects of a kind, or of all kinds if it is empty, by kind
// and name.
func (s *Store) List(kind string, tombstones bool) objectstore.ObjectList {
	shown := s.view()
	list := objectstore.ObjectList{Version: shown.version, Objects: []objectstore.Object{}}
	for _, object := range shown.objects {
		if (kind == "" || object.Kind == kind) && (tombstones || !object.Deleted) {
			list.Objects = append(list.Objects, object)
		}
	}
	slices.SortFunc(list.Objects, func(one, other objectstore.Object) int {
		return cmp.Or(cmp.Compare(one.Kind, other.Kind), cmp.Compare(one.Name, other.Name))
	})
	return list
}

// Write stores the object if the expected version stands; otherwise the
// conflict holds what stands.
func (s *Store) Write(request objectstore.WriteRequest) (objectstore.Object, *objectstore.ConflictResponse) {
	current := s.objects[request.Object.Key()]
	if !matches(current, request.ExpectedVersion) {
		return objectstore.Object{}, &objectstore.ConflictResponse{Current: current}
	}
	return s.record(request.Object), nil
}

// matches reports whether the version is the expected one; 0 expects no
// object or a tombstone.
func matches(current objectstore.Object, expected uint64) bool {
	if expected == 0 {
		return current.Version == 0 || current.Deleted
	}
	return current.Version == expected
}

// Delete puts a tombstone in place of the object if the expected version
// stands. Found is false where there has never been an object.
func (s *Store) Delete(key objectstore.Key, expected uint64, changeID, changedBy string) (tombstone objectstore.Object, conflict *objectstore.ConflictResponse, found bool) {
	current, found := s.objects[key]
	if !found {
		return objectstore.Object{}, nil, false
	}
	if current.Deleted || current.Version != expected {
		return objectstore.Object{}, &objectstore.ConflictResponse{Current: current}, true
	}
	return s.record(objectstore.Object{
		Kind:      key.Kind,
		Name:      key.Name,
		ChangeID:  changeID,
		ChangedBy: changedBy,
		Deleted:   true,
	}), nil, true
}

func (s *Store) record(object objectstore.Object) objectstore.Object {
	s.version++
	object.Version = s.version
	s.objects[object.Key()] = object
	s.history = append(s.history, object)
	if excess := len(s.history) - s.limit; excess > 0 {
		s.compacted = s.history[excess-1].Version
		s.history = slices.Delete(s.history, 0, excess)
	}
	return object
}

// Restore sets the store back to an earlier version, as an operator does from
// a backup: later changes are lost, and their versions are given out again. It
// is false where the history does not reach back to the first change.
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

// Changes returns the changes after a version, oldest first. It is false where
// they can't all be told: too old, or newer than the store.
func (s *Store) Changes(since uint64) ([]objectstore.WatchEvent, bool) {
	if since < s.compacted || since > s.version {
		return nil, false
	}
	shown := s.view().version
	first, _ := slices.BinarySearchFunc(s.history, since+1, func(object objectstore.Object, version uint64) int {
		return cmp.Compare(object.Version, version)
	})
	var events []objectstore.WatchEvent
	for _, object := range s.history[first:] {
		if object.Version <= shown {
			events = append(events, objectstore.WatchEvent{Version: object.Version, Object: &object})
		}
	}
	return events, true
}
