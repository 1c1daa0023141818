package allotment

import (
	"fmt"
	"testing"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// settled decides until nothing changes, each zone confirming at once.
func settled(t *testing.T, record Record, input Input) Record {
	t.Helper()
	for range 10 {
		next, changed := Decide(record, input)
		for zone := range input.Engines {
			if models := next.Unconfirmed(zone); len(models) > 0 {
				next, changed = Confirm(next, zone, models), true
			}
		}
		if !changed {
			return record
		}
		record = next
	}
	t.Fatal("the decision does not settle")
	return record
}

// limitOf adds up what a zone may load of all models.
func limitOf(record Record, zone fleet.Zone) int {
	sum := 0
	for _, decision := range record.Models {
		sum += decision.Zones[zone].Limit
	}
	return sum
}

func manyModels(count int) []catalog.ModelInfo {
	var models []catalog.ModelInfo
	for index := range count {
		models = append(models, facts(fmt.Sprintf("m%d", index), 1+index%2))
	}
	return models
}

func TestEvacuatedZoneGivesItsAllotmentAwayAndGetsItBack(t *testing.T) {
	input := Input{Models: manyModels(60), Engines: engines(4, 4, 4)}
	before := settled(t, Record{}, input)
	input.Evacuated = map[fleet.Zone]bool{"z0": true, "nowhere": true}
	during := settled(t, before, input)
	if limitOf(during, "z0") != 0 || limitOf(during, "z1")+limitOf(during, "z2") != 90 {
		t.Errorf("evacuated: %d, %d and %d of 90", limitOf(during, "z0"), limitOf(during, "z1"), limitOf(during, "z2"))
	}
	input.Evacuated = nil
	input.IdleReplicas = make(map[fleet.ModelVersion]map[fleet.Zone]int)
	for model, decision := range during.Models {
		input.IdleReplicas[model] = make(map[fleet.Zone]int)
		for zone, share := range decision.Zones {
			input.IdleReplicas[model][zone] = share.Limit
		}
	}
	after := settled(t, during, input)
	if limit := limitOf(after, "z0"); limit < 15 || limitOf(after, "z0")+limitOf(after, "z1")+limitOf(after, "z2") != 90 {
		t.Errorf("taken back: %d of 90, had %d", limit, limitOf(before, "z0"))
	}
}

// TestLoadedReplicasStayWhereTheyAre when a zone comes back.
func TestLoadedReplicasStayWhereTheyAre(t *testing.T) {
	input := Input{Models: manyModels(60), Engines: engines(4, 4), Evacuated: map[fleet.Zone]bool{"z0": true}}
	during := settled(t, Record{}, input)
	input.Evacuated = nil
	if after, changed := Decide(during, input); changed {
		t.Errorf("%d moved", limitOf(after, "z0"))
	}
}

func TestAllZonesEvacuatedKeepTheirAllotment(t *testing.T) {
	input := Input{Models: manyModels(10), Engines: engines(4, 4)}
	before := settled(t, Record{}, input)
	input.Evacuated = map[fleet.Zone]bool{"z0": true, "z1": true}
	if after, changed := Decide(before, input); changed {
		t.Errorf("limits %d and %d, had %d and %d", limitOf(after, "z0"), limitOf(after, "z1"), limitOf(before, "z0"), limitOf(before, "z1"))
	}
}
