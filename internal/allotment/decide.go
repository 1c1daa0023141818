package allotment

import (
	"cmp"
	"slices"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Input is what Decide takes into account besides the previous record.
type Input struct {
	Models []catalog.ModelInfo
	// Engines is the number of live engines of each zone; a zone without engines
	// gets no allotment.
	Engines map[fleet.Zone]int
	// Demand is the number of replicas that a zone needs of a model beyond its limit.
	Demand map[fleet.ModelVersion]map[fleet.Zone]int
	// IdleReplicas is the part of a zone's limit of a model that is not loaded.
	IdleReplicas map[fleet.ModelVersion]map[fleet.Zone]int
	// Evacuated are the zones that give up their allotment; they are treated as
	// zones without engines.
	Evacuated map[fleet.Zone]bool
	// RaiseUnconfirmed is a deliberate fault, set only by tests and the simulator:
	// limits are raised without waiting for lowered ones to be confirmed.
	RaiseUnconfirmed bool
}

// Decide returns the next record, and whether it differs: it takes targets from the
// catalog, assigns free replicas to zones, and lowers idle allotment that another zone
// needs. Limits are raised only by what the ceilings leave of the target.
func Decide(record Record, input Input) (Record, bool) {
	input.Engines = withoutEvacuated(input)
	next := record.Clone()
	next.Generation++
	changed := false
	empty := emptyZones(record, input.Engines)
	known := make(map[fleet.ModelVersion]bool, len(input.Models))
	for _, info := range input.Models {
		known[info.Model] = true
		before := next.Models[info.Model]
		after := decideModel(before, targetReplicas(info), info.Model, input, next.Generation)
		after = moveToEmptyZone(after, info.Model, input, empty, next.Generation)
		if !equalDecision(before, after) {
			next.Models[info.Model] = after
			changed = true
		}
	}
	for _, model := range sortedModels(next.Models) {
		if known[model] {
			continue
		}
		before := next.Models[model]
		after := lowerLimitsTo(before, 0, nil, next.Generation)
		if after.CeilingSum() == 0 {
			delete(next.Models, model)
			changed = true
			continue
		}
		if !equalDecision(before, after) {
			next.Models[model] = after
			changed = true
		}
	}
	if !changed {
		return record, false
	}
	return next, true
}

// targetReplicas returns how many replicas of a model the fleet may hold.
func targetReplicas(info catalog.ModelInfo) int {
	return max(info.MaxReplicas, info.MinReplicas, info.StandingReplicas)
}

func decideModel(before Decision, target int, model fleet.ModelVersion, input Input, generation uint64) Decision {
	after := Decision{ReplicaLimit: before.ReplicaLimit, Target: target, Zones: make(map[fleet.Zone]Share)}
	for zone, share := range before.Zones {
		after.Zones[zone] = share
	}
	after = lowerLimitsTo(after, target, input.IdleReplicas[model], generation)
	after = clearEvacuated(after, input, generation)
	after = moveIdleReplica(after, model, input, generation)
	after = raiseLimits(after, model, input)
	return after
}

// lowerLimitsTo lowers limits until their sum is within the target. Zones with idle
// replicas go first, and among equals the largest limit.
func lowerLimitsTo(decision Decision, target int, idle map[fleet.Zone]int, generation uint64) Decision {
	lowered := Decision{ReplicaLimit: decision.ReplicaLimit, Target: target, Zones: make(map[fleet.Zone]Share)}
	sum := 0
	for zone, share := range decision.Zones {
		lowered.Zones[zone] = share
		sum += share.Limit
	}
	remainingIdle := make(map[fleet.Zone]int, len(idle))
	for zone, count := range idle {
		remainingIdle[zone] = count
	}
	for ; sum > target; sum-- {
		zone := highestScoring(lowered.Zones, func(zone fleet.Zone) int {
			if lowered.Zones[zone].Limit == 0 {
				return -1
			}
			if remainingIdle[zone] > 0 {
				return idlePreference + lowered.Zones[zone].Limit
			}
			return lowered.Zones[zone].Limit
		})
		lowered.Zones[zone] = lowerLimit(lowered.Zones[zone], generation)
		remainingIdle[zone]--
	}
	return updateReplicaLimit(lowered)
}

// idlePreference is added to the score of zones with idle replicas, to rank them first.
const idlePreference = 1 << 20

func lowerLimit(share Share, generation uint64) Share {
	share.Limit--
	share.LoweredAt = generation
	return share
}

// moveIdleReplica lowers the limit of a zone with an idle replica if another zone needs
// one and none is free; the other limit is raised once the lowered one is confirmed.
func moveIdleReplica(decision Decision, model fleet.ModelVersion, input Input, generation uint64) Decision {
	destination := highestScoring(input.Demand[model], func(zone fleet.Zone) int {
		if input.Engines[zone] == 0 {
			return -1
		}
		return input.Demand[model][zone]
	})
	if input.Demand[model][destination] <= 0 || decision.ReplicaLimit > limitSum(decision) {
		return decision
	}
	source := highestScoring(decision.Zones, func(zone fleet.Zone) int {
		if zone == destination || decision.Zones[zone].Limit == 0 {
			return -1
		}
		return input.IdleReplicas[model][zone]
	})
	if source == "" || input.IdleReplicas[model][source] <= 0 {
		return decision
	}
	decision.Zones[source] = lowerLimit(decision.Zones[source], generation)
	return decision
}

func limitSum(decision Decision) int {
	sum := 0
	for _, share := range decision.Zones {
		sum += share.Limit
	}
	return sum
}

// raiseLimits assigns what the ceilings leave of the target: first to zones with demand,
// then to zones without a replica, then to those with the most engines per replica.
func raiseLimits(decision Decision, model fleet.ModelVersion, input Input) Decision {
	free := decision.Target - decision.CeilingSum()
	if input.RaiseUnconfirmed {
		free = decision.Target - limitSum(decision)
	}
	demand := make(map[fleet.Zone]int, len(input.Demand[model]))
	for zone, count := range input.Demand[model] {
		demand[zone] = count
	}
	for ; free > 0; free-- {
		zone := highestScoring(input.Engines, func(zone fleet.Zone) int {
			return raiseScore(decision.Zones[zone], input.Engines[zone], demand[zone], model, zone)
		})
		if zone == "" {
			break
		}
		share := decision.Zones[zone]
		share.Limit++
		share.Ceiling = max(share.Ceiling, share.Limit)
		decision.Zones[zone] = share
		demand[zone]--
	}
	return updateReplicaLimit(decision)
}

// Zones with demand rank before zones without a replica, and these before all
// others.
const (
	demandWeight = 1 << 50
	emptyWeight  = 1 << 40
)

// raiseScore ranks a zone for one more replica; a negative score excludes it.
// An engine loads a model at most once, so a zone never gets more replicas than engines.
func raiseScore(share Share, engines, demand int, model fleet.ModelVersion, zone fleet.Zone) int {
	if share.Limit >= engines || share.Ceiling > share.Limit {
		return -1
	}
	score := spreadScore(model, zone, engines, share.Limit)
	if share.Limit == 0 {
		score += emptyWeight
	}
	if demand > 0 {
		score += demandWeight
	}
	return score
}

func equalDecision(a, b Decision) bool {
	if a.ReplicaLimit != b.ReplicaLimit || a.Target != b.Target || len(a.Zones) != len(b.Zones) {
		return false
	}
	for zone, share := range a.Zones {
		if b.Zones[zone] != share {
			return false
		}
	}
	return true
}

// highestScoring returns the zone with the highest score, the first by name among equals,
// or "" if no score is zero or more.
func highestScoring[T any](zones map[fleet.Zone]T, score func(fleet.Zone) int) fleet.Zone {
	names := sortedZones(zones)
	names = slices.DeleteFunc(names, func(zone fleet.Zone) bool { return score(zone) < 0 })
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(a, b fleet.Zone) int {
		if byScore := cmp.Compare(score(a), score(b)); byScore != 0 {
			return byScore
		}
		return -cmp.Compare(a, b)
	})
}
