package evacuation

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Snapshot is the complete list of evacuated zones at a position of the store, as obtained from
// the store or a peer.
type Snapshot struct {
	Zones    []string
	Position storepos.Position
	// Retained are zones that stay evacuated for RetainedFor although the restored store no
	// longer lists them. A table applies them if it is not yet initialized, or if it expects peers
	// and knew less than the sender before the restore.
	Retained    []string
	RetainedFor time.Duration
	// Prior is the position of an earlier era up to which the sender knew the evacuations before the
	// store was restored; zero if it knew none, or if the store has been written again since.
	Prior storepos.Position
}

// Digest returns a nonzero number that is equal for snapshots that list the same zones,
// regardless of their positions.
func (s Snapshot) Digest() uint64 {
	digest := fnv.New64a()
	for _, zone := range slices.Compact(slices.Sorted(slices.Values(s.Zones))) {
		_, _ = digest.Write([]byte(zone))
		_, _ = digest.Write([]byte{0})
	}
	return max(1, digest.Sum64())
}

// Event is a change reported by the store: an evacuation that began or ended.
type Event struct {
	Zone  string
	Ended bool
}

// Kind is how the evacuation of a zone changed.
type Kind int

const (
	// Begun is an evacuation that takes effect now.
	Begun Kind = iota + 1
	// Renewed is an evacuation that ended and began again before this process could act on its
	// end. It stays in effect throughout.
	Renewed
	// Ended is an evacuation that no longer applies.
	Ended
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	return [...]string{"none", "begun", "renewed", "ended"}[k]
}

// Change is how a snapshot or event changed the evacuation of one zone.
type Change struct {
	Zone string
	Kind Kind
	// Position is the store position of the snapshot or event.
	Position storepos.Position
}

// maxCopyAge is the maximum age of the copy from which the store is restored.
const maxCopyAge = time.Minute

// Table holds the evacuations known to one process. Its position only advances: a snapshot of an
// earlier position changes nothing, whatever its source. When the store was restored from an
// older copy, which starts a new era, the state from before is kept until it is written again or
// storepos.RestoreRewriteTime has passed. It is not safe for concurrent use.
type Table struct {
	zones   map[string]bool
	endedAt map[string]time.Time
	// position is the store position up to which the table is complete, and eraSeenAt is when its
	// era was first seen.
	position      storepos.Position
	eraSeenAt     time.Time
	isInitialized bool
	// retained are evacuated zones that the restored store does not list, and suppressed are
	// zones that it lists although their evacuation had ended. The values are the times at which
	// that expires.
	retained, suppressed map[string]time.Time
	// expectsPeers is set if peers' lists may come after those of the store.
	expectsPeers bool
	// prior is the latest position of an earlier era up to which the evacuations were known here, or
	// to a peer whose list was taken in; zero if nobody's is known.
	prior storepos.Position
	// endedInEra are the zones whose evacuation ended in the era of the table's position.
	endedInEra map[string]bool
}

// New returns an empty table that is not initialized.
func New() *Table {
	return &Table{
		zones: make(map[string]bool), endedAt: make(map[string]time.Time),
		retained: make(map[string]time.Time), suppressed: make(map[string]time.Time), endedInEra: make(map[string]bool),
	}
}

// ExpectPeers makes the table take in what peers know from before the store was restored, also after
// the store's list.
func (t *Table) ExpectPeers() { t.expectsPeers = true }

// IsInitialized reports whether a snapshot was applied. Before, it is unknown which zones are
// evacuated, so no requests may be sent to any server.
func (t *Table) IsInitialized() bool { return t.isInitialized }

// Position returns the store position up to which the table is complete.
func (t *Table) Position() storepos.Position { return t.position }

// IsEvacuated reports whether no new requests may be sent to servers of the zone.
func (t *Table) IsEvacuated(zone string) bool { return t.zones[zone] }

// Zones returns the evacuated zones, sorted by name.
func (t *Table) Zones() []string { return slices.Sorted(maps.Keys(t.zones)) }

// Snapshot returns what the store lists, for use by peers. Zones retained over an era change are
// not included, because a peer may have seen their evacuation end.
func (t *Table) Snapshot() Snapshot {
	listed := maps.Clone(t.zones)
	for zone := range t.retained {
		delete(listed, zone)
	}
	for zone := range t.suppressed {
		listed[zone] = true
	}
	return Snapshot{Zones: slices.Sorted(maps.Keys(listed)), Position: t.position}
}

// SnapshotWithRetained returns the snapshot including the zones retained over an era change.
func (t *Table) SnapshotWithRetained(now time.Time) Snapshot {
	snapshot := t.Snapshot()
	snapshot.Retained = slices.Sorted(maps.Keys(t.retained))
	for _, until := range t.retained {
		snapshot.RetainedFor = max(snapshot.RetainedFor, until.Sub(now))
	}
	if t.isPriorOpen(now) {
		snapshot.Prior = t.prior
	}
	return snapshot
}

// Digest returns the digest of the table's snapshot.
func (t *Table) Digest() uint64 { return t.Snapshot().Digest() }

// EndedAt returns when this process learned that the evacuation of the zone ended; ok is false if
// none did, or if the zone is evacuated again. The zone's servers may have gone cold during the
// evacuation.
func (t *Table) EndedAt(zone string) (at time.Time, ok bool) {
	at, ok = t.endedAt[zone]
	return at, ok
}

// UnknownZones returns the evacuated zones for which isKnown returns false. They are misspelt or
// have no servers yet, and stay evacuated.
func (t *Table) UnknownZones(isKnown func(zone string) bool) []string {
	return slices.DeleteFunc(t.Zones(), isKnown)
}

// ApplyStoreSnapshot applies the complete list read from the store and returns the changes. An
// older list changes nothing, unless it was requested after a later era had been seen: the store
// then contradicts that era, which must have been reported in error.
func (t *Table) ApplyStoreSnapshot(now, requestedAt time.Time, snapshot Snapshot) []Change {
	wasEraRetracted := snapshot.Position.Era < t.position.Era && requestedAt.After(t.eraSeenAt)
	if t.isInitialized && snapshot.Position.IsBefore(t.position) && !wasEraRetracted {
		return nil
	}
	return t.replace(now, snapshot)
}

// ApplyPeerSnapshot applies the complete list of a peer and returns the changes. A list that is
// not newer than the table changes nothing but what the peer knows from before the store was
// restored.
func (t *Table) ApplyPeerSnapshot(now time.Time, snapshot Snapshot) []Change {
	var changes []Change
	if !t.isInitialized || snapshot.Position.IsAfter(t.position) {
		changes = t.replace(now, snapshot)
	}
	return append(changes, t.mergePrior(now, snapshot)...)
}

// isPriorOpen reports whether the store, which may have been restored, may not have been written
// again yet.
func (t *Table) isPriorOpen(now time.Time) bool {
	return t.isInitialized && t.position.Era > 0 && now.Before(t.eraSeenAt.Add(storepos.RestoreRewriteTime))
}

// mergePrior retains the zones that a peer knew to be evacuated before the store was restored, and
// ends the retention of others, if the peer knew more than is known here.
func (t *Table) mergePrior(now time.Time, snapshot Snapshot) []Change {
	prior, zones := snapshot.Prior, snapshot.Retained
	if snapshot.Position.Era < t.position.Era {
		prior, zones = snapshot.Position, slices.Concat(snapshot.Zones, snapshot.Retained)
	}
	mayKnowLess := t.expectsPeers || !t.prior.IsZero()
	if !mayKnowLess || !t.isPriorOpen(now) || snapshot.Position.Era > t.position.Era || !prior.IsAfter(t.prior) {
		return nil
	}
	t.prior = prior
	var changes []Change
	for _, zone := range slices.Sorted(maps.Keys(t.retained)) {
		if !slices.Contains(zones, zone) {
			changes = append(changes, t.endEvacuation(now, zone))
		}
	}
	for _, zone := range zones {
		if zone != "" && !t.zones[zone] && !t.endedInEra[zone] {
			t.retained[zone] = t.eraSeenAt.Add(storepos.RestoreRewriteTime)
			changes = append(changes, t.beginEvacuation(zone))
		}
	}
	return changes
}

// replace applies a complete list and returns the changes.
func (t *Table) replace(now time.Time, snapshot Snapshot) []Change {
	isRollback := t.isInitialized && snapshot.Position.Era > t.position.Era
	if snapshot.Position.Era != t.position.Era {
		t.eraSeenAt, t.prior = now, t.position
		clear(t.endedInEra)
	}
	var changes []Change
	if !t.isInitialized {
		t.prior = snapshot.Prior
		for _, zone := range snapshot.Retained {
			t.retained[zone] = now.Add(min(storepos.RestoreRewriteTime, snapshot.RetainedFor))
			changes = append(changes, t.beginEvacuation(zone))
		}
	}
	t.isInitialized, t.position = true, snapshot.Position
	listed := make(map[string]bool, len(snapshot.Zones))
	for _, zone := range snapshot.Zones {
		listed[zone] = zone != ""
	}
	for _, zone := range t.Zones() {
		if isRollback && !listed[zone] {
			t.retained[zone] = now.Add(storepos.RestoreRewriteTime)
		}
		if !listed[zone] && !now.Before(t.retained[zone]) {
			t.endedInEra[zone] = true
			changes = append(changes, t.endEvacuation(now, zone))
		}
	}
	for zone := range t.suppressed {
		if !listed[zone] {
			delete(t.suppressed, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(listed)) {
		if !listed[zone] {
			continue
		}
		delete(t.retained, zone)
		if ended, ok := t.endedAt[zone]; isRollback && ok && now.Sub(ended) < maxCopyAge {
			t.suppressed[zone] = now.Add(storepos.RestoreRewriteTime)
		}
		if !t.zones[zone] && !now.Before(t.suppressed[zone]) {
			changes = append(changes, t.beginEvacuation(zone))
		}
	}
	return changes
}

// ExpireRollbackOverrides ends the retention and suppression of zones whose time is over without
// the store having been written again, and returns the changes.
func (t *Table) ExpireRollbackOverrides(now time.Time) []Change {
	var changes []Change
	for _, zone := range slices.Sorted(maps.Keys(t.retained)) {
		if !now.Before(t.retained[zone]) {
			changes = append(changes, t.endEvacuation(now, zone))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(t.suppressed)) {
		if !now.Before(t.suppressed[zone]) {
			changes = append(changes, t.beginEvacuation(zone))
		}
	}
	return changes
}

// ApplyEvents applies the events between a position that the table covers and the given later
// position of the same era, and returns the changes. The last event of each zone determines its
// state.
func (t *Table) ApplyEvents(now time.Time, events []Event, at storepos.Position) []Change {
	if !t.isInitialized || at.IsBefore(t.position) || at.Era != t.position.Era {
		return nil
	}
	t.position = at
	last, wasEnded := make(map[string]Event), make(map[string]bool)
	for _, event := range events {
		if event.Zone == "" {
			continue
		}
		last[event.Zone] = event
		wasEnded[event.Zone] = wasEnded[event.Zone] || event.Ended
	}
	var changes []Change
	for _, zone := range slices.Sorted(maps.Keys(last)) {
		if last[zone].Ended {
			t.endedInEra[zone] = true
		}
		switch isEvacuated := t.zones[zone]; {
		case last[zone].Ended && isEvacuated:
			changes = append(changes, t.endEvacuation(now, zone))
		case last[zone].Ended:
			// Began and ended within these events, or already known to have ended.
			delete(t.suppressed, zone)
		case isEvacuated && wasEnded[zone]:
			delete(t.retained, zone)
			changes = append(changes, Change{Zone: zone, Kind: Renewed, Position: at})
		case !isEvacuated:
			changes = append(changes, t.beginEvacuation(zone))
		default:
			delete(t.retained, zone)
		}
	}
	return changes
}

// beginEvacuation marks the zone as evacuated.
func (t *Table) beginEvacuation(zone string) Change {
	t.zones[zone] = true
	delete(t.endedAt, zone)
	delete(t.suppressed, zone)
	return Change{Zone: zone, Kind: Begun, Position: t.position}
}

// endEvacuation marks the zone as no longer evacuated.
func (t *Table) endEvacuation(now time.Time, zone string) Change {
	delete(t.zones, zone)
	delete(t.retained, zone)
	t.endedAt[zone] = now
	return Change{Zone: zone, Kind: Ended, Position: t.position}
}
