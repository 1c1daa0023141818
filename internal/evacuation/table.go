package evacuation

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Word is the whole list of evacuated zones as of a revision of the store, as the
// store or a peer tells it.
type Word struct {
	Zones    []string
	Revision int64
}

// Digest is a number that two words have in common which name the same zones, as of
// whichever revisions. It is not 0.
func (w Word) Digest() uint64 {
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
	// Revision is that of the word.
	Revision int64
}

// Table is what one process knows of evacuations. Its revision only grows: a word
// as of an older one changes nothing, whoever tells it. It is not safe for
// concurrent use.
type Table struct {
	zones map[string]bool
	ended map[string]time.Time
	// revision is up to which the table is complete.
	revision int64
	isKnown  bool
}

// New returns a table that knows nothing.
func New() *Table {
	return &Table{zones: make(map[string]bool), ended: make(map[string]time.Time)}
}

// IsKnown reports whether anything told which zones are evacuated. Until then
// nothing may be sent to any server.
func (t *Table) IsKnown() bool { return t.isKnown }

// Revision is the revision of the store up to which the table is complete.
func (t *Table) Revision() int64 { return t.revision }

// IsEvacuated reports whether nothing new may be sent to servers of the zone.
func (t *Table) IsEvacuated(zone string) bool { return t.zones[zone] }

// Zones are the evacuated zones by name.
func (t *Table) Zones() []string { return slices.Sorted(maps.Keys(t.zones)) }

// Word is the table as peers are told it.
func (t *Table) Word() Word { return Word{Zones: t.Zones(), Revision: t.revision} }

// Digest is that of the table's word.
func (t *Table) Digest() uint64 { return t.Word().Digest() }

// EndedAt is when this process learned that the zone's evacuation had ended; ok is
// false where none did, or the zone is evacuated again. The zone's servers may have
// gone cold in the meantime.
func (t *Table) EndedAt(zone string) (at time.Time, ok bool) {
	at, ok = t.ended[zone]
	return at, ok
}

// Unknown are the evacuated zones that isKnown says no to: they were misspelt, or
// have no servers yet. They stay in force.
func (t *Table) Unknown(isKnown func(zone string) bool) []string {
	return slices.DeleteFunc(t.Zones(), isKnown)
}

// Take puts a whole list, of the store or of a peer, in force, and returns what it
// changed. A list that is not newer than the table changes nothing.
func (t *Table) Take(now time.Time, word Word) []Change {
	if t.isKnown && word.Revision <= t.revision {
		return nil
	}
	t.isKnown, t.revision = true, word.Revision
	listed := make(map[string]bool, len(word.Zones))
	for _, zone := range word.Zones {
		listed[zone] = zone != ""
	}
	var changes []Change
	for _, zone := range t.Zones() {
		if !listed[zone] {
			changes = append(changes, t.end(now, zone))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(listed)) {
		if listed[zone] && !t.zones[zone] {
			changes = append(changes, t.begin(zone))
		}
	}
	return changes
}

// Apply takes what happened behind some revision that the table covers, up to the
// given one, and returns what it changed. Of each zone the last event counts.
func (t *Table) Apply(now time.Time, events []Event, revision int64) []Change {
	if !t.isKnown || revision < t.revision {
		return nil
	}
	t.revision = revision
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
		case isOn && wasEnded[zone]:
			changes = append(changes, Change{Zone: zone, Kind: Renewed, Revision: revision})
		case !isOn:
			changes = append(changes, t.begin(zone))
		}
	}
	return changes
}

func (t *Table) begin(zone string) Change {
	t.zones[zone] = true
	delete(t.ended, zone)
	return Change{Zone: zone, Kind: Begun, Revision: t.revision}
}

func (t *Table) end(now time.Time, zone string) Change {
	delete(t.zones, zone)
	t.ended[zone] = now
	return Change{Zone: zone, Kind: Ended, Revision: t.revision}
}
