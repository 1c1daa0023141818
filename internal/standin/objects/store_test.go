package objects

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

var alarm = objectstore.Key{Kind: "Model", Name: "alarm"}

func write(store *Store, key objectstore.Key, expected uint64, changeID string) (objectstore.Object, *objectstore.ConflictResponse) {
	object := objectstore.Object{Kind: key.Kind, Name: key.Name, ChangeID: changeID}
	return store.Write(objectstore.WriteRequest{Object: object, ExpectedVersion: expected})
}

func TestWriteTakesEffectOnlyAtTheExpectedVersion(t *testing.T) {
	cases := []struct {
		name     string
		expected uint64
		deleted  bool
		want     bool
	}{
		{"current version", 1, false, true},
		{"no object, but one exists", 0, false, false},
		{"later version", 2, false, false},
		{"no object, and it is deleted", 0, true, true},
		{"version of the tombstone", 2, true, true},
		{"version before the tombstone", 1, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := New(0)
			write(store, alarm, 0, "first")
			if test.deleted {
				store.Delete(alarm, 1, "gone", "")
			}
			before, _ := store.Get(alarm)
			written, conflict := write(store, alarm, test.expected, "second")
			if (conflict == nil) != test.want {
				t.Fatalf("unexpected outcome of the write: conflict %v", conflict)
			}
			after, _ := store.Get(alarm)
			if test.want && (after.ChangeID != "second" || after.Version != written.Version || written.Version <= before.Version) {
				t.Errorf("written %+v, stored %+v", written, after)
			}
			if !test.want && (!cmp.Equal(before, after) || !cmp.Equal(conflict.Current, before)) {
				t.Errorf("conflict %+v, stored %+v, before the write %+v", conflict, after, before)
			}
		})
	}
}

func TestDeleteLeavesATombstoneThatIsListedOnRequest(t *testing.T) {
	store := New(0)
	write(store, alarm, 0, "first")
	if _, conflict, _ := store.Delete(alarm, 7, "wrong", ""); conflict == nil {
		t.Error("a delete with a version other than the current one took effect")
	}
	tombstone, conflict, found := store.Delete(alarm, 1, "gone", "operator")
	if conflict != nil || !found || !tombstone.Deleted || tombstone.Version != 2 {
		t.Fatalf("tombstone %+v, conflict %v, found %v", tombstone, conflict, found)
	}
	if _, conflict, _ := store.Delete(alarm, 2, "again", ""); conflict == nil {
		t.Error("a tombstone was deleted")
	}
	if list := store.List("Model", false); len(list.Objects) != 0 || list.Version != 2 {
		t.Errorf("list %+v", list)
	}
	want := []objectstore.Object{{Kind: "Model", Name: "alarm", Version: 2, ChangeID: "gone", ChangedBy: "operator", Deleted: true}}
	if diff := cmp.Diff(want, store.List("Model", true).Objects); diff != "" {
		t.Error(diff)
	}
}

func TestChangesAreRefusedWhereHistoryDoesNotReach(t *testing.T) {
	store := New(2)
	for version := range uint64(4) {
		write(store, alarm, version, "")
	}
	for since, want := range []bool{false, false, true, true, true, false} {
		if events, ok := store.Changes(uint64(since)); ok != want || (ok && len(events) != 4-since) {
			t.Errorf("since %d: %d events, ok %v", since, len(events), ok)
		}
	}
}

func TestFrozenReadsShowTheOldStateWhileWritesGoOn(t *testing.T) {
	store := New(0)
	write(store, alarm, 0, "first")
	store.Freeze(true)
	if _, conflict := write(store, alarm, 1, "second"); conflict != nil {
		t.Fatalf("conflict %+v", conflict)
	}
	shown, _ := store.Get(alarm)
	events, _ := store.Changes(1)
	if shown.ChangeID != "first" || store.List("", false).Version != 1 || len(events) != 0 {
		t.Errorf("frozen reads return %+v and events %v, want the first change and no events", shown, events)
	}
	store.Freeze(false)
	if events, _ := store.Changes(1); len(events) != 1 || events[0].Object.ChangeID != "second" {
		t.Errorf("events after the freeze: %v, want only the second change", events)
	}
}

func TestRestoreLosesLaterChangesAndGivesTheirVersionsOutAgain(t *testing.T) {
	store := New(0)
	write(store, alarm, 0, "first")
	write(store, alarm, 1, "second")
	write(store, objectstore.Key{Kind: "Model", Name: "report"}, 0, "third")
	if !store.Restore(1) {
		t.Fatal("the restore was refused")
	}
	want := objectstore.ObjectList{Version: 1, Objects: []objectstore.Object{
		{Kind: "Model", Name: "alarm", Version: 1, ChangeID: "first"},
	}}
	if diff := cmp.Diff(want, store.List("", true)); diff != "" {
		t.Error(diff)
	}
	if events, ok := store.Changes(1); !ok || len(events) != 0 {
		t.Errorf("the history still holds lost changes: %v", events)
	}
	if _, ok := store.Changes(3); ok {
		t.Error("a watch from a lost version was not refused")
	}
	if written, conflict := write(store, alarm, 1, "fourth"); conflict != nil || written.Version != 2 {
		t.Errorf("written %+v, conflict %v", written, conflict)
	}
	if events, _ := store.Changes(1); len(events) != 1 || events[0].Object.ChangeID != "fourth" {
		t.Errorf("events after the restored version: %v, want only the fourth change", events)
	}
	compacted := New(1)
	write(compacted, alarm, 0, "first")
	write(compacted, alarm, 1, "second")
	if compacted.Restore(1) {
		t.Error("a restore succeeded although the history does not reach back to the first change")
	}
}

// A client that lists when its version is refused and otherwise applies the
// changes ends up with the same objects as a list.
func TestWatchAgreesWithList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New(rapid.IntRange(1, 8).Draw(t, "history"))
		known := map[objectstore.Key]objectstore.Object{}
		reached := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := objectstore.Key{Kind: "Model", Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")}
			expected := rapid.Uint64Range(0, store.Version()).Draw(t, "expected")
			if rapid.Bool().Draw(t, "exact") {
				current, _ := store.Get(key)
				expected = current.Version
			}
			before := store.Version()
			if rapid.Bool().Draw(t, "delete") {
				store.Delete(key, expected, "", "")
			} else {
				write(store, key, expected, "")
			}
			if store.Version() < before {
				t.Fatalf("version decreased from %d to %d", before, store.Version())
			}
			if rapid.Bool().Draw(t, "read") {
				reached = applyChanges(t, store, known, reached)
			}
		}
		applyChanges(t, store, known, reached)
		for _, object := range store.List("", true).Objects {
			if !cmp.Equal(known[object.Key()], object) {
				t.Fatalf("watched %+v, listed %+v", known[object.Key()], object)
			}
		}
	})
}

func applyChanges(t *rapid.T, store *Store, cache map[objectstore.Key]objectstore.Object, version uint64) uint64 {
	events, ok := store.Changes(version)
	if !ok {
		list := store.List("", true)
		for _, object := range list.Objects {
			cache[object.Key()] = object
		}
		return list.Version
	}
	for _, event := range events {
		if event.Version <= version {
			t.Fatalf("event %d after %d", event.Version, version)
		}
		version = event.Version
		cache[event.Object.Key()] = *event.Object
	}
	return version
}
