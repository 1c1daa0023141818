package allotment

import (
	"maps"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// withoutEvacuated returns the engine counts without the evacuated zones.
func withoutEvacuated(input Input) map[fleet.Zone]int {
	engines := maps.Clone(input.Engines)
	maps.DeleteFunc(engines, func(zone fleet.Zone, _ int) bool { return input.Evacuated[zone] })
	return engines
}

// clearEvacuated lowers the limits of evacuated zones to zero, so that other zones may
// load their replicas once that is confirmed. If no other zone has engines, the limits
// stay, as unloading would gain nothing.
func clearEvacuated(decision Decision, input Input, generation uint64) Decision {
	if len(input.Engines) == 0 {
		return decision
	}
	for zone, share := range decision.Zones {
		if input.Evacuated[zone] && share.Limit > 0 {
			share.Limit, share.LoweredAt = 0, generation
			decision.Zones[zone] = share
		}
	}
	return updateReplicaLimit(decision)
}

// emptyZones returns the zones with engines that have no allotment of any model, such
// as a zone whose evacuation has ended.
func emptyZones(record Record, engines map[fleet.Zone]int) map[fleet.Zone]int {
	empty := maps.Clone(engines)
	maps.DeleteFunc(empty, func(_ fleet.Zone, count int) bool { return count == 0 })
	for _, decision := range record.Models {
		for zone, share := range decision.Zones {
			if share.Limit > 0 {
				delete(empty, zone)
			}
		}
	}
	return empty
}

// moveToEmptyZone lowers the limit of a zone with an idle replica if an empty zone would
// rank higher for it now. Otherwise the empty zone's engines would stay unused while the
// other zones hold all models, as no other rule moves allotment without demand.
func moveToEmptyZone(decision Decision, model fleet.ModelVersion, input Input, empty map[fleet.Zone]int, generation uint64) Decision {
	if len(empty) == 0 || decision.Target > limitSum(decision) {
		return decision
	}
	score := func(zone fleet.Zone, limit int) int {
		return raiseScore(Share{Limit: limit, Ceiling: limit}, input.Engines[zone], 0, model, zone)
	}
	destination := highestScoring(empty, func(zone fleet.Zone) int { return score(zone, 0) })
	source := highestScoring(decision.Zones, func(zone fleet.Zone) int {
		if decision.Zones[zone].Limit == 0 || input.IdleReplicas[model][zone] <= 0 {
			return -1
		}
		return decision.Zones[zone].Limit
	})
	if destination == "" || source == "" || score(destination, 0) <= score(source, decision.Zones[source].Limit-1) {
		return decision
	}
	decision.Zones[source] = lowerLimit(decision.Zones[source], generation)
	return decision
}
