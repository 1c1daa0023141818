package edge

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// directory is what a node knows of the servers: what the store last told it
// and, ahead of that, the news that peers tell. It is safe for concurrent use.
type directory struct {
	mu    sync.Mutex
	table *inventory.Table
	news  *gossip.ServerChanges
	// heard is the latest position of what peers told.
	heard storepos.Position
	// lagSince is when a peer with a later position began to know other servers;
	// zero while none does.
	lagSince time.Time
}

func newDirectory() *directory {
	return &directory{table: inventory.NewTable(), news: gossip.NewServerChanges()}
}

// list are the servers that take work, the position that they are known up to, and
// their digest. Those that go are left out: nobody needs them.
func (d *directory) list() (servers []inventory.Server, at storepos.Position, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server := range d.table.All {
		if !server.Draining {
			servers = append(servers, server)
		}
	}
	return servers, d.table.Position(), d.table.Digest()
}

// replaceByPeer takes a peer's whole list, which is no news: the peer had told it.
func (d *directory) replaceByPeer(now time.Time, servers []inventory.Server, at storepos.Position) []inventory.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ReplaceByPeer(now, servers, at)
}

// replace takes a whole list, asked for at asked. What it changed is news unless it is the first.
func (d *directory) replace(now, asked time.Time, servers []inventory.Server, at storepos.Position) (changes []inventory.Change, hasNews bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isFirst := d.table.Position().IsZero()
	worked, wasCold := make(map[inventory.Start]bool, len(servers)), make(map[inventory.Start]bool)
	for server := range d.table.All {
		worked[server.Start()], wasCold[server.Start()] = !server.Draining, server.ColdRemaining > 0
	}
	changes = d.table.Replace(now, asked, servers, at)
	if at.Era < d.heard.Era {
		d.heard = at
	}
	if isFirst {
		return changes, false
	}
	return changes, d.learn(now, news(changes, worked, wasCold), at)
}

// news are the changes by which a server came, started again, turned cold or takes no more
// work: all that others need to hear at once.
func news(changes []inventory.Change, worked, wasCold map[inventory.Start]bool) []inventory.Change {
	var news []inventory.Change
	for _, change := range changes {
		start := change.Server.Start()
		turnedCold := change.Server.ColdRemaining > 0 && !wasCold[start]
		if change.Gone || change.Server.Draining || turnedCold || !worked[start] {
			news = append(news, change)
		}
	}
	return news
}

// apply takes the store's events.
func (d *directory) apply(now time.Time, events []inventory.Change, at storepos.Position) (changes []inventory.Change, hasNews bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	worked, wasCold := make(map[inventory.Start]bool, len(events)), make(map[inventory.Start]bool)
	for _, event := range events {
		start := event.Server.Start()
		worked[start] = d.table.HasStart(start) && d.table.IsAvailable(start.ID)
		wasCold[start] = d.table.HasStart(start) && d.table.IsCold(start.ID)
	}
	changes = d.table.Apply(events, at)
	return changes, d.learn(now, news(changes, worked, wasCold), at)
}

// learn makes news of changes that the store told.
func (d *directory) learn(now time.Time, changes []inventory.Change, at storepos.Position) bool {
	learned := false
	for _, change := range changes {
		server := change.Server
		if change.Gone {
			server = inventory.Server{ID: server.ID, StartedAtMs: server.StartedAtMs, Draining: true, Position: at}
		}
		if d.news.Learn(now, gossip.ServerChange{Server: server}) {
			learned = true
		}
	}
	return learned
}

// hear takes what a peer tells, and returns what of it is new here. A word that a server
// goes counts also where the entry is held back here as lapsed, and whether or not it is
// told on.
func (d *directory) hear(now time.Time, items []gossip.ServerChange) []inventory.Change {
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
			// The whole list of that era is asked for.
			continue
		}
		item.Server = server
		if !server.Draining && server.ColdRemaining > item.Age && d.table.IsAvailable(server.ID) && d.table.HasStart(server.Start()) && d.table.IsNewer(server.ID, server.Position) {
			d.news.Learn(now, item)
			changes = append(changes, d.table.MarkCold(server.ID, server.ColdRemaining-item.Age, server.Position))
			continue
		}
		if !server.Draining && d.table.IsAvailable(server.ID) && d.table.HasStart(server.Start()) {
			// Known already, and not told on.
			d.table.ConfirmAvailable(server.ID, server.Position)
			continue
		}
		if !d.table.IsNewer(server.ID, server.Position) {
			continue
		}
		isToldOn := d.news.Learn(now, item)
		switch {
		case server.Draining && d.table.IsAvailable(server.ID):
			changes = append(changes, d.table.MarkDraining(server.ID, server.Position))
		case isToldOn:
			server.ColdRemaining = max(0, server.ColdRemaining-item.Age)
			changes = append(changes, d.table.ApplyAnnouncement(server)...)
		default:
			continue
		}
		d.heard = storepos.Later(d.heard, server.Position)
	}
	return changes
}

// tell returns the news that are told in this period.
func (d *directory) tell(now time.Time) []gossip.ServerChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.news.TakeDue(now)
}

// standing is a digest of the servers known, and the position they are from.
func (d *directory) standing() (digest uint64, at storepos.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Digest(), d.newest()
}

// completeTo is the position up to which the servers are known.
func (d *directory) completeTo() storepos.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Position()
}

// settles reports whether the list is to be read anew, as entries of an earlier era were kept.
func (d *directory) settles(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ReloadDue(now)
}

// awaiting counts the servers of which an entry of an earlier era is kept.
func (d *directory) awaiting(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.EarlierEraCount(now)
}

// eraAge is how long the era of what is known has been known; ok is false where no other came before.
func (d *directory) eraAge(now time.Time) (age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.EraAge(now)
}

// beginEra takes from a peer that the era began at that time.
func (d *directory) beginEra(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.table.EraAge(at); !ok {
		d.table.BeginEra(at)
	}
}

// newest is the latest position of what is known. The lock is held.
func (d *directory) newest() storepos.Position { return storepos.Later(d.table.Position(), d.heard) }

// lags reports whether a peer has known other servers from a later position, or
// confirmed later, for longer than news take: somebody is to be asked.
func (d *directory) lags(now time.Time, digest uint64, at storepos.Position, isFresher bool, tolerated time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case at.Era > d.newest().Era:
		return true
	case digest == d.table.Digest():
		d.lagSince = time.Time{}
	case !at.WithDefaultEra(d.newest().Era).IsAfter(d.newest()) && !isFresher:
	case d.lagSince.IsZero():
		d.lagSince = now
	case now.Sub(d.lagSince) > tolerated:
		d.lagSince = time.Time{}
		return true
	}
	return false
}
