package inventory

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is what one start of a server says of itself.
type Server struct {
	ID string
	// Born tells one start from another under the ID; see Start.
	Born    int64
	Service string
	// Address is IP:PORT. Another server may have it once this one is gone.
	Address string
	Zone    string
	Slots   int
	// Draining servers take no new work.
	Draining bool
	// Remaining is how long a server lives that was given short notice; 0
	// where none was given.
	Remaining time.Duration
	Models    []HeldModel
	// Cached models are loaded sooner than from the weight store.
	InMemory []string
	OnDisk   []string
	// Sequence counts the orders that the server took.
	Sequence int64
	// Revision is the revision of the entry that says so.
	Revision int64
	// ColdLeft is for how long the server is cold yet, where TellsCold is set.
	ColdLeft  time.Duration
	TellsCold bool
	// Unreadable is set where an entry stands that cannot be read, of which ID and Revision are
	// known alone: it names no server to use.
	Unreadable bool
	// Announced is set where a peer told of the server ahead of its entry: what it
	// holds is not known, or known from an earlier entry.
	Announced bool
}

// isNewerThan reports whether the entry says more than a known one.
func (s Server) isNewerThan(known Server) bool {
	return s.Revision > known.Revision || (s.Revision == known.Revision && known.Announced && !s.Announced)
}

// refutes reports whether the store's answer as of the revision, in which the server
// takes work, shows that a peer was wrong to tell that it goes.
func (s Server) refutes(known Server, revision int64) bool {
	return known.Draining && !s.Draining && known.Revision <= revision
}

// HeldModel is one model that a server holds.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Change is one step in what is known of the servers.
type Change struct {
	Server Server
	Gone   bool
}

// Table holds the newest entry of each server. It is not safe for concurrent
// use.
type Table struct {
	servers  map[string]Server
	revision int64
	// digest is kept with each change: peers' digests are compared with it many
	// times a second.
	digest uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[string]Server)}
}

// Revision is the revision up to which the table is complete.
func (t *Table) Revision() int64 { return t.revision }

// Replace takes a whole list as of the revision and returns what it changed.
// A list older than the table is left out. Servers of which peers told from a newer
// revision stay; what they told from an older one goes by the list.
func (t *Table) Replace(servers []Server, revision int64) []Change {
	return t.replace(servers, revision, func(server Server) (Server, bool) { return t.take(server, revision) })
}

// ReplaceByPeer takes a peer's whole list likewise. The peer may hold entries back as
// lapsed, so its list alone ends nobody's word that a server goes.
func (t *Table) ReplaceByPeer(servers []Server, revision int64) []Change {
	return t.replace(servers, revision, t.takeNewer)
}

func (t *Table) replace(servers []Server, revision int64, take func(Server) (Server, bool)) []Change {
	if revision < t.revision {
		return nil
	}
	t.revision = revision
	listed := make(map[string]bool, len(servers))
	var changes []Change
	for _, server := range servers {
		listed[server.ID] = true
		if server.Unreadable {
			changes = append(changes, t.turnsUnreadable(server)...)
			continue
		}
		if taken, ok := take(server); ok {
			changes = append(changes, Change{Server: taken})
		}
	}
	for id, server := range maps.Clone(t.servers) {
		if !listed[id] && server.Revision <= revision {
			t.remove(id)
			changes = append(changes, Change{Server: server, Gone: true})
		}
	}
	return changes
}

// Apply takes the events behind the table's revision, up to the given one. Of each
// server the last one counts: an entry that went and came back is that of a server
// which stayed, and is no word as of the revision that the server is gone.
func (t *Table) Apply(events []Change, revision int64) []Change {
	if revision < t.revision {
		return nil
	}
	t.revision = revision
	var changes []Change
	for _, event := range lastOfEach(events) {
		if event.Server.Unreadable {
			changes = append(changes, t.turnsUnreadable(event.Server)...)
			continue
		}
		if !event.Gone {
			if taken, ok := t.take(event.Server, revision); ok {
				changes = append(changes, Change{Server: taken})
			}
			continue
		}
		if known, ok := t.servers[event.Server.ID]; ok {
			t.remove(event.Server.ID)
			changes = append(changes, Change{Server: known, Gone: true})
		}
	}
	return changes
}

// turnsUnreadable takes a known server out of use by its entry, which cannot be read any more.
// What runs there runs on; an entry that can be read brings it back.
func (t *Table) turnsUnreadable(server Server) []Change {
	if known, ok := t.servers[server.ID]; !ok || known.Draining || known.Revision >= server.Revision {
		return nil
	}
	return []Change{t.Leaves(server.ID, server.Revision)}
}

// lastOfEach returns the last event of each server, in the order of the events.
func lastOfEach(events []Change) []Change {
	last := make(map[string]int, len(events))
	for i, event := range events {
		last[event.Server.ID] = i
	}
	var kept []Change
	for i, event := range events {
		if last[event.Server.ID] == i {
			kept = append(kept, event)
		}
	}
	return kept
}

// take puts what an answer of the store as of the revision says of a server in
// place of what is known, and returns what then is; ok is false where that changes
// nothing.
func (t *Table) take(server Server, revision int64) (taken Server, ok bool) {
	known, has := t.servers[server.ID]
	if has && known.Born != 0 && server.Born == 0 {
		// Its server told its start before: the entry is another writer's.
		changes := t.turnsUnreadable(server)
		return t.servers[server.ID], len(changes) > 0
	}
	if !has || server.isNewerThan(known) || !server.refutes(known, revision) {
		return t.takeNewer(server)
	}
	server.Revision = revision
	t.put(server)
	return server, true
}

// takeNewer puts an entry in place of an older one.
func (t *Table) takeNewer(server Server) (taken Server, ok bool) {
	known, has := t.servers[server.ID]
	if has && !server.isNewerThan(known) {
		return known, false
	}
	if server.Born == 0 {
		// A peer whose build does not tell it.
		server.Born = known.Born
	}
	t.put(server)
	return server, true
}

// Stays takes a peer's word that the server's entry of the revision says that it
// takes work, as is known here: older words that it goes are void.
func (t *Table) Stays(id string, revision int64) {
	known, ok := t.servers[id]
	if !ok || known.Draining || known.Revision >= revision {
		return
	}
	known.Revision = revision
	known.Announced = true
	t.servers[id] = known
}

// IsNews reports whether a peer's word as of the revision can say more of the server
// than is known.
func (t *Table) IsNews(id string, revision int64) bool {
	known, ok := t.servers[id]
	return !ok || revision > known.Revision
}

// Note takes what a peer tells ahead of the store: a server that came, without
// what it holds, or one that is draining or gone. The table is not complete up to
// its revision by that. It returns what it changed.
func (t *Table) Note(server Server) []Change {
	known, ok := t.servers[server.ID]
	if server.Revision <= t.revision || (ok && known.Revision >= server.Revision) {
		return nil
	}
	if ok && server.Draining {
		return []Change{t.Leaves(server.ID, server.Revision)}
	}
	if server.Born == 0 {
		server.Born = known.Born
	}
	t.put(server)
	return []Change{{Server: server}}
}

// Leaves marks a known server as one that takes no more work as of the revision, on a
// peer's word. An answer of the store that says otherwise ends it.
func (t *Table) Leaves(id string, revision int64) Change {
	server := t.servers[id]
	server.Draining = true
	server.Revision = revision
	t.put(server)
	return Change{Server: server}
}

// Knows reports whether the table has an entry of that start of a server, or one that does not
// say of which it is.
func (t *Table) Knows(start Start) bool {
	known, ok := t.servers[start.ID]
	return ok && (known.Born == start.Born || known.Born == 0 || start.Born == 0)
}

// TakesWork reports whether the table has the server, and not as draining.
func (t *Table) TakesWork(id string) bool {
	known, ok := t.servers[id]
	return ok && !known.Draining
}

// IsCold reports whether the server's newest entry says that it is cold.
func (t *Table) IsCold(id string) bool { return t.servers[id].ColdLeft > 0 }

// TurnsCold takes a peer's word that a known server turned cold as of the revision.
func (t *Table) TurnsCold(id string, left time.Duration, revision int64) Change {
	server := t.servers[id]
	server.ColdLeft, server.TellsCold = left, true
	server.Revision, server.Announced = revision, true
	t.servers[id] = server
	return Change{Server: server}
}

// Digest is a number that two tables have in common in which the same servers
// take work.
func (t *Table) Digest() uint64 { return t.digest }

func (t *Table) put(server Server) {
	t.remove(server.ID)
	t.servers[server.ID] = server
	if !server.Draining {
		t.digest ^= xxhash.Sum64String(server.ID)
	}
}

func (t *Table) remove(id string) {
	if t.TakesWork(id) {
		t.digest ^= xxhash.Sum64String(id)
	}
	delete(t.servers, id)
}

// All calls yield for each server, in no order.
func (t *Table) All(yield func(Server) bool) {
	for _, server := range t.servers {
		if !yield(server) {
			return
		}
	}
}
