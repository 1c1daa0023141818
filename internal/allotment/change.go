package allotment

import (
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

// WithEngines replaces the zone's engines: those given join, those gone for
// good are taken out. It reports whether anything changed.
func WithEngines(record Record, zone fleet.Zone, present, gone []fleet.BackendName) (Record, bool) {
	entry := record.Zones[zone]
	isGone := func(name fleet.BackendName) bool { return slices.Contains(gone, name) }
	engines := slices.DeleteFunc(slices.Clone(entry.Engines), isGone)
	joining := slices.DeleteFunc(slices.Clone(entry.Joining), isGone)
	joinedAt := entry.JoinedAt
	for _, name := range present {
		if !isGone(name) && !slices.Contains(engines, name) && !slices.Contains(joining, name) {
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
	return next.advanced(), true
}

// AdmitEngines lets the engines that joined be used. A majority of the zone's nodes
// must hold the generation JoinedAt: whoever learns the record from a majority
// later then knows these engines.
func AdmitEngines(record Record, zone fleet.Zone) Record {
	next := record.Clone()
	entry := next.Zones[zone]
	entry.Engines = append(entry.Engines, entry.Joining...)
	slices.Sort(entry.Engines)
	entry.Joining = nil
	next.Zones[zone] = entry
	return next.advanced()
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
	decision.ReplicaLimit = max(decision.Target, decision.CeilingSum())
	return decision
}
