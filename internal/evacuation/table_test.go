package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/storepos"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// TestTableFollowsWordsAndEvents checks that snapshots and events are applied in the order of
// their revisions.
func TestTableFollowsWordsAndEvents(t *testing.T) {
	table := New()
	list := func(revision int64, zones ...string) func() []Change {
		return func() []Change {
			return table.ApplyPeerSnapshot(begin, Snapshot{Zones: zones, Position: storepos.At(0, revision)})
		}
	}
	events := func(revision int64, events ...Event) func() []Change {
		return func() []Change { return table.ApplyEvents(begin, events, storepos.At(0, revision)) }
	}
	steps := []struct {
		name      string
		apply     func() []Change
		want      []Change
		evacuated []string
	}{
		{"events before the first list are ignored", events(3, Event{Zone: "a"}), nil, nil},
		{"first list", list(4, "b"), []Change{{Zone: "b", Kind: Begun, Position: storepos.At(0, 4)}}, []string{"b"}},
		{"list of the same revision", list(4), nil, []string{"b"}},
		{"older list", list(3, "a"), nil, []string{"b"}},
		{"evacuation begins", events(5, Event{Zone: "a"}), []Change{{Zone: "a", Kind: Begun, Position: storepos.At(0, 5)}}, []string{"a", "b"}},
		{"older events", events(4, Event{Zone: "a", Ended: true}), nil, []string{"a", "b"}},
		{"ends and begins in one update", events(7, Event{Zone: "a", Ended: true}, Event{Zone: "a"}),
			[]Change{{Zone: "a", Kind: Renewed, Position: storepos.At(0, 7)}}, []string{"a", "b"}},
		{"begins and ends in one update", events(9, Event{Zone: "c"}, Event{Zone: "c", Ended: true}), nil, []string{"a", "b"}},
		{"list with other zones", list(10, "c", "a", "c", ""),
			[]Change{{Zone: "b", Kind: Ended, Position: storepos.At(0, 10)}, {Zone: "c", Kind: Begun, Position: storepos.At(0, 10)}}, []string{"a", "c"}},
		{"event without a zone", events(11, Event{}), nil, []string{"a", "c"}},
		{"old list of a peer", list(9, "b"), nil, []string{"a", "c"}},
		{"empty list ends all", list(12), []Change{{Zone: "a", Kind: Ended, Position: storepos.At(0, 12)}, {Zone: "c", Kind: Ended, Position: storepos.At(0, 12)}}, nil},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, step.apply()); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
		if !slices.Equal(table.Zones(), step.evacuated) {
			t.Errorf("%s: %q evacuated, want %q", step.name, table.Zones(), step.evacuated)
		}
	}
}

// TestNothingIsKnownUntilSomebodyTells checks that a table is initialized by the first snapshot,
// even an empty one.
func TestNothingIsKnownUntilSomebodyTells(t *testing.T) {
	table := New()
	if table.IsInitialized() {
		t.Error("a new table is initialized")
	}
	if changes := table.ApplyPeerSnapshot(begin, Snapshot{Position: storepos.At(0, 3)}); len(changes) != 0 || !table.IsInitialized() || table.Position().Revision != 3 {
		t.Errorf("changes %v, initialized %v, revision %d after an empty list", changes, table.IsInitialized(), table.Position().Revision)
	}
}

// TestEndIsRemembered checks that the end of an evacuation is remembered until the zone is
// evacuated again, since its servers may be cold.
func TestEndIsRemembered(t *testing.T) {
	table := New()
	table.ApplyPeerSnapshot(begin, Snapshot{Zones: []string{"a"}, Position: storepos.At(0, 1)})
	if _, ok := table.EndedAt("a"); ok {
		t.Error("a current evacuation has an end time")
	}
	table.ApplyEvents(begin.Add(time.Second), []Event{{Zone: "a", Ended: true}}, storepos.At(0, 2))
	if at, ok := table.EndedAt("a"); !ok || !at.Equal(begin.Add(time.Second)) {
		t.Errorf("ended at %v, %v", at, ok)
	}
	table.ApplyEvents(begin, []Event{{Zone: "a"}}, storepos.At(0, 3))
	if _, ok := table.EndedAt("a"); ok {
		t.Error("the end is still remembered after the next evacuation began")
	}
}

// TestUnknownZonesStayInForce checks that unknown zones stay evacuated and are reported.
func TestUnknownZonesStayInForce(t *testing.T) {
	table := New()
	table.ApplyPeerSnapshot(begin, Snapshot{Zones: []string{"a", "nowhere"}, Position: storepos.At(0, 1)})
	unknown := table.UnknownZones(func(zone string) bool { return zone == "a" })
	if !slices.Equal(unknown, []string{"nowhere"}) || !table.IsEvacuated("nowhere") {
		t.Errorf("unknown %q, evacuated %v", unknown, table.IsEvacuated("nowhere"))
	}
}

// TestDigestTellsListsApart checks that the digest depends on the set of zones only, not on order
// or revision.
func TestDigestTellsListsApart(t *testing.T) {
	digest := func(revision int64, zones ...string) uint64 {
		table := New()
		table.ApplyPeerSnapshot(begin, Snapshot{Zones: zones, Position: storepos.At(0, revision)})
		return table.Digest()
	}
	if digest(1, "a", "b") != digest(2, "b", "a") {
		t.Error("order or revision changed the digest")
	}
	if digest(1, "ab") == digest(1, "a", "b") || digest(1) == digest(1, "a") {
		t.Error("different lists have the same digest")
	}
}

// history is the list of evacuated zones as of each revision of a store.
type history [][]string

func drawHistory(t *rapid.T) history {
	zones := []string{"a", "b", "c"}
	states := history{nil}
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		zone := rapid.SampledFrom(zones).Draw(t, "zone")
		before := states[len(states)-1]
		after := slices.DeleteFunc(slices.Clone(before), func(other string) bool { return other == zone })
		if len(after) == len(before) {
			after = append(after, zone)
		}
		slices.Sort(after)
		states = append(states, after)
	}
	return states
}

// eventsBetween returns the store's events between two revisions.
func (h history) eventsBetween(from, to int) []Event {
	var events []Event
	for revision := from + 1; revision <= to; revision++ {
		for _, zone := range h[revision] {
			if !slices.Contains(h[revision-1], zone) {
				events = append(events, Event{Zone: zone})
			}
		}
		for _, zone := range h[revision-1] {
			if !slices.Contains(h[revision], zone) {
				events = append(events, Event{Zone: zone, Ended: true})
			}
		}
	}
	return events
}

// TestTableIsAlwaysTheStoresOwnState applies random snapshots, late snapshots of peers and the
// events of watches that began earlier, in any order. After each, the table must equal the state
// of the store at the highest revision applied.
func TestTableIsAlwaysTheStoresOwnState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := drawHistory(t)
		table := New()
		newestRevision := -1
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			at := rapid.IntRange(0, len(states)-1).Draw(t, "at")
			if newestRevision < 0 || rapid.Bool().Draw(t, "is list") {
				table.ApplyPeerSnapshot(begin, Snapshot{Zones: states[at], Position: storepos.At(0, int64(at))})
				newestRevision = max(newestRevision, at)
			} else {
				from := rapid.IntRange(0, min(at, newestRevision)).Draw(t, "from")
				table.ApplyEvents(begin, states.eventsBetween(from, at), storepos.At(0, int64(at)))
				newestRevision = max(newestRevision, at)
			}
			if got := table.Zones(); !slices.Equal(got, states[newestRevision]) || table.Position().Revision != int64(newestRevision) {
				t.Fatalf("%q at revision %d, want %q at revision %d", got, table.Position().Revision, states[newestRevision], newestRevision)
			}
		}
	})
}
