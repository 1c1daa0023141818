package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// An evacuation that was declared or taken back reverts by a copy of the store.
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
	late := func(era, revision int64, zones ...string) func(*Table, time.Time) {
		return func(table *Table, now time.Time) {
			table.ApplyStoreSnapshot(now, now.Add(-time.Hour), Snapshot{Zones: zones, Position: storepos.At(era, revision)})
		}
	}
	cases := map[string]struct {
		steps []func(*Table, time.Time)
		// want is what is in force at once, and settled what is after the time of rewriting.
		want, settled []string
	}{
		"declared, and lost":                    {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5)}, want: []string{"a"}},
		"declared, lost and written again":      {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), apply(newEra, 6, Event{Zone: "a"})}, want: []string{"a"}, settled: []string{"a"}},
		"declared, lost and in a later list":    {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra, 7, "a")}, want: []string{"a"}, settled: []string{"a"}},
		"declared, lost and missing later":      {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra, 7)}, want: []string{"a"}},
		"declared, and taken back in the era":   {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5, "a"), apply(newEra, 6, Event{Zone: "a", Ended: true})}},
		"taken back, and in the copy":           {steps: []func(*Table, time.Time){list(oldEra, 8, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true}), list(newEra, 5, "a")}, settled: []string{"a"}},
		"taken back, and again":                 {steps: []func(*Table, time.Time){list(oldEra, 8, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true}), list(newEra, 5, "a"), apply(newEra, 6, Event{Zone: "a", Ended: true})}},
		"taken back, and declared in the era":   {steps: []func(*Table, time.Time){list(oldEra, 8, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true}), list(newEra, 5, "a"), apply(newEra, 6, Event{Zone: "a"})}, want: []string{"a"}, settled: []string{"a"}},
		"an old list after one of the new era":  {steps: []func(*Table, time.Time){list(newEra, 5, "a"), late(oldEra, 9)}, want: []string{"a"}, settled: []string{"a"}},
		"old events after a list of the new":    {steps: []func(*Table, time.Time){list(newEra, 5, "a"), apply(oldEra, 9, Event{Zone: "a", Ended: true})}, want: []string{"a"}, settled: []string{"a"}},
		"a list asked for after a later era":    {steps: []func(*Table, time.Time){list(newEra, 5), func(table *Table, now time.Time) { list(oldEra, 9, "a")(table, now.Add(time.Second)) }}, want: []string{"a"}, settled: []string{"a"}},
		"two steps back, lost in both":          {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra+1, 4)}, want: []string{"a"}},
		"two steps back, written after the one": {steps: []func(*Table, time.Time){list(oldEra, 9, "a"), list(newEra, 5), list(newEra+1, 4, "a")}, want: []string{"a"}, settled: []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			for _, step := range c.steps {
				step(table, begin)
			}
			if got := table.Zones(); !slices.Equal(got, c.want) {
				t.Errorf("%q in force, want %q", got, c.want)
			}
			table.ExpireRollbackOverrides(begin.Add(storepos.RestoreRewriteTime + time.Second))
			if got := table.Zones(); !slices.Equal(got, c.settled) {
				t.Errorf("%q in force after the time of rewriting, want %q", got, c.settled)
			}
		})
	}
}

// What a node keeps over an era, as it missed that it had ended, is put in force at all others.
func TestKeptEvacuationIsNoWord(t *testing.T) {
	late, other, fresh := New(), New(), New()
	late.ApplyStoreSnapshot(begin, begin, Snapshot{Zones: []string{"a"}, Position: storepos.At(2, 51)})
	late.ApplyStoreSnapshot(begin, begin, Snapshot{Position: storepos.At(3, 72)})
	other.ApplyStoreSnapshot(begin, begin, Snapshot{Position: storepos.At(3, 71)})
	if other.ApplyPeerSnapshot(begin, late.SnapshotWithRetained(begin)); other.IsEvacuated("a") || !late.IsEvacuated("a") {
		t.Errorf("in force where it was kept: %v, at a peer: %v", late.IsEvacuated("a"), other.IsEvacuated("a"))
	}
	if late.Digest() != other.Digest() {
		t.Error("the same list of the store does not count as the same")
	}
	if fresh.ApplyPeerSnapshot(begin, late.SnapshotWithRetained(begin)); !fresh.IsEvacuated("a") {
		t.Error("who knows nothing does not hear of it")
	}
	if fresh.ExpireRollbackOverrides(begin.Add(storepos.RestoreRewriteTime)); fresh.IsEvacuated("a") {
		t.Error("it is kept for ever")
	}
}
