package evacuation

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Snapshot is the whole list of evacuated zones as of a position of the store, as the
// store or a peer tells it.
type Snapshot struct {
	Zones    []string
	Position storepos.Position
	// Retained are zones that stay evacuated though the store's copy lists them no more, for KeptFor yet:
	// for who knows of none before.
	Retained    []string
	RetainedFor time.Duration
}

// Digest is a number that two words have in common which name the same zones, as of
// whichever positions. It is not 0.
func (w Snapshot) Digest() uint64 {
	digest := fnv.New64a()
	for _, zone := range slices.Compact(slices.Sorted(slices.Values(w.Zones))) {
		_, _ = digest.Write([]byte(zone))
		_, _ = digest.Write([]byte{0})
	}
	return max(1, digest.Sum64())
}

// Event is one step that the store tells of: an evacuation that was declared, or
// taken back.
type Event struct {
	Zone  string
	Ended bool
}

// Kind is what became of the evacuation of a zone.
type Kind int

const (
	// Begun is an evacuation that is in force from now on.
	Begun Kind = iota + 1
	// Renewed is one that was taken back and declared anew before anybody here
	// could go by it: it stays in force throughout.
	Renewed
	// Ended is one that was taken back.
	Ended
)

// String names the kind in logs.
func (k Kind) String() string {
	return [...]string{"none", "begun", "renewed", "ended"}[k]
}

// Change is what a word or event changed for one zone.
type Change struct {
	Zone string
	Kind Kind
	// Position is that of the word.
	Position storepos.Position
}

// oldestCopy is how old a copy of the store is at the most.
const oldestCopy = time.Minute

// Table is what one process knows of evacuations. Its position only grows: a word
// as of an older one changes nothing, whoever tells it. What was known before the store came back
// from a copy stays until it is written again, or storepos.RewriteTime is over. It is not safe for
// concurrent use.
type Table struct {
	zones map[string]bool
	ended map[string]time.Time
	// position is up to which the table is complete, and entered when its era was first heard of.
	position storepos.Position
	entered  time.Time
	isKnown  bool
	// kept are zones in force that the copy does not list, and withheld those that it lists though
	// they had been taken back, by when that ends.
	kept, withheld map[string]time.Time
}

// New returns a table that knows nothing.
func New() *Table {
	return &Table{
		zones: make(map[string]bool), ended: make(map[string]time.Time),
		kept: make(map[string]time.Time), withheld: make(map[string]time.Time),
	}
}

// IsInitialized reports whether anything told which zones are evacuated. Until then
// nothing may be sent to any server.
func (t *Table) IsInitialized() bool { return t.isKnown }

// Position is that of the store up to which the table is complete.
func (t *Table) Position() storepos.Position { return t.position }

// IsEvacuated reports whether nothing new may be sent to servers of the zone.
func (t *Table) IsEvacuated(zone string) bool { return t.zones[zone] }

// Zones are the evacuated zones by name.
func (t *Table) Zones() []string { return slices.Sorted(maps.Keys(t.zones)) }

// Snapshot is what the store lists, as peers are told it. What is kept over an era is no part of it: a
// peer may have heard that it ended.
func (t *Table) Snapshot() Snapshot {
	listed := maps.Clone(t.zones)
	for zone := range t.kept {
		delete(listed, zone)
	}
	for zone := range t.withheld {
		listed[zone] = true
	}
	return Snapshot{Zones: slices.Sorted(maps.Keys(listed)), Position: t.position}
}

// SnapshotWithRetained is the word with what is kept over an era.
func (t *Table) SnapshotWithRetained(now time.Time) Snapshot {
	word := t.Snapshot()
	word.Retained = slices.Sorted(maps.Keys(t.kept))
	for _, until := range t.kept {
		word.RetainedFor = max(word.RetainedFor, until.Sub(now))
	}
	return word
}

// Digest is that of the table's word.
func (t *Table) Digest() uint64 { return t.Snapshot().Digest() }

// EndedAt is when this process learned that the zone's evacuation had ended; ok is
// false where none did, or the zone is evacuated again. The zone's servers may have
// gone cold in the meantime.
func (t *Table) EndedAt(zone string) (at time.Time, ok bool) {
	at, ok = t.ended[zone]
	return at, ok
}

// UnknownZones are the evacuated zones that isKnown says no to: they were misspelt, or
// have no servers yet. They stay in force.
func (t *Table) UnknownZones(isKnown func(zone string) bool) []string {
	return slices.DeleteFunc(t.Zones(), isKnown)
}

// ApplyStoreSnapshot puts the store's whole list in force, asked for at asked, and returns what it changed. An
// older list changes nothing, unless it was asked for after a later era was heard of, which then
// was told wrongly.
func (t *Table) ApplyStoreSnapshot(now, asked time.Time, word Snapshot) []Change {
	isWrong := word.Position.Era < t.position.Era && asked.After(t.entered)
	if t.isKnown && word.Position.IsBefore(t.position) && !isWrong {
		return nil
	}
	return t.put(now, word)
}

// ApplyPeerSnapshot puts a peer's whole list in force, and returns what it
// changed. A list that is not newer than the table changes nothing.
func (t *Table) ApplyPeerSnapshot(now time.Time, word Snapshot) []Change {
	if t.isKnown && !word.Position.IsAfter(t.position) {
		return nil
	}
	return t.put(now, word)
}

func (t *Table) put(now time.Time, word Snapshot) []Change {
	isOfCopy := t.isKnown && word.Position.Era > t.position.Era
	if word.Position.Era != t.position.Era {
		t.entered = now
	}
	if !t.isKnown {
		for _, zone := range word.Retained {
			t.zones[zone], t.kept[zone] = true, now.Add(min(storepos.RestoreRewriteTime, word.RetainedFor))
		}
	}
	t.isKnown, t.position = true, word.Position
	listed := make(map[string]bool, len(word.Zones))
	for _, zone := range word.Zones {
		listed[zone] = zone != ""
	}
	var changes []Change
	for _, zone := range t.Zones() {
		if isOfCopy && !listed[zone] {
			t.kept[zone] = now.Add(storepos.RestoreRewriteTime)
		}
		if !listed[zone] && !now.Before(t.kept[zone]) {
			changes = append(changes, t.end(now, zone))
		}
	}
	for zone := range t.withheld {
		if !listed[zone] {
			delete(t.withheld, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(listed)) {
		if !listed[zone] {
			continue
		}
		delete(t.kept, zone)
		if ended, ok := t.ended[zone]; isOfCopy && ok && now.Sub(ended) < oldestCopy {
			t.withheld[zone] = now.Add(storepos.RestoreRewriteTime)
		}
		if !t.zones[zone] && !now.Before(t.withheld[zone]) {
			changes = append(changes, t.begin(zone))
		}
	}
	return changes
}

// ExpireRollbackOverrides ends what was kept over a change of the store's era, and not written again.
func (t *Table) ExpireRollbackOverrides(now time.Time) []Change {
	var changes []Change
	for _, zone := range slices.Sorted(maps.Keys(t.kept)) {
		if !now.Before(t.kept[zone]) {
			changes = append(changes, t.end(now, zone))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(t.withheld)) {
		if !now.Before(t.withheld[zone]) {
			changes = append(changes, t.begin(zone))
		}
	}
	return changes
}

// ApplyEvents takes what happened behind some position that the table covers, up to the
// given one of the same era, and returns what it changed. Of each zone the last event counts.
func (t *Table) ApplyEvents(now time.Time, events []Event, at storepos.Position) []Change {
	if !t.isKnown || at.IsBefore(t.position) || at.Era != t.position.Era {
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
		switch isOn := t.zones[zone]; {
		case last[zone].Ended && isOn:
			changes = append(changes, t.end(now, zone))
		case last[zone].Ended:
			// Declared and taken back in one moment, or known before.
			delete(t.withheld, zone)
		case isOn && wasEnded[zone]:
			delete(t.kept, zone)
			changes = append(changes, Change{Zone: zone, Kind: Renewed, Position: at})
		case !isOn:
			changes = append(changes, t.begin(zone))
		default:
			delete(t.kept, zone)
		}
	}
	return changes
}

func (t *Table) begin(zone string) Change {
	t.zones[zone] = true
	delete(t.ended, zone)
	delete(t.withheld, zone)
	return Change{Zone: zone, Kind: Begun, Position: t.position}
}

func (t *Table) end(now time.Time, zone string) Change {
	delete(t.zones, zone)
	delete(t.kept, zone)
	t.ended[zone] = now
	return Change{Zone: zone, Kind: Ended, Position: t.position}
}
