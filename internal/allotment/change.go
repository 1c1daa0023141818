package allotment

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Confirm lowers the zone's ceilings of the given models to its limits. The caller
// must hold an established round over every engine of the zone, with no more
// replicas than the limit, whose fence carries at least the generation of the
// record that lowered the limits.
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
		next.Models[model] = updateReplicaLimit(decision)
	}
	return next.withNextGeneration()
}

// WithEngines updates the zone's engines: new ones among those present are added as
// joining, removed ones are dropped. It reports whether anything changed.
func WithEngines(record Record, zone fleet.Zone, present, removed []fleet.BackendName) (Record, bool) {
	entry := record.Zones[zone]
	isRemoved := func(name fleet.BackendName) bool { return slices.Contains(removed, name) }
	engines := slices.DeleteFunc(slices.Clone(entry.Engines), isRemoved)
	joining := slices.DeleteFunc(slices.Clone(entry.Joining), isRemoved)
	joinedAt := entry.JoinedAt
	for _, name := range present {
		if !isRemoved(name) && !slices.Contains(engines, name) && !slices.Contains(joining, name) {
			joining = append(joining, name)
			joinedAt = record.Generation + 1
		}
	}
	if len(engines) == len(entry.Engines) && len(joining) == len(entry.Joining) && joinedAt == entry.JoinedAt {
		return record, false
	}
	slices.Sort(joining)
	next := record.Clone()
	next.Zones[zone] = ZoneEntry{Engines: engines, Joining: joining, JoinedAt: joinedAt}
	return next.withNextGeneration(), true
}

// AdmitEngines makes the joining engines of the zone usable. A majority of the zone's
// nodes must hold generation JoinedAt, so that every node that later reads the record
// from a majority knows these engines.
func AdmitEngines(record Record, zone fleet.Zone) Record {
	next := record.Clone()
	entry := next.Zones[zone]
	entry.Engines = append(entry.Engines, entry.Joining...)
	slices.Sort(entry.Engines)
	entry.Joining = nil
	next.Zones[zone] = entry
	return next.withNextGeneration()
}

// Restored returns the same decisions with a new generation, for a store that lost the record.
func (r Record) Restored() Record { return r.Clone().withNextGeneration() }

func (r Record) withNextGeneration() Record {
	r.Generation++
	return r
}

// updateReplicaLimit lowers ReplicaLimit towards the target as far as the ceilings allow, or
// raises it to the target at once.
func updateReplicaLimit(decision Decision) Decision {
	decision.ReplicaLimit = max(decision.Target, decision.CeilingSum())
	return decision
}
