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
		{"an older entry is ignored", []Change{{Server: Server{ID: "a", Position: storepos.At(0, 1)}}}, 6, nil},
		{"a newer entry is applied", []Change{{Server: Server{ID: "a", Position: storepos.At(0, 7), Draining: true}}}, 7,
			[]Change{{Server: Server{ID: "a", Position: storepos.At(0, 7), Draining: true}}}},
		{"a server is removed", []Change{{Server: Server{ID: "b"}, Gone: true}}, 8, []Change{{Server: Server{ID: "b", Position: storepos.At(0, 3)}, Gone: true}}},
		{"an unknown server is removed", []Change{{Server: Server{ID: "c"}, Gone: true}}, 9, nil},
		{"older events are ignored", []Change{{Server: Server{ID: "d", Position: storepos.At(0, 8)}}}, 8, nil},
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
		name  string
		apply func() []Change
		want  []Change
	}{
		{"an announcement that the table covers is ignored", func() []Change {
			return table.ApplyAnnouncement(Server{ID: "b", Position: storepos.At(0, 5), Draining: true})
		}, nil},
		{"a server starts draining", func() []Change {
			return table.ApplyAnnouncement(Server{ID: "a", Position: storepos.At(0, 7), Draining: true, Announced: true})
		},
			[]Change{{Server: draining}}},
		{"an older entry does not make it available", func() []Change {
			return table.Apply([]Change{{Server: Server{ID: "a", Position: storepos.At(0, 6)}}}, storepos.At(0, 6))
		}, nil},
		{"an unknown server is draining", func() []Change { return table.ApplyAnnouncement(drainingServer("x", 8)) }, []Change{{Server: drainingServer("x", 8)}}},
		{"its entry arrives late", func() []Change {
			return table.Apply([]Change{{Server: Server{ID: "x", Position: storepos.At(0, 7)}}}, storepos.At(0, 7))
		}, nil},
		{"a new server is announced", func() []Change {
			return table.ApplyAnnouncement(Server{ID: "n", Position: storepos.At(0, 9), Announced: true})
		},
			[]Change{{Server: Server{ID: "n", Position: storepos.At(0, 9), Announced: true}}}},
		{"its entry adds what it holds", func() []Change {
			return table.Apply([]Change{{Server: Server{ID: "n", Position: storepos.At(0, 9), Models: []HeldModel{{Name: "m"}}}}}, storepos.At(0, 9))
		}, []Change{{Server: Server{ID: "n", Position: storepos.At(0, 9), Models: []HeldModel{{Name: "m"}}}}}},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, step.apply()); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
	}
	if table.Position().Revision != 9 {
		t.Errorf("revision %d, want 9: announcements do not make the table complete", table.Position().Revision)
	}
	for id, want := range map[string]bool{"a": false, "b": true, "x": false, "n": true, "none": false} {
		if table.IsAvailable(id) != want {
			t.Errorf("%s available: %v, want %v", id, !want, want)
		}
	}
}

func drainingServer(id string, revision int64) Server {
	return Server{ID: id, Draining: true, Position: storepos.At(0, revision), Announced: true}
}

// TestStoreRefutesPeers guards against a server that stays unused after a peer wrongly announced it
// as draining: an answer of the store as of that position or later, in which the server takes work,
// must end the announcement.
func TestStoreRefutesPeers(t *testing.T) {
	listed := Server{ID: "a", Service: "s", Position: storepos.At(0, 8)}
	newTable := func() *Table {
		table := NewTable()
		table.Replace(begin, begin, []Server{{ID: "a", Service: "s", Position: storepos.At(0, 2)}}, storepos.At(0, 5))
		table.ApplyAnnouncement(drainingServer("a", 9))
		return table
	}
	sources := []struct {
		name  string
		apply func(table *Table, revision int64)
	}{
		{"list", func(table *Table, revision int64) {
			table.Replace(begin, begin, []Server{listed}, storepos.At(0, revision))
		}},
		{"watch", func(table *Table, revision int64) {
			table.Apply([]Change{{Server: listed}}, storepos.At(0, revision))
		}},
	}
	for _, source := range sources {
		for revision, want := range map[int64]bool{8: false, 9: true, 12: true} {
			table := newTable()
			source.apply(table, revision)
			if table.IsAvailable("a") != want {
				t.Errorf("%s as of %d: available %v, want %v", source.name, revision, !want, want)
			}
			if want && table.IsNewer("a", storepos.At(0, revision)) {
				t.Errorf("%s as of %d: an older report counts as new again", source.name, revision)
			}
		}
	}
}

// TestPeersListRefutesNothing checks that a peer's list does not end a drain announcement, because
// the peer may withhold an entry that has expired.
func TestPeersListRefutesNothing(t *testing.T) {
	table := NewTable()
	table.Replace(begin, begin, []Server{{ID: "a", Position: storepos.At(0, 2)}}, storepos.At(0, 5))
	table.ApplyAnnouncement(drainingServer("a", 9))
	table.ApplyPeerList(begin, PeerList{Servers: []Server{{ID: "a", Position: storepos.At(0, 2)}}, Position: storepos.At(0, 12)})
	if table.IsAvailable("a") {
		t.Error("a peer's list made a draining server available although the peer may withhold its newer entry")
	}
	table.ApplyPeerList(begin, PeerList{Servers: []Server{{ID: "a", Position: storepos.At(0, 13)}}, Position: storepos.At(0, 14)})
	if !table.IsAvailable("a") {
		t.Error("a peer's newer entry did not make the server available")
	}
}

// TestLastEventOfEachServerCounts checks that of several events about a server in one answer only
// the last one counts.
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

// TestEntryThatCannotBeRead checks that an unreadable entry takes a known server out of use until a
// readable one arrives. An unreadable entry of an unknown server is ignored, and the other entries
// of a list still apply.
func TestEntryThatCannotBeRead(t *testing.T) {
	readable := Server{ID: "a", Service: "s", Address: "1.2.3.4:5", Position: storepos.At(0, 2)}
	unreadable := Server{ID: "a", Position: storepos.At(0, 5), Unreadable: true}
	unavailable := readable
	unavailable.Draining, unavailable.Position = true, storepos.At(0, 5)
	back := readable
	back.Position = storepos.At(0, 9)
	for name, apply := range map[string]func(table *Table, server Server, revision int64) []Change{
		"watch": func(table *Table, server Server, revision int64) []Change {
			return table.Apply([]Change{{Server: server}, {Server: Server{ID: "x", Position: storepos.At(0, revision), Unreadable: true}}}, storepos.At(0, revision))
		},
		"list": func(table *Table, server Server, revision int64) []Change {
			return table.Replace(begin, begin, []Server{server, {ID: "x", Position: storepos.At(0, revision), Unreadable: true}}, storepos.At(0, revision))
		},
	} {
		table := NewTable()
		table.Replace(begin, begin, []Server{readable}, storepos.At(0, 3))
		if diff := cmp.Diff([]Change{{Server: unavailable}}, apply(table, unreadable, 5)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if again := apply(table, unreadable, 6); again != nil || table.IsAvailable("a") || table.IsAvailable("x") {
			t.Errorf("%s: the same unreadable entry again changes the table: %v", name, again)
		}
		if diff := cmp.Diff([]Change{{Server: back}}, apply(table, back, 9)); diff != "" || !table.IsAvailable("a") {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestStartThatIsNotTold checks entries without a start. From a peer, whose build may not send it,
// such an entry means the known start. From the store, after an entry with a start, it was written
// by another writer and takes the server out of use.
func TestStartThatIsNotTold(t *testing.T) {
	known := Server{ID: "a", StartedAtMs: 7, Service: "s", Address: "1.2.3.4:5", Position: storepos.At(0, 2)}
	newer := known
	newer.StartedAtMs, newer.Position = 0, storepos.At(0, 5)
	want := newer
	want.StartedAtMs = 7
	for name, apply := range map[string]func(table *Table) []Change{
		"list": func(table *Table) []Change {
			return table.ApplyPeerList(begin, PeerList{Servers: []Server{newer}, Position: storepos.At(0, 5)})
		},
		"announcement": func(table *Table) []Change { return table.ApplyAnnouncement(newer) },
	} {
		table := NewTable()
		table.Replace(begin, begin, []Server{known}, storepos.At(0, 3))
		if diff := cmp.Diff([]Change{{Server: want}}, apply(table)); diff != "" {
			t.Errorf("%s from a peer: %s", name, diff)
		}
	}
	table := NewTable()
	table.Replace(begin, begin, []Server{known}, storepos.At(0, 3))
	if changes := table.Apply([]Change{{Server: newer}}, storepos.At(0, 5)); len(changes) != 1 || !changes[0].Server.Draining || changes[0].Server.StartedAtMs != 7 {
		t.Errorf("an entry without a start changed %+v, want the server out of use", changes)
	}
}
