package edge

import (
	"context"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// evacuations is what a node knows of evacuated zones. A few nodes ask the store, as
// for the configuration, and all tell each other the whole list with the revision that
// it is from: who hears a newer one goes by it at once. It is safe for concurrent use.
type evacuations struct {
	node *Node
	// confirmed is when some node's call to the store last confirmed the list.
	confirmed confirmation
	// nudge ends a watch that seems to have missed something.
	nudge chan struct{}

	// mu is held while a change is put in force, so that an older one does not come
	// after a newer.
	mu    sync.Mutex
	table *evacuation.Table
	// doubted are the zones in force that were reported as unknown.
	doubted map[string]bool
}

func newEvacuations(node *Node) *evacuations {
	return &evacuations{
		node:      node,
		confirmed: confirmation{within: node.options.EvacuateWithin},
		nudge:     make(chan struct{}, 1),
		table:     evacuation.New(),
		doubted:   make(map[string]bool),
	}
}

// isOn reports whether the platform evacuates zones at all.
func (e *evacuations) isOn() bool { return e.node.options.EvacuateWithin > 0 }

// areKnown reports whether requests may be sent: a node that has just started could
// send them to an evacuated zone.
func (e *evacuations) areKnown() bool {
	if !e.isOn() {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.IsInitialized()
}

// zones are the evacuated zones by name.
func (e *evacuations) zones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Zones()
}

// isEvacuated reports whether nothing new may be sent to servers of the zone.
func (e *evacuations) isEvacuated(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.IsEvacuated(zone)
}

// follow keeps the store's list in force.
func (e *evacuations) follow(ctx context.Context) {
	if !e.isOn() {
		return
	}
	e.node.follow(ctx, followed{what: "evacuations", confirmed: &e.confirmed, nudge: e.nudge, read: e.read, watch: e.watch})
}

func (e *evacuations) read(ctx context.Context) (at storepos.Position, err error) {
	asked := clock.Now()
	word, err := e.node.options.Store.Evacuations(ctx)
	if err != nil {
		return word.Position, err
	}
	e.list(asked, word)
	return word.Position, nil
}

// watch waits for changes once; a nudge ends the wait.
func (e *evacuations) watch(ctx context.Context, from storepos.Position) (at storepos.Position, err error) {
	ctx, cancel := nudged(ctx, e.nudge)
	defer cancel()
	asked, wait := clock.Now(), e.node.watchTimeOf(&e.confirmed)
	events, at, err := e.node.options.Store.WatchEvacuations(ctx, from, wait)
	if err != nil {
		return at, err
	}
	e.node.storeAnswered()
	e.apply(events, at)
	if len(events) == 0 {
		e.confirmed.confirm(confirmedBy(asked, wait, clock.Now()))
		return at, nil
	}
	e.confirmed.confirm(asked)
	e.node.peers.tick()
	return at, nil
}

// list puts the store's whole list in force, asked for at asked, unless it is older than the one known.
func (e *evacuations) list(asked time.Time, word evacuation.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.use(e.table.ApplyStoreSnapshot(clock.Now(), asked, word), "read", 0)
}

// settle ends what was kept over a change of the store's era.
func (e *evacuations) settle(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.use(e.table.ExpireRollbackOverrides(now), "era_settled", 0)
}

// take puts a peer's whole list in force, unless it is not newer than the one known.
func (e *evacuations) take(word evacuation.Snapshot, from string, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.use(e.table.ApplyPeerSnapshot(clock.Now(), word), from, age)
}

func (e *evacuations) apply(events []evacuation.Event, at storepos.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.use(e.table.ApplyEvents(clock.Now(), events, at), "watch", 0)
}

// use puts changes in force. The lock is held.
func (e *evacuations) use(changes []evacuation.Change, from string, age time.Duration) {
	if len(changes) == 0 {
		return
	}
	zones := e.table.Zones()
	now := clock.Now()
	e.node.dispatch.Do(func(core *dispatch.Core) {
		for _, change := range changes {
			if change.Kind == evacuation.Ended {
				core.MarkPossiblyCold(now, change.Zone, change.Position)
			}
		}
		core.SetEvacuated(zones)
	})
	for _, change := range changes {
		e.log(change, from, age)
	}
}

func (e *evacuations) log(change evacuation.Change, from string, age time.Duration) {
	event := "evacuation_in_force"
	if change.Kind == evacuation.Ended {
		event = "evacuation_ended"
		delete(e.doubted, change.Zone)
	}
	e.node.options.Logger.Info().Str("zone", change.Zone).Str("what", change.Kind.String()).
		Str("position", change.Position.String()).Str("from", from).Int64("age_ms", age.Milliseconds()).Msg(event)
}

// reportUnknown writes once for each evacuation whose zone neither the settings nor any
// server names: it stays in force, but may be misspelt.
func (e *evacuations) reportUnknown() {
	if !e.node.hasServers.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	unknown := e.table.UnknownZones(e.node.knowsZone)
	for _, zone := range unknown {
		if !e.doubted[zone] {
			e.doubted[zone] = true
			e.node.options.Logger.Warn().Str("place", "evacuations/"+zone).
				Str("reason", "no server and no setting names this zone; the evacuation stays in force").Msg("evacuation_of_unknown_zone")
		}
	}
}

// knowsZone reports whether the settings or a server names the zone.
func (n *Node) knowsZone(zone string) bool {
	for _, named := range n.options.Zones {
		if named == zone {
			return true
		}
	}
	known := false
	n.dispatch.Do(func(core *dispatch.Core) { known = core.KnowsZone(zone) })
	return known
}

// toldZoneBytes bounds the names of zones in a datagram: of more zones it has a digest.
const toldZoneBytes = 512

// wire is what datagrams tell; nil where nothing is known.
func (e *evacuations) wire(now time.Time) *peerpb.Evacuations {
	told := e.whole(now)
	if told == nil {
		return nil
	}
	bytes := 0
	for _, zone := range told.Zones {
		bytes += len(zone)
	}
	if bytes > toldZoneBytes {
		e.mu.Lock()
		told.Zones, told.Abridged = nil, e.table.Digest()
		e.mu.Unlock()
	}
	return told
}

// whole is the whole list; nil where nothing is known.
func (e *evacuations) whole(now time.Time) *peerpb.Evacuations {
	if !e.isOn() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.table.IsInitialized() {
		return nil
	}
	word := e.table.SnapshotWithRetained(now)
	return &peerpb.Evacuations{
		Era: word.Position.Era, Revision: word.Position.Revision, Zones: word.Zones, AgeMs: e.confirmed.wire(now),
		Kept: word.Retained, KeptMs: uint32(max(0, word.RetainedFor).Milliseconds()),
	}
}

// hear takes a peer's list, which goes before an older one of the store; the same list
// confirms the one known. Where the peer tells a digest of another it is asked for it.
func (e *evacuations) hear(now time.Time, address string, told *peerpb.Evacuations) {
	if told == nil || !e.isOn() {
		return
	}
	word := evacuation.Snapshot{
		Zones: told.Zones, Position: storepos.At(told.Era, told.Revision),
		Retained: told.Kept, RetainedFor: time.Duration(told.KeptMs) * time.Millisecond,
	}
	isSame, isNewer := e.compare(&word, told.Abridged)
	switch {
	case isNewer && !isSame && told.Abridged != 0:
		e.node.snapshots.want(wantedSnapshot{address: address})
		return
	case isNewer:
		e.take(word, address, time.Duration(max(1, told.AgeMs)-1)*time.Millisecond)
	case !isSame:
		return
	}
	e.confirmed.hear(now, told.AgeMs)
}

// compare tells whether a peer's list names the zones known, and whether it is from a
// later position: then also the same one counts, since lists of positions between may be
// under way. Where the peer told a digest alone of the zones known the word gets them.
func (e *evacuations) compare(word *evacuation.Snapshot, abridged uint64) (isSame, isNewer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.table.Snapshot()
	word.Position = word.Position.WithDefaultEra(known.Position.Era)
	digest := abridged
	if digest == 0 {
		digest = word.Digest()
	}
	isSame = e.table.IsInitialized() && digest == known.Digest()
	if isSame {
		word.Zones = known.Zones
	}
	return isSame, !e.table.IsInitialized() || word.Position.IsAfter(known.Position)
}
