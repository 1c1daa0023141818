package inventory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

var begin = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func TestTableFollowsListsAndEvents(t *testing.T) {
	table := NewTable()
	table.Replace(begin, begin, []Server{{ID: "a", Position: storepos.At(0, 2)}, {ID: "b", Position: storepos.At(0, 3)}}, storepos.At(0, 5))
	steps := []struct {
		name     string
		events   []Change
		revision int64
		want     []Change
	}{
		{"an older entry is left out", []Change{{Server: Server{ID: "a", Position: storepos.At(0, 1)}}}, 6, nil},
		{"a newer one is taken", []Change{{Server: Server{ID: "a", Position: storepos.At(0, 7), Draining: true}}}, 7,
			[]Change{{Server: Server{ID: "a", Position: storepos.At(0, 7), Draining: true}}}},
		{"a server goes", []Change{{Server: Server{ID: "b"}, Gone: true}}, 8, []Change{{Server: Server{ID: "b", Position: storepos.At(0, 3)}, Gone: true}}},
		{"one that is not there goes", []Change{{Server: Server{ID: "c"}, Gone: true}}, 9, nil},
		{"older news change nothing", []Change{{Server: Server{ID: "d", Position: storepos.At(0, 8)}}}, 8, nil},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, table.Apply(step.events, storepos.At(0, step.revision))); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
	}
	if got := table.Replace(begin, begin, []Server{{ID: "z", Position: storepos.At(0, 4)}}, storepos.At(0, 4)); got != nil {
		t.Errorf("a list older than the table changed %v", got)
	}
}

func TestDigestTellsStatesApart(t *testing.T) {
	one, other := NewTable(), NewTable()
	one.Replace(begin, begin, []Server{{ID: "a", Position: storepos.At(0, 1)}, {ID: "b", Position: storepos.At(0, 2)}}, storepos.At(0, 3))
	other.Replace(begin, begin, []Server{{ID: "b", Position: storepos.At(0, 2)}, {ID: "a", Position: storepos.At(0, 1), Models: []HeldModel{{Name: "m"}}}}, storepos.At(0, 9))
	if one.Digest() != other.Digest() {
		t.Error("models or order change the digest")
	}
	other.Apply([]Change{{Server: Server{ID: "a", Position: storepos.At(0, 10), Draining: true}}}, storepos.At(0, 10))
	if one.Digest() == other.Digest() {
		t.Error("draining does not change the digest")
	}
}

func TestNotesRunAheadOfTheStore(t *testing.T) {
	table := NewTable()
	table.Replace(begin, begin, []Server{{ID: "a", Service: "s", Position: storepos.At(0, 2)}, {ID: "b", Position: storepos.At(0, 3)}}, storepos.At(0, 5))
	draining := Server{ID: "a", Service: "s", Position: storepos.At(0, 7), Draining: true}
	steps := []struct {
		name string
		take func() []Change
		want []Change
	}{
		{"what the table covers is no note", func() []Change {
			return table.ApplyAnnouncement(Server{ID: "b", Position: storepos.At(0, 5), Draining: true})
		}, nil},
		{"a server leaves", func() []Change {
			return table.ApplyAnnouncement(Server{ID: "a", Position: storepos.At(0, 7), Draining: true, Announced: true})
		},
			[]Change{{Server: draining}}},
		{"an entry from before does not bring it back", func() []Change {
			return table.Apply([]Change{{Server: Server{ID: "a", Position: storepos.At(0, 6)}}}, storepos.At(0, 6))
		}, nil},
		{"one that is not known yet leaves", func() []Change { return table.ApplyAnnouncement(going("x", 8)) }, []Change{{Server: going("x", 8)}}},
		{"its entry comes late", func() []Change {
			return table.Apply([]Change{{Server: Server{ID: "x", Position: storepos.At(0, 7)}}}, storepos.At(0, 7))
		}, nil},
		{"a server comes", func() []Change {
			return table.ApplyAnnouncement(Server{ID: "n", Position: storepos.At(0, 9), Announced: true})
		},
			[]Change{{Server: Server{ID: "n", Position: storepos.At(0, 9), Announced: true}}}},
		{"its entry says more", func() []Change {
			return table.Apply([]Change{{Server: Server{ID: "n", Position: storepos.At(0, 9), Models: []HeldModel{{Name: "m"}}}}}, storepos.At(0, 9))
		}, []Change{{Server: Server{ID: "n", Position: storepos.At(0, 9), Models: []HeldModel{{Name: "m"}}}}}},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, step.take()); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
	}
	if table.Position().Revision != 9 {
		t.Errorf("revision %d, want 9: notes do not complete the table", table.Position().Revision)
	}
	for id, want := range map[string]bool{"a": false, "b": true, "x": false, "n": true, "none": false} {
		if table.IsAvailable(id) != want {
			t.Errorf("%s takes work: %v, want %v", id, !want, want)
		}
	}
}

func going(id string, revision int64) Server {
	return Server{ID: id, Draining: true, Position: storepos.At(0, revision), Announced: true}
}

// TestStoreRefutesPeers: a list of the store, in which a server takes work, did not
// end a peer's word from before it that the server goes.
func TestStoreRefutesPeers(t *testing.T) {
	listed := Server{ID: "a", Service: "s", Position: storepos.At(0, 8)}
	newTable := func() *Table {
		table := NewTable()
		table.Replace(begin, begin, []Server{{ID: "a", Service: "s", Position: storepos.At(0, 2)}}, storepos.At(0, 5))
		table.ApplyAnnouncement(going("a", 9))
		return table
	}
	answers := []struct {
		name string
		take func(table *Table, revision int64)
	}{
		{"list", func(table *Table, revision int64) {
			table.Replace(begin, begin, []Server{listed}, storepos.At(0, revision))
		}},
		{"watch", func(table *Table, revision int64) {
			table.Apply([]Change{{Server: listed}}, storepos.At(0, revision))
		}},
	}
	for _, answer := range answers {
		for revision, want := range map[int64]bool{8: false, 9: true, 12: true} {
			table := newTable()
			answer.take(table, revision)
			if table.IsAvailable("a") != want {
				t.Errorf("%s as of %d: takes work %v, want %v", answer.name, revision, !want, want)
			}
			if want && table.IsNewer("a", storepos.At(0, revision)) {
				t.Errorf("%s as of %d: an older word counts again", answer.name, revision)
			}
		}
	}
}

// TestPeersListRefutesNothing: the peer may hold back an entry that is gone.
func TestPeersListRefutesNothing(t *testing.T) {
	table := NewTable()
	table.Replace(begin, begin, []Server{{ID: "a", Position: storepos.At(0, 2)}}, storepos.At(0, 5))
	table.ApplyAnnouncement(going("a", 9))
	table.ReplaceByPeer(begin, []Server{{ID: "a", Position: storepos.At(0, 2)}}, storepos.At(0, 12))
	if table.IsAvailable("a") {
		t.Error("a peer's list brings a server back whose entry it may hold back")
	}
	table.ReplaceByPeer(begin, []Server{{ID: "a", Position: storepos.At(0, 13)}}, storepos.At(0, 14))
	if !table.IsAvailable("a") {
		t.Error("a peer's newer entry does not bring the server back")
	}
}

// TestLastEventOfEachServerCounts in what an answer tells at once.
func TestLastEventOfEachServerCounts(t *testing.T) {
	table := NewTable()
	table.Replace(begin, begin, []Server{{ID: "a", Position: storepos.At(0, 2)}, {ID: "b", Position: storepos.At(0, 3)}}, storepos.At(0, 5))
	back := Server{ID: "a", Position: storepos.At(0, 8)}
	events := []Change{
		{Server: Server{ID: "a"}, Gone: true}, {Server: Server{ID: "b", Position: storepos.At(0, 7), Draining: true}},
		{Server: back}, {Server: Server{ID: "b"}, Gone: true}, {Server: Server{ID: "c", Position: storepos.At(0, 9)}}, {Server: Server{ID: "c"}, Gone: true},
	}
	want := []Change{{Server: back}, {Server: Server{ID: "b", Position: storepos.At(0, 3)}, Gone: true}}
	if diff := cmp.Diff(want, table.Apply(events, storepos.At(0, 9))); diff != "" {
		t.Error(diff)
	}
}

// TestEntryThatCannotBeRead: it takes a known server out of use until one that can be read comes;
// one of a server that nobody knows names none, and the others of a list hold.
func TestEntryThatCannotBeRead(t *testing.T) {
	sound := Server{ID: "a", Service: "s", Address: "1.2.3.4:5", Position: storepos.At(0, 2)}
	unreadable := Server{ID: "a", Position: storepos.At(0, 5), Unreadable: true}
	out := sound
	out.Draining, out.Position = true, storepos.At(0, 5)
	back := sound
	back.Position = storepos.At(0, 9)
	for name, tell := range map[string]func(table *Table, server Server, revision int64) []Change{
		"watch": func(table *Table, server Server, revision int64) []Change {
			return table.Apply([]Change{{Server: server}, {Server: Server{ID: "x", Position: storepos.At(0, revision), Unreadable: true}}}, storepos.At(0, revision))
		},
		"list": func(table *Table, server Server, revision int64) []Change {
			return table.Replace(begin, begin, []Server{server, {ID: "x", Position: storepos.At(0, revision), Unreadable: true}}, storepos.At(0, revision))
		},
	} {
		table := NewTable()
		table.Replace(begin, begin, []Server{sound}, storepos.At(0, 3))
		if diff := cmp.Diff([]Change{{Server: out}}, tell(table, unreadable, 5)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if again := tell(table, unreadable, 6); again != nil || table.IsAvailable("a") || table.IsAvailable("x") {
			t.Errorf("%s: the same once more is news: %v", name, again)
		}
		if diff := cmp.Diff([]Change{{Server: back}}, tell(table, back, 9)); diff != "" || !table.IsAvailable("a") {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestStartThatIsNotTold: peers of builds that do not tell it mean the start that is known, and
// nothing that it told is forgotten by that; where the store told it once, an entry without it is
// another writer's.
func TestStartThatIsNotTold(t *testing.T) {
	known := Server{ID: "a", StartedAtMs: 7, Service: "s", Address: "1.2.3.4:5", Position: storepos.At(0, 2)}
	newer := known
	newer.StartedAtMs, newer.Position = 0, storepos.At(0, 5)
	want := newer
	want.StartedAtMs = 7
	for name, tell := range map[string]func(table *Table) []Change{
		"a list": func(table *Table) []Change { return table.ReplaceByPeer(begin, []Server{newer}, storepos.At(0, 5)) },
		"news":   func(table *Table) []Change { return table.ApplyAnnouncement(newer) },
	} {
		table := NewTable()
		table.Replace(begin, begin, []Server{known}, storepos.At(0, 3))
		if diff := cmp.Diff([]Change{{Server: want}}, tell(table)); diff != "" {
			t.Errorf("%s of a peer: %s", name, diff)
		}
	}
	table := NewTable()
	table.Replace(begin, begin, []Server{known}, storepos.At(0, 3))
	if changes := table.Apply([]Change{{Server: newer}}, storepos.At(0, 5)); len(changes) != 1 || !changes[0].Server.Draining || changes[0].Server.StartedAtMs != 7 {
		t.Errorf("an entry without a start: %+v, want its server out of use", changes)
	}
}
