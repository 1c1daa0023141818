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

// evacuations holds the evacuated zones known to a node. As for the configuration, a few nodes
// query the store, and all nodes exchange the whole list with its revision. A node applies a
// newer list at once. It is safe for concurrent use.
type evacuations struct {
	node *Node
	// confirmed records when some node's call to the store last confirmed the list.
	confirmed confirmation
	// refresh ends a watch that may have missed a change.
	refresh chan struct{}

	// mu is held while a change is put into effect, so that an older change cannot follow a
	// newer one.
	mu    sync.Mutex
	table *evacuation.Table
	// reportedUnknown holds the zones in force that were reported as unknown.
	reportedUnknown map[string]bool
}

func newEvacuations(node *Node) *evacuations {
	table := evacuation.New()
	table.ExpectPeers()
	return &evacuations{
		node:            node,
		confirmed:       confirmation{applyWithin: node.options.EvacuateWithin},
		refresh:         make(chan struct{}, 1),
		table:           table,
		reportedUnknown: make(map[string]bool),
	}
}

// isEnabled reports whether the platform evacuates zones at all.
func (e *evacuations) isEnabled() bool { return e.node.options.EvacuateWithin > 0 }

// isInitialized reports whether requests may be sent. A node that has just started might
// otherwise send them to an evacuated zone.
func (e *evacuations) isInitialized() bool {
	if !e.isEnabled() {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.IsInitialized()
}

// zones returns the evacuated zones by name.
func (e *evacuations) zones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Zones()
}

// isEvacuated reports whether new work must not be sent to servers of the zone.
func (e *evacuations) isEvacuated(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.IsEvacuated(zone)
}

// follow keeps the store's list in force.
func (e *evacuations) follow(ctx context.Context) {
	if !e.isEnabled() {
		return
	}
	e.node.follow(ctx, storeResource{name: "evacuations", confirmed: &e.confirmed, refresh: e.refresh, read: e.read, watch: e.watch})
}

func (e *evacuations) read(ctx context.Context) (at storepos.Position, err error) {
	requestedAt := clock.Now()
	snapshot, err := e.node.options.Store.Evacuations(ctx)
	if err != nil {
		return snapshot.Position, err
	}
	e.applyStoreList(requestedAt, snapshot)
	return snapshot.Position, nil
}

// watch waits once for changes; a refresh signal ends the wait.
func (e *evacuations) watch(ctx context.Context, from storepos.Position) (at storepos.Position, err error) {
	ctx, cancel := cancelOnSignal(ctx, e.refresh)
	defer cancel()
	requestedAt, wait := clock.Now(), e.node.watchTimeoutFor(&e.confirmed)
	events, at, err := e.node.options.Store.WatchEvacuations(ctx, from, wait)
	if err != nil {
		return at, err
	}
	e.node.recordStoreSuccess()
	e.applyEvents(events, at)
	if len(events) == 0 {
		e.confirmed.confirm(confirmedUntil(requestedAt, wait, clock.Now()))
		return at, nil
	}
	e.confirmed.confirm(requestedAt)
	e.node.peers.tick()
	return at, nil
}

// applyStoreList applies the store's whole list, requested at requestedAt, unless it is older
// than the known one.
func (e *evacuations) applyStoreList(requestedAt time.Time, snapshot evacuation.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activate(e.table.ApplyStoreSnapshot(clock.Now(), requestedAt, snapshot), "read", 0)
}

// expireOverrides ends evacuations that were kept across a change of the store's era.
func (e *evacuations) expireOverrides(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activate(e.table.ExpireRollbackOverrides(now), "era_settled", 0)
}

// applyPeerList applies a peer's whole list unless it is not newer than the known one.
func (e *evacuations) applyPeerList(snapshot evacuation.Snapshot, from string, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activate(e.table.ApplyPeerSnapshot(clock.Now(), snapshot), from, age)
}

func (e *evacuations) applyEvents(events []evacuation.Event, at storepos.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activate(e.table.ApplyEvents(clock.Now(), events, at), "watch", 0)
}

// activate puts changes into effect. e.mu must be held.
func (e *evacuations) activate(changes []evacuation.Change, from string, age time.Duration) {
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
		e.logChange(change, from, age)
	}
}

func (e *evacuations) logChange(change evacuation.Change, from string, age time.Duration) {
	event := "evacuation_in_force"
	if change.Kind == evacuation.Ended {
		event = "evacuation_ended"
		delete(e.reportedUnknown, change.Zone)
	}
	e.node.options.Logger.Info().Str("zone", change.Zone).Str("what", change.Kind.String()).
		Str("position", change.Position.String()).Str("from", from).Int64("age_ms", age.Milliseconds()).Msg(event)
}

// reportUnknown logs, once for each evacuation, that neither the settings nor any server name
// its zone. The evacuation stays in force, but the zone may be misspelled.
func (e *evacuations) reportUnknown() {
	if !e.node.hasServers.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	unknown := e.table.UnknownZones(e.node.knowsZone)
	for _, zone := range unknown {
		if !e.reportedUnknown[zone] {
			e.reportedUnknown[zone] = true
			e.node.options.Logger.Warn().Str("place", "evacuations/"+zone).
				Str("reason", "no server and no setting names this zone; the evacuation stays in force").Msg("evacuation_of_unknown_zone")
		}
	}
}

// knowsZone reports whether the settings or a server name the zone.
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

// maxZoneNameBytes bounds the zone names in a datagram; longer lists are replaced by a digest.
const maxZoneNameBytes = 512

// encode returns the list for datagrams, or nil if nothing is known.
func (e *evacuations) encode(now time.Time) *peerpb.Evacuations {
	encoded := e.encodeFull(now)
	if encoded == nil {
		return nil
	}
	nameBytes := 0
	for _, zone := range encoded.Zones {
		nameBytes += len(zone)
	}
	if nameBytes > maxZoneNameBytes {
		e.mu.Lock()
		encoded.Zones, encoded.Abridged = nil, e.table.Digest()
		e.mu.Unlock()
	}
	return encoded
}

// encodeFull returns the complete list, or nil if nothing is known.
func (e *evacuations) encodeFull(now time.Time) *peerpb.Evacuations {
	if !e.isEnabled() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.table.IsInitialized() {
		return nil
	}
	snapshot := e.table.SnapshotWithRetained(now)
	return &peerpb.Evacuations{
		Era: snapshot.Position.Era, Revision: snapshot.Position.Revision, Zones: snapshot.Zones, AgeMs: e.confirmed.encodedAge(now),
		Kept: snapshot.Retained, KeptMs: uint32(max(0, snapshot.RetainedFor).Milliseconds()),
		PriorEra: snapshot.Prior.Era, PriorRevision: snapshot.Prior.Revision,
	}
}

// receive applies a peer's list, which takes precedence over an older one of the store. An equal
// list confirms the known one. If the peer sent only the digest of a different list, that list
// is requested.
func (e *evacuations) receive(now time.Time, address string, encoded *peerpb.Evacuations) {
	if encoded == nil || !e.isEnabled() {
		return
	}
	snapshot := evacuation.Snapshot{
		Zones: encoded.Zones, Position: storepos.At(encoded.Era, encoded.Revision),
		Retained: encoded.Kept, RetainedFor: time.Duration(encoded.KeptMs) * time.Millisecond,
		Prior: storepos.At(encoded.PriorEra, encoded.PriorRevision),
	}
	isSame, isNewer := e.compare(&snapshot, encoded.Abridged)
	hasZones := isSame || encoded.Abridged == 0
	if isNewer && !hasZones {
		e.node.snapshots.enqueue(wantedSnapshot{address: address})
		return
	}
	if hasZones {
		// An older list may tell what the peer knew before the store was restored.
		e.applyPeerList(snapshot, address, time.Duration(max(1, encoded.AgeMs)-1)*time.Millisecond)
	}
	if !isNewer && !isSame {
		return
	}
	e.confirmed.receiveAge(now, encoded.AgeMs)
}

// compare reports whether a peer's list names the known zones, and whether it is from a later
// position. A later position counts even for an equal list, since lists of positions in between
// may still arrive. If the peer sent only the digest of the known zones, snapshot is filled with
// them.
func (e *evacuations) compare(snapshot *evacuation.Snapshot, abridged uint64) (isSame, isNewer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.table.Snapshot()
	snapshot.Position = snapshot.Position.WithDefaultEra(known.Position.Era)
	digest := abridged
	if digest == 0 {
		digest = snapshot.Digest()
	}
	isSame = e.table.IsInitialized() && digest == known.Digest()
	if isSame {
		snapshot.Zones = known.Zones
	}
	return isSame, !e.table.IsInitialized() || snapshot.Position.IsAfter(known.Position)
}
