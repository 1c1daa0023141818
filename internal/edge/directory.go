package edge

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// directory holds what a node knows of the servers: the store's last answer and, ahead of it,
// changes announced by peers. It is safe for concurrent use.
type directory struct {
	mu       sync.Mutex
	table    *inventory.Table
	outgoing *gossip.ServerChanges
	// peerPosition is the latest position received from peers.
	peerPosition storepos.Position
	// differsSince is when a peer with a later position began to report a different set of
	// servers; zero while none does.
	differsSince time.Time
}

func newDirectory() *directory {
	table := inventory.NewTable()
	table.ExpectPeers()
	return &directory{table: table, outgoing: gossip.NewServerChanges()}
}

// listAvailable returns the servers that accept work, the position up to which they are known,
// and their digest. Draining servers are omitted because nobody needs them.
func (d *directory) listAvailable() (servers []inventory.Server, at storepos.Position, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server := range d.table.All {
		if !server.Draining {
			servers = append(servers, server)
		}
	}
	return servers, d.table.Position(), d.table.Digest()
}

// replaceByPeer applies a peer's whole list. The changes are not queued for other peers, since
// the sender has announced them already.
func (d *directory) replaceByPeer(now time.Time, list inventory.PeerList) []inventory.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ApplyPeerList(now, list)
}

// lacksPrior reports whether peers may know of servers, from before the store was restored, what is
// not known here.
func (d *directory) lacksPrior(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.LacksPrior(now)
}

// prior returns the position of an earlier era up to which the servers were known.
func (d *directory) prior(now time.Time) storepos.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Prior(now)
}

// confirmPrior applies that a peer with the position knows the same servers.
func (d *directory) confirmPrior(now time.Time, prior storepos.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ConfirmPrior(now, prior)
}

// replace applies a whole list of the store, requested at requestedAt. Its changes are queued
// for peers unless it is the first list.
func (d *directory) replace(now, requestedAt time.Time, servers []inventory.Server, at storepos.Position) (changes []inventory.Change, hasOutgoing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isFirst := d.table.Position().IsZero()
	wasAvailable, wasCold := make(map[inventory.Start]bool, len(servers)), make(map[inventory.Start]bool)
	for server := range d.table.All {
		wasAvailable[server.Start()], wasCold[server.Start()] = !server.Draining, server.ColdRemaining > 0
	}
	changes = d.table.Replace(now, requestedAt, servers, at)
	if at.Era < d.peerPosition.Era {
		d.peerPosition = at
	}
	if isFirst {
		return changes, false
	}
	return changes, d.queueChanges(now, notableChanges(changes, wasAvailable, wasCold), at)
}

// notableChanges returns the changes that others need to learn of at once: a server appeared,
// restarted, turned cold or stopped accepting work.
func notableChanges(changes []inventory.Change, wasAvailable, wasCold map[inventory.Start]bool) []inventory.Change {
	var notable []inventory.Change
	for _, change := range changes {
		start := change.Server.Start()
		turnedCold := change.Server.ColdRemaining > 0 && !wasCold[start]
		if change.Gone || change.Server.Draining || turnedCold || !wasAvailable[start] {
			notable = append(notable, change)
		}
	}
	return notable
}

// apply applies the store's events.
func (d *directory) apply(now time.Time, events []inventory.Change, at storepos.Position) (changes []inventory.Change, hasOutgoing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasAvailable, wasCold := make(map[inventory.Start]bool, len(events)), make(map[inventory.Start]bool)
	for _, event := range events {
		start := event.Server.Start()
		wasAvailable[start] = d.table.HasStart(start) && d.table.IsAvailable(start.ID)
		wasCold[start] = d.table.HasStart(start) && d.table.IsCold(start.ID)
	}
	changes = d.table.Apply(events, at)
	return changes, d.queueChanges(now, notableChanges(changes, wasAvailable, wasCold), at)
}

// queueChanges queues changes reported by the store for peers.
func (d *directory) queueChanges(now time.Time, changes []inventory.Change, at storepos.Position) bool {
	queued := false
	for _, change := range changes {
		server := change.Server
		if change.Gone {
			server = inventory.Server{ID: server.ID, StartedAtMs: server.StartedAtMs, Draining: true, Ended: true, Position: at}
		}
		if d.outgoing.Learn(now, gossip.ServerChange{Server: server}) {
			queued = true
		}
	}
	return queued
}

// applyPeerChanges applies changes announced by a peer and returns those that are new here. A
// server's removal also applies to an entry retained during the expiry grace period, whether or
// not the removal is forwarded.
func (d *directory) applyPeerChanges(now time.Time, items []gossip.ServerChange) []inventory.Change {
	if len(items) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []inventory.Change
	for _, item := range items {
		server := item.Server
		era := d.table.Position().Era
		server.Position = server.Position.WithDefaultEra(era)
		if server.Position.Era > era && era > 0 {
			// The whole list of that era is requested instead.
			continue
		}
		item.Server = server
		if !server.Draining && server.ColdRemaining > item.Age && d.table.IsAvailable(server.ID) && d.table.HasStart(server.Start()) && d.table.IsNewer(server.ID, server.Position) {
			d.outgoing.Learn(now, item)
			changes = append(changes, d.table.MarkCold(server.ID, server.ColdRemaining-item.Age, server.Position))
			continue
		}
		if !server.Draining && d.table.IsAvailable(server.ID) && d.table.HasStart(server.Start()) {
			// Already known, and not forwarded.
			d.table.ConfirmAvailable(server.ID, server.Position)
			continue
		}
		if !d.table.IsNewer(server.ID, server.Position) {
			continue
		}
		isQueued := d.outgoing.Learn(now, item)
		switch {
		case server.Draining && d.table.IsAvailable(server.ID):
			changes = append(changes, d.table.MarkDraining(server))
		case isQueued:
			server.ColdRemaining = max(0, server.ColdRemaining-item.Age)
			changes = append(changes, d.table.ApplyAnnouncement(server)...)
		default:
			continue
		}
		d.peerPosition = storepos.Later(d.peerPosition, server.Position)
	}
	return changes
}

// takeDue returns the changes to send in this period.
func (d *directory) takeDue(now time.Time) []gossip.ServerChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outgoing.TakeDue(now)
}

// digestAndPosition returns a digest of the known servers and their position.
func (d *directory) digestAndPosition() (digest uint64, at storepos.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Digest(), d.latestPosition()
}

// position returns the position up to which the servers are known completely.
func (d *directory) position() storepos.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Position()
}

// isReloadDue reports whether the list is to be reloaded because entries of an earlier era were
// kept.
func (d *directory) isReloadDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ReloadDue(now)
}

// countEarlierEra counts the servers whose kept entry is of an earlier era.
func (d *directory) countEarlierEra(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.EarlierEraCount(now)
}

// eraAge returns how long the current era has been known. ok is false if no other era came
// before it.
func (d *directory) eraAge(now time.Time) (age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.EraAge(now)
}

// latestPosition returns the latest known position. d.mu must be held.
func (d *directory) latestPosition() storepos.Position {
	return storepos.Later(d.table.Position(), d.peerPosition)
}

// isBehind reports whether a peer has had different servers from a later position, or from a
// later confirmation, for longer than changes take to propagate. Then the list should be
// requested.
func (d *directory) isBehind(now time.Time, digest uint64, at storepos.Position, isFresher bool, tolerance time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case at.Era > d.latestPosition().Era:
		return true
	case digest == d.table.Digest():
		d.differsSince = time.Time{}
	case !at.WithDefaultEra(d.latestPosition().Era).IsAfter(d.latestPosition()) && !isFresher:
	case d.differsSince.IsZero():
		d.differsSince = now
	case now.Sub(d.differsSince) > tolerance:
		d.differsSince = time.Time{}
		return true
	}
	return false
}
