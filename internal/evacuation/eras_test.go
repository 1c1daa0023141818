package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestEvacuationsOutliveRollback checks that restoring the store from an older copy does not undo
// an evacuation, or the end of one, before the store is written again or the rewrite time has
// passed.
func TestEvacuationsOutliveRollback(t *testing.T) {
	const oldEra, newEra = storepos.FirstEra, storepos.FirstEra + 1
	list := func(era, revision int64, zones ...string) func(*Table, time.Time) {
		return func(table *Table, now time.Time) {
			table.ApplyStoreSnapshot(now, now, Snapshot{Zones: zones, Position: storepos.At(era, revision)})
		}
	}
	apply := func(era, revision int64, events ...Event) func(*Table, time.Time) {
		return func(table *Table, now time.Time) { table.ApplyEvents(now, events, storepos.At(era, revision)) }
	}
	staleList := func(era, revision int64, zones ...string) func(*Table, time.Time) {
		return func(table *Table, now time.Time) {
			table.ApplyStoreSnapshot(now, now.Add(-time.Hour), Snapshot{Zones: zones, Position: storepos.At(era, revision)})
		}
	}
	cases := map[string]struct {
		steps []func(*Table, time.Time)
		// want is the set of evacuated zones right after the steps, afterExpiry the set after the
		// rewrite time.
		want, afterExpiry []string
	}{
		"begun, and lost":                        {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5)}, want: []string{"a"}},
		"begun, lost and written again":          {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), apply(newEra, 6, Event{Zone: "a"})}, want: []string{"a"}, afterExpiry: []string{"a"}},
		"begun, lost and in a later list":        {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra, 7, "a")}, want: []string{"a"}, afterExpiry: []string{"a"}},
		"begun, lost and missing later":          {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra, 7)}, want: []string{"a"}},
		"begun, and ended in the new era":        {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5, "a"), apply(newEra, 6, Event{Zone: "a", Ended: true})}},
		"ended, and in the older copy":           {steps: []func(*Table, time.Time){list(oldEra, 8, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true}), list(newEra, 5, "a")}, afterExpiry: []string{"a"}},
		"ended, and ended again":                 {steps: []func(*Table, time.Time){list(oldEra, 8, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true}), list(newEra, 5, "a"), apply(newEra, 6, Event{Zone: "a", Ended: true})}},
		"ended, and begun in the new era":        {steps: []func(*Table, time.Time){list(oldEra, 8, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true}), list(newEra, 5, "a"), apply(newEra, 6, Event{Zone: "a"})}, want: []string{"a"}, afterExpiry: []string{"a"}},
		"old list after one of the new era":      {steps: []func(*Table, time.Time){list(newEra, 5, "a"), staleList(oldEra, 9)}, want: []string{"a"}, afterExpiry: []string{"a"}},
		"old events after a list of the new era": {steps: []func(*Table, time.Time){list(newEra, 5, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true})}, want: []string{"a"}, afterExpiry: []string{"a"}},
		"list requested after a later era":       {steps: []func(*Table, time.Time){list(newEra, 5), func(table *Table, now time.Time) { list(oldEra, 9, "a")(table, now.Add(time.Second)) }}, want: []string{"a"}, afterExpiry: []string{"a"}},
		"two rollbacks, lost in both":            {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra+1, 4)}, want: []string{"a"}},
		"two rollbacks, written after the first": {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra+1, 4, "a")}, want: []string{"a"}, afterExpiry: []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			for _, step := range c.steps {
				step(table, begin)
			}
			if got := table.Zones(); !slices.Equal(got, c.want) {
				t.Errorf("%q evacuated, want %q", got, c.want)
			}
			table.ExpireRollbackOverrides(begin.Add(storepos.RestoreRewriteTime + time.Second))
			if got := table.Zones(); !slices.Equal(got, c.afterExpiry) {
				t.Errorf("%q evacuated after the rewrite time, want %q", got, c.afterExpiry)
			}
		})
	}
}

// TestKeptEvacuationIsNoWord checks that a zone that a node retains over an era change, because
// it missed the end of its evacuation, is not evacuated on nodes that know better.
func TestKeptEvacuationIsNoWord(t *testing.T) {
	laggard, other, fresh := New(), New(), New()
	laggard.ApplyStoreSnapshot(begin, begin, Snapshot{Zones: []string{"a"}, Position: storepos.At(2, 51)})
	laggard.ApplyStoreSnapshot(begin, begin, Snapshot{Position: storepos.At(3, 72)})
	other.ApplyStoreSnapshot(begin, begin, Snapshot{Position: storepos.At(3, 71)})
	if other.ApplyPeerSnapshot(begin, laggard.SnapshotWithRetained(begin)); other.IsEvacuated("a") || !laggard.IsEvacuated("a") {
		t.Errorf("evacuated where it is retained: %v, at a peer: %v", laggard.IsEvacuated("a"), other.IsEvacuated("a"))
	}
	if laggard.Digest() != other.Digest() {
		t.Error("the same list of the store has different digests")
	}
	if fresh.ApplyPeerSnapshot(begin, laggard.SnapshotWithRetained(begin)); !fresh.IsEvacuated("a") {
		t.Error("an uninitialized table did not apply the retained zone")
	}
	if fresh.ExpireRollbackOverrides(begin.Add(storepos.RestoreRewriteTime)); fresh.IsEvacuated("a") {
		t.Error("the retained zone did not expire")
	}
}
