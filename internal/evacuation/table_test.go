package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// TestTableFollowsWordsAndEvents in the order in which they come, and goes by their
// revisions.
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
		name string
		take func() []Change
		want []Change
		in   []string
	}{
		{"events before any list tell nothing", events(3, Event{Zone: "a"}), nil, nil},
		{"the first list", list(4, "b"), []Change{{Zone: "b", Kind: Begun, Position: storepos.At(0, 4)}}, []string{"b"}},
		{"the same one again", list(4), nil, []string{"b"}},
		{"an older one", list(3, "a"), nil, []string{"b"}},
		{"an evacuation is declared", events(5, Event{Zone: "a"}), []Change{{Zone: "a", Kind: Begun, Position: storepos.At(0, 5)}}, []string{"a", "b"}},
		{"older events change nothing", events(4, Event{Zone: "a", Ended: true}), nil, []string{"a", "b"}},
		{"taken back and set again in one moment", events(7, Event{Zone: "a", Ended: true}, Event{Zone: "a"}),
			[]Change{{Zone: "a", Kind: Renewed, Position: storepos.At(0, 7)}}, []string{"a", "b"}},
		{"set and taken back in one moment", events(9, Event{Zone: "c"}, Event{Zone: "c", Ended: true}), nil, []string{"a", "b"}},
		{"a list with others", list(10, "c", "a", "c", ""),
			[]Change{{Zone: "b", Kind: Ended, Position: storepos.At(0, 10)}, {Zone: "c", Kind: Begun, Position: storepos.At(0, 10)}}, []string{"a", "c"}},
		{"an event without a name", events(11, Event{}), nil, []string{"a", "c"}},
		{"a peer's old word", list(9, "b"), nil, []string{"a", "c"}},
		{"all end", list(12), []Change{{Zone: "a", Kind: Ended, Position: storepos.At(0, 12)}, {Zone: "c", Kind: Ended, Position: storepos.At(0, 12)}}, nil},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, step.take()); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
		if !slices.Equal(table.Zones(), step.in) {
			t.Errorf("%s: %q evacuated, want %q", step.name, table.Zones(), step.in)
		}
	}
}

// TestNothingIsKnownUntilSomebodyTells, also that no zone is evacuated.
func TestNothingIsKnownUntilSomebodyTells(t *testing.T) {
	table := New()
	if table.IsInitialized() {
		t.Error("a new table knows")
	}
	if changes := table.ApplyPeerSnapshot(begin, Snapshot{Position: storepos.At(0, 3)}); len(changes) != 0 || !table.IsInitialized() || table.Position().Revision != 3 {
		t.Errorf("changes %v, known %v, revision %d after an empty list", changes, table.IsInitialized(), table.Position().Revision)
	}
}

// TestEndIsRemembered until the zone is evacuated again: its servers may be cold.
func TestEndIsRemembered(t *testing.T) {
	table := New()
	table.ApplyPeerSnapshot(begin, Snapshot{Zones: []string{"a"}, Position: storepos.At(0, 1)})
	if _, ok := table.EndedAt("a"); ok {
		t.Error("an evacuation in force has ended")
	}
	table.ApplyEvents(begin.Add(time.Second), []Event{{Zone: "a", Ended: true}}, storepos.At(0, 2))
	if at, ok := table.EndedAt("a"); !ok || !at.Equal(begin.Add(time.Second)) {
		t.Errorf("ended at %v, %v", at, ok)
	}
	table.ApplyEvents(begin, []Event{{Zone: "a"}}, storepos.At(0, 3))
	if _, ok := table.EndedAt("a"); ok {
		t.Error("the end is remembered over the next evacuation")
	}
}

// TestUnknownZonesStayInForce and can be told apart.
func TestUnknownZonesStayInForce(t *testing.T) {
	table := New()
	table.ApplyPeerSnapshot(begin, Snapshot{Zones: []string{"a", "nowhere"}, Position: storepos.At(0, 1)})
	unknown := table.UnknownZones(func(zone string) bool { return zone == "a" })
	if !slices.Equal(unknown, []string{"nowhere"}) || !table.IsEvacuated("nowhere") {
		t.Errorf("unknown %q, in force %v", unknown, table.IsEvacuated("nowhere"))
	}
}

// TestDigestTellsListsApart whatever their revisions.
func TestDigestTellsListsApart(t *testing.T) {
	of := func(revision int64, zones ...string) uint64 {
		table := New()
		table.ApplyPeerSnapshot(begin, Snapshot{Zones: zones, Position: storepos.At(0, revision)})
		return table.Digest()
	}
	if of(1, "a", "b") != of(2, "b", "a") {
		t.Error("order or revision change the digest")
	}
	if of(1, "ab") == of(1, "a", "b") || of(1) == of(1, "a") {
		t.Error("different lists have one digest")
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

// between are the store's events from one revision to another.
func (h history) between(from, to int) []Event {
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

// TestTableIsAlwaysTheStoresOwnState draws lists, late words of peers and the events
// of watches that began earlier, in any order: after each, the table is what the
// store held at the highest revision heard.
func TestTableIsAlwaysTheStoresOwnState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := drawHistory(t)
		table := New()
		newest := -1
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			at := rapid.IntRange(0, len(states)-1).Draw(t, "at")
			if newest < 0 || rapid.Bool().Draw(t, "is list") {
				table.ApplyPeerSnapshot(begin, Snapshot{Zones: states[at], Position: storepos.At(0, int64(at))})
				newest = max(newest, at)
			} else {
				from := rapid.IntRange(0, min(at, newest)).Draw(t, "from")
				table.ApplyEvents(begin, states.between(from, at), storepos.At(0, int64(at)))
				newest = max(newest, at)
			}
			if got := table.Zones(); !slices.Equal(got, states[newest]) || table.Position().Revision != int64(newest) {
				t.Fatalf("%q as of %d, want %q as of %d", got, table.Position().Revision, states[newest], newest)
			}
		}
	})
}
