package allotment

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// ObjectName is the name of the one record in the store.
const ObjectName = "fleet"

// Record is the whole decision. Records are ordered by Generation; a record
// must not be changed after it was published.
type Record struct {
	// Generation grows by one with each write; fences carry it.
	Generation uint64 `json:"generation"`
	// Models holds the decision for each model version.
	Models map[fleet.ModelVersion]Decision `json:"models,omitempty"`
	// Zones holds what is recorded for each zone.
	Zones map[fleet.Zone]ZoneEntry `json:"zones,omitempty"`
}

// ZoneEntry is what is recorded for a zone.
type ZoneEntry struct {
	// Engines are the engines that a leader of the zone may claim and must
	// count. One that is not listed holds nothing, since no leader may use it.
	Engines []fleet.BackendName `json:"engines,omitempty"`
	// Joining are engines that may not be used before a majority of the zone's
	// nodes holds the record that first named them, of generation JoinedAt.
	Joining  []fleet.BackendName `json:"joining,omitempty"`
	JoinedAt uint64              `json:"joinedAt,omitempty"`
}

// Decision is the decided number of replicas of one model version.
type Decision struct {
	// ReplicaLimit bounds the replicas in the whole fleet; it is never below the
	// sum of the ceilings.
	ReplicaLimit int `json:"decided"`
	// Target is what Decided becomes once the zones have confirmed.
	Target int                  `json:"target"`
	Zones  map[fleet.Zone]Share `json:"zones,omitempty"`
}

// Share is one zone's allotment of one model version.
type Share struct {
	// Limit is what the zone may load up to.
	Limit int `json:"limit"`
	// Ceiling is what may still be loaded: Limit, or more until the zone has
	// confirmed a lowered limit.
	Ceiling int `json:"ceiling"`
	// LoweredAt is the generation that lowered the limit last.
	LoweredAt uint64 `json:"loweredAt,omitempty"`
}

// Clone returns a deep copy.
func (r Record) Clone() Record {
	clone := Record{
		Generation: r.Generation,
		Models:     make(map[fleet.ModelVersion]Decision, len(r.Models)),
		Zones:      make(map[fleet.Zone]ZoneEntry, len(r.Zones)),
	}
	for model, decision := range r.Models {
		decision.Zones = maps.Clone(decision.Zones)
		clone.Models[model] = decision
	}
	for zone, entry := range r.Zones {
		entry.Engines, entry.Joining = slices.Clone(entry.Engines), slices.Clone(entry.Joining)
		clone.Zones[zone] = entry
	}
	return clone
}

// Limit is the number of replicas that the zone may load up to.
func (r Record) Limit(model fleet.ModelVersion, zone fleet.Zone) int {
	return r.Models[model].Zones[zone].Limit
}

// Engines are the engines recorded for the zone.
func (r Record) Engines(zone fleet.Zone) []fleet.BackendName {
	return r.Zones[zone].Engines
}

// CeilingSum is the most replicas that the zones may hold together.
func (d Decision) CeilingSum() int {
	sum := 0
	for _, share := range d.Zones {
		sum += share.Ceiling
	}
	return sum
}

// Overcommitted returns the models whose ceilings exceed what was decided.
func (r Record) Overcommitted() []fleet.ModelVersion {
	var broken []fleet.ModelVersion
	for _, model := range sortedModels(r.Models) {
		decision := r.Models[model]
		if decision.CeilingSum() > decision.ReplicaLimit {
			broken = append(broken, model)
		}
	}
	return broken
}

// Unconfirmed returns the models whose lowered limit the zone has not yet
// confirmed.
func (r Record) Unconfirmed(zone fleet.Zone) []fleet.ModelVersion {
	var models []fleet.ModelVersion
	for _, model := range sortedModels(r.Models) {
		share := r.Models[model].Zones[zone]
		if share.Ceiling > share.Limit {
			models = append(models, model)
		}
	}
	return models
}

func sortedModels(models map[fleet.ModelVersion]Decision) []fleet.ModelVersion {
	return slices.SortedFunc(maps.Keys(models), fleet.ModelVersion.Compare)
}

func sortedZones[T any](zones map[fleet.Zone]T) []fleet.Zone {
	return slices.Sorted(maps.Keys(zones))
}
