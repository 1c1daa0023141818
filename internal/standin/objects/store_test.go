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
		{"the version that stands", 1, false, true},
		{"none, but an object stands", 0, false, false},
		{"a later version", 2, false, false},
		{"none, and a tombstone stands", 0, true, true},
		{"the tombstone", 2, true, true},
		{"the version before the tombstone", 1, true, false},
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
				t.Fatalf("conflict %v", conflict)
			}
			after, _ := store.Get(alarm)
			if test.want && (after.ChangeID != "second" || after.Version != written.Version || written.Version <= before.Version) {
				t.Errorf("written %+v, stands %+v", written, after)
			}
			if !test.want && (!cmp.Equal(before, after) || !cmp.Equal(conflict.Current, before)) {
				t.Errorf("conflict %+v, stands %+v, before %+v", conflict, after, before)
			}
		})
	}
}

func TestDeleteLeavesATombstoneThatIsListedOnRequest(t *testing.T) {
	store := New(0)
	write(store, alarm, 0, "first")
	if _, conflict, _ := store.Delete(alarm, 7, "wrong", ""); conflict == nil {
		t.Error("a delete of another version took effect")
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
		t.Errorf("shown %+v, events %v", shown, events)
	}
	store.Freeze(false)
	if events, _ := store.Changes(1); len(events) != 1 || events[0].Object.ChangeID != "second" {
		t.Errorf("after the freeze: %v", events)
	}
}

func TestRestoreLosesLaterChangesAndGivesTheirVersionsOutAgain(t *testing.T) {
	store := New(0)
	write(store, alarm, 0, "first")
	write(store, alarm, 1, "second")
	write(store, objectstore.Key{Kind: "Model", Name: "report"}, 0, "third")
	if !store.Restore(1) {
		t.Fatal("not restored")
	}
	want := objectstore.ObjectList{Version: 1, Objects: []objectstore.Object{
		{Kind: "Model", Name: "alarm", Version: 1, ChangeID: "first"},
	}}
	if diff := cmp.Diff(want, store.List("", true)); diff != "" {
		t.Error(diff)
	}
	if events, ok := store.Changes(1); !ok || len(events) != 0 {
		t.Errorf("lost changes are told: %v", events)
	}
	if _, ok := store.Changes(3); ok {
		t.Error("a watch from a lost version goes on")
	}
	if written, conflict := write(store, alarm, 1, "fourth"); conflict != nil || written.Version != 2 {
		t.Errorf("written %+v, conflict %v", written, conflict)
	}
	if events, _ := store.Changes(1); len(events) != 1 || events[0].Object.ChangeID != "fourth" {
		t.Errorf("a watch is told lost changes: %v", events)
	}
	compacted := New(1)
	write(compacted, alarm, 0, "first")
	write(compacted, alarm, 1, "second")
	if compacted.Restore(1) {
		t.Error("restored from a history that does not reach back")
	}
}

// A reader that follows the changes has what a list shows, at every version.
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
				t.Fatalf("version fell from %d to %d", before, store.Version())
			}
			if rapid.Bool().Draw(t, "read") {
				reached = follow(t, store, known, reached)
			}
		}
		follow(t, store, known, reached)
		for _, object := range store.List("", true).Objects {
			if !cmp.Equal(known[object.Key()], object) {
				t.Fatalf("watched %+v, listed %+v", known[object.Key()], object)
			}
		}
	})
}

func follow(t *rapid.T, store *Store, known map[objectstore.Key]objectstore.Object, reached uint64) uint64 {
	events, ok := store.Changes(reached)
	if !ok {
		list := store.List("", true)
		for _, object := range list.Objects {
			known[object.Key()] = object
		}
		return list.Version
	}
	for _, event := range events {
		if event.Version <= reached {
			t.Fatalf("event %d after %d", event.Version, reached)
		}
		reached = event.Version
		known[event.Object.Key()] = *event.Object
	}
	return reached
}
