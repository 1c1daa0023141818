package allotment

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Confirm lowers the ceilings of the zone to its limits for the models given.
// The caller must hold an established round whose fence carries at least the
// generation of the record that lowered them, over every engine of the zone,
// with no more replicas than the limit.
func Confirm(record Record, zone fleet.Zone, models []fleet.ModelVersion) Record {
	next := record.Clone()
	for _, model := range models {
		decision, found := next.Models[model]
		if !found {
			continue
		}
		share := decision.Zones[zone]
		share.Ceiling = share.Limit
		decision.Zones[zone] = share
		next.Models[model] = settle(decision)
	}
	return next.advanced()
}

// WithEngines replaces the zone's engines: those given are added, those gone
// for good are taken out. It reports whether anything changed.
func WithEngines(record Record, zone fleet.Zone, present, gone []fleet.BackendName) (Record, bool) {
	current := record.Engines(zone)
	set := make(map[fleet.BackendName]bool, len(current)+len(present))
	for _, name := range current {
		set[name] = true
	}
	for _, name := range present {
		set[name] = true
	}
	for _, name := range gone {
		delete(set, name)
	}
	names := slices.Sorted(maps.Keys(set))
	if slices.Equal(names, current) {
		return record, false
	}
	next := record.Clone()
	next.Zones[zone] = ZoneEntry{Engines: names}
	return next.advanced(), true
}

// Restored is the same decision as a later record, for a store that lost it.
func (r Record) Restored() Record { return r.Clone().advanced() }

func (r Record) advanced() Record {
	r.Generation++
	return r
}

// settle lowers the decided number as far as the ceilings allow, and raises it
// at once.
func settle(decision Decision) Decision {
	decision.Decided = max(decision.Target, decision.CeilingSum())
	return decision
}
