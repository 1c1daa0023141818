package inventory

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is what one incarnation of a server says of itself.
type Server struct {
	// ID names one start of a server; a restart has another.
	ID      string
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
	// Announced is set where a peer told of the server ahead of its entry:
	// what it holds is not known.
	Announced bool
}

// isNewerThan reports whether the entry says more than a known one.
func (s Server) isNewerThan(known Server) bool {
	return s.Revision > known.Revision || (s.Revision == known.Revision && known.Announced && !s.Announced)
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
// revision stay.
func (t *Table) Replace(servers []Server, revision int64) []Change {
	if revision < t.revision {
		return nil
	}
	t.revision = revision
	listed := make(map[string]bool, len(servers))
	var changes []Change
	for _, server := range servers {
		listed[server.ID] = true
		known, ok := t.servers[server.ID]
		if ok && !server.isNewerThan(known) {
			continue
		}
		t.put(server)
		changes = append(changes, Change{Server: server})
	}
	for id, server := range maps.Clone(t.servers) {
		if !listed[id] && server.Revision <= revision {
			t.remove(id)
			changes = append(changes, Change{Server: server, Gone: true})
		}
	}
	return changes
}

// Apply takes the events behind the table's revision.
func (t *Table) Apply(events []Change, revision int64) []Change {
	if revision < t.revision {
		return nil
	}
	t.revision = revision
	var changes []Change
	for _, event := range events {
		known, ok := t.servers[event.Server.ID]
		switch {
		case event.Gone && ok:
			t.remove(event.Server.ID)
			changes = append(changes, Change{Server: known, Gone: true})
		case !event.Gone && (!ok || event.Server.isNewerThan(known)):
			t.put(event.Server)
			changes = append(changes, event)
		}
	}
	return changes
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
		known.Draining = true
		known.Revision = server.Revision
		server = known
	}
	t.put(server)
	return []Change{{Server: server}}
}

// TakesWork reports whether the table has the server, and not as draining.
func (t *Table) TakesWork(id string) bool {
	known, ok := t.servers[id]
	return ok && !known.Draining
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
