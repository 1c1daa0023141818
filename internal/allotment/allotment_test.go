package allotment

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

func modelInfo(name string, maxReplicas int) catalog.ModelInfo {
	return catalog.ModelInfo{Model: fleet.ModelVersion{Model: name, Version: "1"}, MaxReplicas: maxReplicas}
}

func engines(counts ...int) map[fleet.Zone]int {
	zones := make(map[fleet.Zone]int)
	for index, count := range counts {
		zones[fleet.Zone(fmt.Sprintf("z%d", index))] = count
	}
	return zones
}

func TestEveryZoneWithEnginesGetsOneBeforeAnyGetsTwo(t *testing.T) {
	record, changed := Decide(Record{}, Input{Models: []catalog.ModelInfo{modelInfo("a", 3)}, Engines: engines(9, 1, 4, 0)})
	if !changed {
		t.Fatal("Decide reported no change")
	}
	model := fleet.ModelVersion{Model: "a", Version: "1"}
	for zone, want := range map[fleet.Zone]int{"z0": 1, "z1": 1, "z2": 1, "z3": 0} {
		if got := record.Limit(model, zone); got != want {
			t.Errorf("limit of %s is %d, want %d", zone, got, want)
		}
	}
}

func TestSingleReplicasAreSpreadOverZones(t *testing.T) {
	var models []catalog.ModelInfo
	for index := range 60 {
		models = append(models, modelInfo(fmt.Sprintf("m%d", index), 1))
	}
	record, _ := Decide(Record{}, Input{Models: models, Engines: engines(5, 4, 5)})
	counts := make(map[fleet.Zone]int)
	for _, decision := range record.Models {
		for zone, share := range decision.Zones {
			counts[zone] += share.Limit
		}
	}
	for zone, count := range counts {
		if count < 10 || count > 30 {
			t.Errorf("zone %s got %d of 60 models", zone, count)
		}
	}
	if len(counts) != 3 {
		t.Errorf("models in %d zones, want 3", len(counts))
	}
}

// Random replica maxima, engines, demand, idle replicas, evacuations and confirmations, in any
// order, must keep the sum of the ceilings within the decided number.
func TestCeilingsNeverExceedTheDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := Record{}
		model := modelInfo("a", 0).Model
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := record
			if rapid.Bool().Draw(t, "confirm") {
				zone := fleet.Zone(fmt.Sprintf("z%d", rapid.IntRange(0, 2).Draw(t, "zone")))
				record = Confirm(record, zone, record.Unconfirmed(zone))
			} else {
				input := Input{
					Models:       []catalog.ModelInfo{modelInfo("a", rapid.IntRange(0, 5).Draw(t, "most"))},
					Engines:      engines(rapid.IntRange(0, 4).Draw(t, "e0"), 2, 3),
					Demand:       map[fleet.ModelVersion]map[fleet.Zone]int{model: drawCounts(t, "demand")},
					IdleReplicas: map[fleet.ModelVersion]map[fleet.Zone]int{model: drawCounts(t, "idle")},

					Evacuated: map[fleet.Zone]bool{"z0": rapid.Bool().Draw(t, "z0 evacuated"), "z1": rapid.Bool().Draw(t, "z1 evacuated")},
				}
				record, _ = Decide(record, input)
			}
			checkInvariants(t, before, record, model)
		}
	})
}

func drawCounts(t *rapid.T, label string) map[fleet.Zone]int {
	return engines(
		rapid.IntRange(0, 3).Draw(t, label),
		rapid.IntRange(0, 3).Draw(t, label),
		rapid.IntRange(0, 3).Draw(t, label),
	)
}

func checkInvariants(t *rapid.T, before, after Record, model fleet.ModelVersion) {
	oldDecision, newDecision := before.Models[model], after.Models[model]
	if newDecision.CeilingSum() > newDecision.ReplicaLimit {
		t.Fatalf("ceilings %v exceed the replica limit %d", newDecision.Zones, newDecision.ReplicaLimit)
	}
	if newDecision.ReplicaLimit > max(oldDecision.ReplicaLimit, newDecision.Target) {
		t.Fatalf("replica limit grew from %d to %d, target %d", oldDecision.ReplicaLimit, newDecision.ReplicaLimit, newDecision.Target)
	}
	for zone, share := range newDecision.Zones {
		if share.Limit > share.Ceiling || share.Limit < 0 {
			t.Fatalf("zone %s: limit %d, ceiling %d", zone, share.Limit, share.Ceiling)
		}
		if share.Limit < oldDecision.Zones[zone].Limit && share.LoweredAt != after.Generation {
			t.Fatalf("zone %s: limit lowered without setting LoweredAt", zone)
		}
	}
}

func TestIdleReplicaMovesToTheZoneThatWantsIt(t *testing.T) {
	model := modelInfo("a", 1).Model
	input := Input{Models: []catalog.ModelInfo{modelInfo("a", 1)}, Engines: engines(2, 2)}
	record, _ := Decide(Record{}, input)
	from, to := fleet.Zone("z0"), fleet.Zone("z1")
	if record.Limit(model, from) == 0 {
		from, to = to, from
	}
	input.Demand = map[fleet.ModelVersion]map[fleet.Zone]int{model: {to: 1}}
	input.IdleReplicas = map[fleet.ModelVersion]map[fleet.Zone]int{model: {from: 1}}
	record, _ = Decide(record, input)
	if record.Limit(model, from) != 0 || record.Limit(model, to) != 0 {
		t.Fatalf("before the confirmation: %v", record.Models[model].Zones)
	}
	record = Confirm(record, from, record.Unconfirmed(from))
	record, _ = Decide(record, input)
	if record.Limit(model, to) != 1 {
		t.Errorf("after the confirmation: %v", record.Models[model].Zones)
	}
}
