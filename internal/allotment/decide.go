package allotment

import (
	"cmp"
	"slices"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Input is what the decider knows.
type Input struct {
	Models []catalog.ModelInfo
	// Engines counts the live engines of each zone; a zone without engines
	// gets no allotment.
	Engines map[fleet.Zone]int
	// Demand counts what waits for a model in a zone beyond its limit.
	Demand map[fleet.ModelVersion]map[fleet.Zone]int
	// IdleReplicas counts the part of a zone's limit that is not loaded.
	IdleReplicas map[fleet.ModelVersion]map[fleet.Zone]int
	// Evacuated are zones that give their allotment away; they count as zones
	// without engines.
	Evacuated map[fleet.Zone]bool
	// RaiseUnconfirmed is a planted fault, set by tests and the simulator only:
	// limits are raised without waiting for lowered ones to be confirmed.
	RaiseUnconfirmed bool
}

// Decide returns the next record: targets from the catalog, what is free given
// to zones, idle allotment lowered where another zone wants it. Limits are
// raised only by what the ceilings leave of the decided number.
func Decide(record Record, input Input) (Record, bool) {
	input.Engines = withoutEvacuated(input)
	next := record.Clone()
	next.Generation++
	changed := false
	empty := emptyZones(record, input.Engines)
	known := make(map[fleet.ModelVersion]bool, len(input.Models))
	for _, facts := range input.Models {
		known[facts.Model] = true
		before := next.Models[facts.Model]
		after := decideModel(before, target(facts), facts.Model, input, next.Generation)
		after = returnIdle(after, facts.Model, input, empty, next.Generation)
		if !equalDecision(before, after) {
			next.Models[facts.Model] = after
			changed = true
		}
	}
	for _, model := range sortedModels(next.Models) {
		if known[model] {
			continue
		}
		before := next.Models[model]
		after := lowerTo(before, 0, nil, next.Generation)
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

// target is the number of replicas that the fleet may hold of a model.
func target(facts catalog.ModelInfo) int {
	return max(facts.MaxReplicas, facts.MinReplicas, facts.StandingReplicas)
}

func decideModel(before Decision, target int, model fleet.ModelVersion, input Input, generation uint64) Decision {
	after := Decision{ReplicaLimit: before.ReplicaLimit, Target: target, Zones: make(map[fleet.Zone]Share)}
	for zone, share := range before.Zones {
		after.Zones[zone] = share
	}
	after = lowerTo(after, target, input.IdleReplicas[model], generation)
	after = leaveEvacuated(after, input, generation)
	after = moveIdle(after, model, input, generation)
	after = raiseFree(after, model, input)
	return after
}

// lowerTo lowers limits until their sum is within the number: the idle part of
// the largest first.
func lowerTo(decision Decision, number int, idle map[fleet.Zone]int, generation uint64) Decision {
	lowered := Decision{ReplicaLimit: decision.ReplicaLimit, Target: number, Zones: make(map[fleet.Zone]Share)}
	sum := 0
	for zone, share := range decision.Zones {
		lowered.Zones[zone] = share
		sum += share.Limit
	}
	idleLeft := make(map[fleet.Zone]int, len(idle))
	for zone, count := range idle {
		idleLeft[zone] = count
	}
	for ; sum > number; sum-- {
		zone := pick(lowered.Zones, func(zone fleet.Zone) int {
			if lowered.Zones[zone].Limit == 0 {
				return -1
			}
			if idleLeft[zone] > 0 {
				return idlePreference + lowered.Zones[zone].Limit
			}
			return lowered.Zones[zone].Limit
		})
		lowered.Zones[zone] = lowerOne(lowered.Zones[zone], generation)
		idleLeft[zone]--
	}
	return settle(lowered)
}

// idlePreference ranks zones with idle allotment before all others.
const idlePreference = 1 << 20

func lowerOne(share Share, generation uint64) Share {
	share.Limit--
	share.LoweredAt = generation
	return share
}

// moveIdle lowers one idle replica where another zone wants one and nothing is
// free; it is raised there once the lowering is confirmed.
func moveIdle(decision Decision, model fleet.ModelVersion, input Input, generation uint64) Decision {
	wanting := pick(input.Demand[model], func(zone fleet.Zone) int {
		if input.Engines[zone] == 0 {
			return -1
		}
		return input.Demand[model][zone]
	})
	if input.Demand[model][wanting] <= 0 || decision.ReplicaLimit > limitSum(decision) {
		return decision
	}
	giver := pick(decision.Zones, func(zone fleet.Zone) int {
		if zone == wanting || decision.Zones[zone].Limit == 0 {
			return -1
		}
		return input.IdleReplicas[model][zone]
	})
	if giver == "" || input.IdleReplicas[model][giver] <= 0 {
		return decision
	}
	decision.Zones[giver] = lowerOne(decision.Zones[giver], generation)
	return decision
}

func limitSum(decision Decision) int {
	sum := 0
	for _, share := range decision.Zones {
		sum += share.Limit
	}
	return sum
}

// raiseFree gives what the ceilings leave of the target to the zones that want
// it most, then to those with the most engines for each replica they have.
func raiseFree(decision Decision, model fleet.ModelVersion, input Input) Decision {
	free := decision.Target - decision.CeilingSum()
	if input.RaiseUnconfirmed {
		free = decision.Target - limitSum(decision)
	}
	demand := make(map[fleet.Zone]int, len(input.Demand[model]))
	for zone, count := range input.Demand[model] {
		demand[zone] = count
	}
	for ; free > 0; free-- {
		zone := pick(input.Engines, func(zone fleet.Zone) int {
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
	return settle(decision)
}

// Zones that want a replica go before those that have none, these before all
// others.
const (
	demandWeight = 1 << 50
	emptyWeight  = 1 << 40
)

// raiseScore ranks a zone for one more replica; below zero means never.
// An engine holds a model once, so a zone never gets more than its engines.
func raiseScore(share Share, engines, demand int, model fleet.ModelVersion, zone fleet.Zone) int {
	if share.Limit >= engines || share.Ceiling > share.Limit {
		return -1
	}
	score := spread(model, zone, engines, share.Limit)
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

// pick returns the zone with the largest score that is not below zero, by name
// among equals, and "" where there is none.
func pick[T any](zones map[fleet.Zone]T, score func(fleet.Zone) int) fleet.Zone {
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
