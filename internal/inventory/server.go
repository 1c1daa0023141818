package inventory

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Server is what one start of a server says of itself.
type Server struct {
	ID string
	// StartedAtMs tells one start from another under the ID; see Start.
	StartedAtMs int64
	Service     string
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
	// Position is that of the entry which says so. Its era is the one in which the entry was
	// written, as far as that is known: a copy of the store brings entries of earlier ones.
	Position storepos.Position
	// ColdRemaining is for how long the server is cold yet, where TellsCold is set.
	ColdRemaining time.Duration
	ReportsCold   bool
	// Unreadable is set where an entry stands that cannot be read, of which ID and Position are
	// known alone: it names no server to use.
	Unreadable bool
	// Announced is set where a peer told of the server ahead of its entry: what it
	// holds is not known, or known from an earlier entry.
	Announced bool
}

// isNewerThan reports whether the entry says more than a known one.
func (s Server) isNewerThan(known Server) bool {
	return s.Position.IsAfter(known.Position) || (s.Position == known.Position && known.Announced && !s.Announced)
}

// refutes reports whether the store's answer as of the position, in which the server
// takes work, shows that a peer was wrong to tell that it goes.
func (s Server) refutes(known Server, at storepos.Position) bool {
	return known.Draining && !s.Draining && !known.Position.IsAfter(at) && s.Position.Era == at.Era
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
	position storepos.Position
	// digest is kept with each change: peers' digests are compared with it many
	// times a second.
	digest uint64
	eras   eras
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[string]Server)}
}

// Position is that up to which the table is complete.
func (t *Table) Position() storepos.Position { return t.position }

// Replace takes a whole list as of the position and returns what it changed.
// A list older than the table is left out, unless the store was asked for it after a later era was
// heard of, which then was told wrongly. Servers of which peers told from a newer
// position stay; what they told from an older one goes by the list.
func (t *Table) Replace(now, asked time.Time, servers []Server, at storepos.Position) []Change {
	if at.Era < t.position.Era && asked.After(t.eras.entered) {
		t.rebase(at.Era)
	}
	if at.IsBefore(t.position) {
		return nil
	}
	complete := t.enter(now, at)
	taken := make([]Server, 0, len(servers))
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if placed, ok := t.place(now, server, complete); ok {
			taken = append(taken, placed)
		}
	}
	changes := t.takeAll(taken, func(server Server) (Server, bool) { return t.take(server, at) })
	return append(changes, t.removeAll(func(server Server) bool {
		return !listed[server.ID] && !t.awaitsRewrite(now, server)
	})...)
}

// ReplaceByPeer takes a peer's whole list likewise. The peer may hold entries back as
// lapsed, so its list alone ends nobody's word that a server goes.
func (t *Table) ReplaceByPeer(now time.Time, servers []Server, at storepos.Position) []Change {
	if at.IsBefore(t.position) {
		return nil
	}
	complete := t.enter(now, at)
	listed := make(map[string]bool, len(servers))
	taken := make([]Server, 0, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		// The peer may keep an entry of an earlier era whose server has ended since.
		if _, has := t.servers[server.ID]; has || complete.Era != at.Era || server.Position.Era == at.Era {
			taken = append(taken, server)
		}
	}
	changes := t.takeAll(taken, t.takeNewer)
	return append(changes, t.removeAll(func(server Server) bool { return !listed[server.ID] })...)
}

func (t *Table) takeAll(servers []Server, take func(Server) (Server, bool)) []Change {
	var changes []Change
	for _, server := range servers {
		if server.Unreadable {
			changes = append(changes, t.turnsUnreadable(server)...)
			continue
		}
		if taken, ok := take(server); ok {
			changes = append(changes, Change{Server: taken})
		}
	}
	return changes
}

// removeAll removes the servers that are gone, of those known up to the table's position.
func (t *Table) removeAll(isGone func(Server) bool) []Change {
	var changes []Change
	for _, server := range maps.Clone(t.servers) {
		if !server.Position.IsAfter(t.position) && isGone(server) {
			t.remove(server.ID)
			changes = append(changes, Change{Server: server, Gone: true})
		}
	}
	return changes
}

// Apply takes the events behind the table's position, up to the given one of the same era. Of each
// server the last one counts: an entry that went and came back is that of a server
// which stayed, and is no word as of the position that the server is gone.
func (t *Table) Apply(events []Change, at storepos.Position) []Change {
	if at.IsBefore(t.position) || at.Era != t.position.Era && !t.position.IsZero() {
		return nil
	}
	t.position = at
	var changes []Change
	for _, event := range lastOfEach(events) {
		if event.Server.Unreadable {
			changes = append(changes, t.turnsUnreadable(event.Server)...)
			continue
		}
		if !event.Gone {
			if taken, ok := t.take(event.Server, at); ok {
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
	if known, ok := t.servers[server.ID]; !ok || known.Draining || !server.Position.IsAfter(known.Position) {
		return nil
	}
	return []Change{t.MarkDraining(server.ID, server.Position)}
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

// take puts what an answer of the store as of the position says of a server in
// place of what is known, and returns what then is; ok is false where that changes
// nothing.
func (t *Table) take(server Server, at storepos.Position) (taken Server, ok bool) {
	known, has := t.servers[server.ID]
	if has && known.StartedAtMs != 0 && server.StartedAtMs == 0 {
		// Its server told its start before: the entry is another writer's.
		changes := t.turnsUnreadable(server)
		return t.servers[server.ID], len(changes) > 0
	}
	if !has || server.isNewerThan(known) || !server.refutes(known, at) {
		return t.takeNewer(server)
	}
	server.Position = at
	t.put(server)
	return server, true
}

// takeNewer puts an entry in place of an older one.
func (t *Table) takeNewer(server Server) (taken Server, ok bool) {
	known, has := t.servers[server.ID]
	if has && !server.isNewerThan(known) {
		return known, false
	}
	if server.StartedAtMs == 0 {
		// A peer whose build does not tell it.
		server.StartedAtMs = known.StartedAtMs
	}
	t.put(server)
	return server, true
}

// ConfirmAvailable takes a peer's word that the server's entry at the position says that it
// takes work, as is known here: older words that it goes are void.
func (t *Table) ConfirmAvailable(id string, at storepos.Position) {
	known, ok := t.servers[id]
	if !ok || known.Draining || !at.IsAfter(known.Position) {
		return
	}
	known.Position = at
	known.Announced = true
	t.servers[id] = known
}

// IsNewer reports whether a peer's word as of the position can say more of the server
// than is known.
func (t *Table) IsNewer(id string, at storepos.Position) bool {
	known, ok := t.servers[id]
	return !ok || at.IsAfter(known.Position)
}

// ApplyAnnouncement takes what a peer tells ahead of the store: a server that came, without
// what it holds, or one that is draining or gone. The table is not complete up to
// its position by that. It returns what it changed.
func (t *Table) ApplyAnnouncement(server Server) []Change {
	known, ok := t.servers[server.ID]
	if !server.Position.IsAfter(t.position) || (ok && !server.Position.IsAfter(known.Position)) {
		return nil
	}
	if ok && server.Draining {
		return []Change{t.MarkDraining(server.ID, server.Position)}
	}
	if server.StartedAtMs == 0 {
		server.StartedAtMs = known.StartedAtMs
	}
	t.put(server)
	return []Change{{Server: server}}
}

// MarkDraining marks a known server as one that takes no more work as of the position, on a
// peer's word. An answer of the store that says otherwise ends it.
func (t *Table) MarkDraining(id string, at storepos.Position) Change {
	server := t.servers[id]
	server.Draining = true
	server.Position = at
	t.put(server)
	return Change{Server: server}
}

// HasStart reports whether the table has an entry of that start of a server, or one that does not
// say of which it is.
func (t *Table) HasStart(start Start) bool {
	known, ok := t.servers[start.ID]
	return ok && (known.StartedAtMs == start.StartedAtMs || known.StartedAtMs == 0 || start.StartedAtMs == 0)
}

// IsAvailable reports whether the table has the server, and not as draining.
func (t *Table) IsAvailable(id string) bool {
	known, ok := t.servers[id]
	return ok && !known.Draining
}

// IsCold reports whether the server's newest entry says that it is cold.
func (t *Table) IsCold(id string) bool { return t.servers[id].ColdRemaining > 0 }

// MarkCold takes a peer's word that a known server turned cold as of the position.
func (t *Table) MarkCold(id string, left time.Duration, at storepos.Position) Change {
	server := t.servers[id]
	server.ColdRemaining, server.ReportsCold = left, true
	server.Position, server.Announced = at, true
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
	if t.IsAvailable(id) {
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
