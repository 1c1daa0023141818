package inventory

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Server is what one start of a server reports about itself.
type Server struct {
	ID string
	// StartedAtMs tells apart the starts under one ID; see Start.
	StartedAtMs int64
	Service     string
	// SoftwareVersion is the version of the server's software, not of the weights that it holds;
	// empty if unknown. What two versions of a service write does not fit together.
	SoftwareVersion string
	// Address is IP:PORT. Once this server is gone, another may use it.
	Address string
	Zone    string
	Slots   int
	// Draining servers take no new work.
	Draining bool
	// Ended is set, with Draining, if a peer announced that the server's entry is gone: the server
	// ended, or its entry expired.
	Ended bool
	// Remaining is how much longer a server runs that was given short notice of its shutdown; 0 if
	// it was given none.
	Remaining time.Duration
	Models    []HeldModel
	// InMemory and OnDisk are cached models, which load faster than from the weight store.
	InMemory []string
	OnDisk   []string
	// Sequence counts the orders that the server has accepted.
	Sequence int64
	// Position is the store position of the entry. Its era is the one in which the entry was
	// written, as far as that is known: a restored store returns entries of earlier eras.
	Position storepos.Position
	// ColdRemaining is how much longer the server is cold. It is valid if ReportsCold is set.
	ColdRemaining time.Duration
	ReportsCold   bool
	// Unreadable is set if the entry exists but cannot be decoded. Only ID and Position are known
	// then, and the server must not be used.
	Unreadable bool
	// Announced is set if a peer announced the server ahead of its entry: what it holds is unknown,
	// or known from an earlier entry.
	Announced bool
}

// isNewerThan reports whether the entry says more than a known one.
func (s Server) isNewerThan(known Server) bool {
	return s.Position.IsAfter(known.Position) || (s.Position == known.Position && known.Announced && !s.Announced)
}

// overridesDraining reports whether the store's answer as of the position, in which the server
// takes work, shows that a peer was wrong to announce the server as draining.
func (s Server) overridesDraining(known Server, position storepos.Position) bool {
	return known.Draining && !s.Draining && !known.Position.IsAfter(position) && s.Position.Era == position.Era
}

// HeldModel is one model that a server holds.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Change is one change to what is known about the servers.
type Change struct {
	Server Server
	Gone   bool
}

// Table holds the newest entry of each server. It is not safe for concurrent use.
type Table struct {
	servers  map[string]Server
	position storepos.Position
	// digest is updated with each change, because it is compared with the digests of peers many
	// times per second.
	digest   uint64
	eraState eraState
	// expectsPeers is set if peers' lists may come after those of the store.
	expectsPeers bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[string]Server)}
}

// Position returns the position up to which the table is complete.
func (t *Table) Position() storepos.Position { return t.position }

// Replace applies the store's whole list as of the position and returns what it changed. A list
// older than the table is ignored, unless it was requested after a later era was first reported:
// then that era was reported wrongly. Servers that peers announced at a newer position stay; what
// they announced at an older one is decided by the list.
func (t *Table) Replace(now, requestedAt time.Time, servers []Server, position storepos.Position) []Change {
	if position.Era < t.position.Era && requestedAt.After(t.eraState.firstSeenAt) {
		t.rebase(position.Era)
	}
	if position.IsBefore(t.position) {
		t.lowerCopyBound(position)
		return t.restoreWritten(nil)
	}
	previous := t.advance(now, position)
	t.recordList(servers, previous)
	return t.applyStoreList(now, servers, previous)
}

// applyStoreList applies the store's whole list as of the table's position; previous is the position
// before.
func (t *Table) applyStoreList(now time.Time, servers []Server, previous storepos.Position) []Change {
	accepted := make([]Server, 0, len(servers))
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if reconciled, ok := t.reconcile(now, server, previous); ok {
			accepted = append(accepted, reconciled)
		}
	}
	changes := t.applyAll(accepted, func(server Server) (Server, bool) { return t.applyStoreEntry(server, t.position) })
	return append(changes, t.removeMissing(func(server Server) bool {
		return !listed[server.ID] && !t.awaitsRewrite(now, server)
	})...)
}

// replaceByPeer applies a peer's whole list as Replace does the store's. The peer may withhold
// entries that have expired, so its list alone does not make a draining server available again.
func (t *Table) replaceByPeer(now time.Time, list PeerList) []Change {
	if list.Position.IsBefore(t.position) {
		return nil
	}
	previous := t.advance(now, list.Position)
	t.recordList(list.Servers, previous)
	hasEarlierPrior := t.hasEarlierPrior(now, list)
	listed := make(map[string]bool, len(list.Servers))
	accepted := make([]Server, 0, len(list.Servers))
	for _, server := range list.Servers {
		listed[server.ID] = true
		_, has := t.servers[server.ID]
		if hasEarlierPrior && (has || server.Position.Era == list.Position.Era) {
			// The peer may have taken an entry of the copy for one of the era.
			if reconciled, ok := t.reconcile(now, server, previous); ok {
				accepted = append(accepted, reconciled)
			}
			continue
		}
		// The peer may keep an entry of an earlier era whose server has ended since.
		mayHaveEnded := hasEarlierPrior || previous.Era == list.Position.Era
		if has || !mayHaveEnded || server.Position.Era == list.Position.Era {
			accepted = append(accepted, server)
		}
	}
	changes := t.applyAll(accepted, t.applyIfNewer)
	return append(changes, t.removeMissing(func(server Server) bool { return !listed[server.ID] })...)
}

func (t *Table) applyAll(servers []Server, apply func(Server) (Server, bool)) []Change {
	var changes []Change
	for _, server := range servers {
		if server.Unreadable {
			changes = append(changes, t.markUnreadable(server)...)
			continue
		}
		if applied, ok := apply(server); ok {
			changes = append(changes, Change{Server: applied})
		}
	}
	return changes
}

// removeMissing removes the servers for which isMissing holds, of those known up to the table's
// position.
func (t *Table) removeMissing(isMissing func(Server) bool) []Change {
	var changes []Change
	for _, server := range maps.Clone(t.servers) {
		if !server.Position.IsAfter(t.position) && isMissing(server) {
			t.remove(server.ID)
			t.eraState.prior.recordEnd(server.ID)
			changes = append(changes, Change{Server: server, Gone: true})
		}
	}
	return changes
}

// Apply applies the events after the table's position, up to the given one of the same era. Only
// the last event of each server counts: an entry that was deleted and written again belongs to a
// server that stayed, and does not mean that the server is gone as of the position.
func (t *Table) Apply(events []Change, position storepos.Position) []Change {
	if position.IsBefore(t.position) || position.Era != t.position.Era && !t.position.IsZero() {
		return nil
	}
	t.position = position
	var changes []Change
	for _, event := range lastEventPerServer(events) {
		if event.Server.Unreadable {
			changes = append(changes, t.markUnreadable(event.Server)...)
			continue
		}
		if !event.Gone {
			if applied, ok := t.applyStoreEntry(event.Server, position); ok {
				changes = append(changes, Change{Server: applied})
			}
			continue
		}
		t.eraState.prior.recordEnd(event.Server.ID)
		if known, ok := t.servers[event.Server.ID]; ok {
			t.remove(event.Server.ID)
			changes = append(changes, Change{Server: known, Gone: true})
		}
	}
	return changes
}

// markUnreadable takes a known server out of use because its entry cannot be decoded any more. Its
// running requests continue. A readable entry makes the server available again.
func (t *Table) markUnreadable(server Server) []Change {
	if known, ok := t.servers[server.ID]; !ok || known.Draining || !server.Position.IsAfter(known.Position) {
		return nil
	}
	return []Change{t.MarkDraining(Server{ID: server.ID, Position: server.Position})}
}

// lastEventPerServer returns the last event of each server, in the order of the events.
func lastEventPerServer(events []Change) []Change {
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

// applyStoreEntry applies what an answer of the store as of the position says about a server, and
// returns the resulting entry. ok is false if nothing changed.
func (t *Table) applyStoreEntry(server Server, position storepos.Position) (applied Server, ok bool) {
	known, has := t.servers[server.ID]
	if has && known.StartedAtMs != 0 && server.StartedAtMs == 0 {
		// The known entry has the start of its server and this one has none, so another writer
		// wrote it.
		changes := t.markUnreadable(server)
		return t.servers[server.ID], len(changes) > 0
	}
	if !has || server.isNewerThan(known) || !server.overridesDraining(known, position) {
		return t.applyIfNewer(server)
	}
	server.Position = position
	t.put(server)
	return server, true
}

// applyIfNewer replaces an older entry.
func (t *Table) applyIfNewer(server Server) (applied Server, ok bool) {
	known, has := t.servers[server.ID]
	if has && !server.isNewerThan(known) {
		return known, false
	}
	server.inheritUnsent(known)
	t.put(server)
	return server, true
}

// inheritUnsent takes over from the known entry what a peer of an earlier build does not send.
func (s *Server) inheritUnsent(known Server) {
	if s.StartedAtMs == 0 {
		s.StartedAtMs = known.StartedAtMs
	}
	if s.SoftwareVersion == "" && s.Start() == known.Start() {
		s.SoftwareVersion = known.SoftwareVersion
	}
}

// ConfirmAvailable applies a peer's report that, according to its entry at the position, the server
// takes work, which is also what this table says. Older reports that it is draining are void.
func (t *Table) ConfirmAvailable(id string, position storepos.Position) {
	known, ok := t.servers[id]
	if !ok || known.Draining || !position.IsAfter(known.Position) {
		return
	}
	known.Position = position
	known.Announced = true
	t.servers[id] = known
}

// IsNewer reports whether a peer's report as of the position can say more about the server than is
// known.
func (t *Table) IsNewer(id string, position storepos.Position) bool {
	known, ok := t.servers[id]
	return !ok || position.IsAfter(known.Position)
}

// ApplyAnnouncement applies what a peer announces ahead of the store: a new server, without what it
// holds, or one that is draining or gone. It does not make the table complete up to the announced
// position. It returns what it changed.
func (t *Table) ApplyAnnouncement(server Server) []Change {
	known, ok := t.servers[server.ID]
	if !server.Position.IsAfter(t.position) || (ok && !server.Position.IsAfter(known.Position)) {
		return nil
	}
	if ok && server.Draining {
		return []Change{t.MarkDraining(server)}
	}
	server.inheritUnsent(known)
	t.put(server)
	return []Change{{Server: server}}
}

// MarkDraining marks a known server as draining or ended, as announced. An answer of the store that
// says otherwise ends it.
func (t *Table) MarkDraining(announced Server) Change {
	server := t.servers[announced.ID]
	server.Draining, server.Ended = true, announced.Ended
	server.Position = announced.Position
	t.put(server)
	return Change{Server: server}
}

// HasStart reports whether the table has an entry of that start of a server. An entry or a start
// whose time is unknown matches any start under the ID.
func (t *Table) HasStart(start Start) bool {
	known, ok := t.servers[start.ID]
	return ok && (known.StartedAtMs == start.StartedAtMs || known.StartedAtMs == 0 || start.StartedAtMs == 0)
}

// IsAvailable reports whether the table has the server and it is not draining.
func (t *Table) IsAvailable(id string) bool {
	known, ok := t.servers[id]
	return ok && !known.Draining
}

// IsCold reports whether the server's newest entry says that it is cold.
func (t *Table) IsCold(id string) bool { return t.servers[id].ColdRemaining > 0 }

// MarkCold applies a peer's report that a known server turned cold as of the position.
func (t *Table) MarkCold(id string, remaining time.Duration, position storepos.Position) Change {
	server := t.servers[id]
	server.ColdRemaining, server.ReportsCold = remaining, true
	server.Position, server.Announced = position, true
	t.servers[id] = server
	return Change{Server: server}
}

// Digest returns a number that is equal for two tables in which the same servers are available.
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

// All calls yield for each server, in no particular order.
func (t *Table) All(yield func(Server) bool) {
	for _, server := range t.servers {
		if !yield(server) {
			return
		}
	}
}
