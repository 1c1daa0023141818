package allotment

import (
	"maps"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// withoutEvacuated counts the engines of the zones that may get allotment.
func withoutEvacuated(input Input) map[fleet.Zone]int {
	engines := maps.Clone(input.Engines)
	maps.DeleteFunc(engines, func(zone fleet.Zone, _ int) bool { return input.Evacuated[zone] })
	return engines
}

// leaveEvacuated lowers the limits of evacuated zones, so that others may load
// what stood there once the lowering is confirmed. Where no zone is left to take
// it, it stays: nothing would be won by unloading.
func leaveEvacuated(decision Decision, input Input, generation uint64) Decision {
	if len(input.Engines) == 0 {
		return decision
	}
	for zone, share := range decision.Zones {
		if input.Evacuated[zone] && share.Limit > 0 {
			share.Limit, share.LoweredAt = 0, generation
			decision.Zones[zone] = share
		}
	}
	return settle(decision)
}

// emptyZones are the zones with engines that have no allotment of any model, such
// as one whose evacuation was taken back.
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

// returnIdle lowers one idle replica that an empty zone would get if it were dealt
// out now. Without that the zone's engines would stand idle while the others hold
// all models: nothing else moves allotment that no zone lacks.
func returnIdle(decision Decision, model fleet.ModelVersion, input Input, empty map[fleet.Zone]int, generation uint64) Decision {
	if len(empty) == 0 || decision.Target > limitSum(decision) {
		return decision
	}
	score := func(zone fleet.Zone, limit int) int {
		return raiseScore(Share{Limit: limit, Ceiling: limit}, input.Engines[zone], 0, model, zone)
	}
	taker := pick(empty, func(zone fleet.Zone) int { return score(zone, 0) })
	giver := pick(decision.Zones, func(zone fleet.Zone) int {
		if decision.Zones[zone].Limit == 0 || input.IdleReplicas[model][zone] <= 0 {
			return -1
		}
		return decision.Zones[zone].Limit
	})
	if taker == "" || giver == "" || score(taker, 0) <= score(giver, decision.Zones[giver].Limit-1) {
		return decision
	}
	decision.Zones[giver] = lowerOne(decision.Zones[giver], generation)
	return decision
}
