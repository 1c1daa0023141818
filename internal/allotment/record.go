package allotment

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// ObjectName is the name of the record's object in the store.
const ObjectName = "fleet"

// Record holds the decisions for the whole fleet. Records are ordered by Generation;
// a record must not be modified after it was published.
type Record struct {
	// Generation increases by one with each write; fences carry it.
	Generation uint64 `json:"generation"`
	// Models holds the decision for each model version.
	Models map[fleet.ModelVersion]Decision `json:"models,omitempty"`
	// Zones holds the engines of each zone.
	Zones map[fleet.Zone]ZoneEntry `json:"zones,omitempty"`
}

// ZoneEntry holds the engines of one zone.
type ZoneEntry struct {
	// Engines are the engines that a leader of the zone may claim and must
	// count. An engine that is not listed holds no replica, since no leader may use it.
	Engines []fleet.BackendName `json:"engines,omitempty"`
	// Joining are engines that may not be used until a majority of the zone's
	// nodes holds the record that first listed them, of generation JoinedAt.
	Joining  []fleet.BackendName `json:"joining,omitempty"`
	JoinedAt uint64              `json:"joinedAt,omitempty"`
}

// Decision is the decided number of replicas of one model version.
type Decision struct {
	// ReplicaLimit limits the replicas in the whole fleet; it is never below the
	// sum of the ceilings.
	ReplicaLimit int `json:"decided"`
	// Target is the value of ReplicaLimit once the zones have confirmed their limits.
	Target int                  `json:"target"`
	Zones  map[fleet.Zone]Share `json:"zones,omitempty"`
}

// Share is one zone's allotment of one model version.
type Share struct {
	// Limit is the number of replicas up to which the zone may load.
	Limit int `json:"limit"`
	// Ceiling is the number of replicas that may still be loaded: Limit, or more
	// until the zone has confirmed a lowered limit.
	Ceiling int `json:"ceiling"`
	// LoweredAt is the generation that last lowered the limit.
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

// Limit returns the number of replicas of the model up to which the zone may load.
func (r Record) Limit(model fleet.ModelVersion, zone fleet.Zone) int {
	return r.Models[model].Zones[zone].Limit
}

// Engines returns the zone's usable engines.
func (r Record) Engines(zone fleet.Zone) []fleet.BackendName {
	return r.Zones[zone].Engines
}

// CeilingSum returns the most replicas that all zones together may hold.
func (d Decision) CeilingSum() int {
	sum := 0
	for _, share := range d.Zones {
		sum += share.Ceiling
	}
	return sum
}

// Overcommitted returns the models whose ceilings together exceed ReplicaLimit.
func (r Record) Overcommitted() []fleet.ModelVersion {
	var models []fleet.ModelVersion
	for _, model := range sortedModels(r.Models) {
		decision := r.Models[model]
		if decision.CeilingSum() > decision.ReplicaLimit {
			models = append(models, model)
		}
	}
	return models
}

// Unconfirmed returns the models of which the zone has not yet confirmed a lowered
// limit.
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
