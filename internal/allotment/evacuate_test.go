package allotment

import (
	"fmt"
	"testing"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// decideUntilStable decides until nothing changes, while each zone confirms at once.
func decideUntilStable(t *testing.T, record Record, input Input) Record {
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
	t.Fatal("the record still changes after 10 decisions")
	return record
}

// totalLimit returns the sum of a zone's limits of all models.
func totalLimit(record Record, zone fleet.Zone) int {
	sum := 0
	for _, decision := range record.Models {
		sum += decision.Zones[zone].Limit
	}
	return sum
}

func manyModels(count int) []catalog.ModelInfo {
	var models []catalog.ModelInfo
	for index := range count {
		models = append(models, modelInfo(fmt.Sprintf("m%d", index), 1+index%2))
	}
	return models
}

func TestEvacuatedZoneGivesItsAllotmentAwayAndGetsItBack(t *testing.T) {
	input := Input{Models: manyModels(60), Engines: engines(4, 4, 4)}
	before := decideUntilStable(t, Record{}, input)
	input.Evacuated = map[fleet.Zone]bool{"z0": true, "nowhere": true}
	during := decideUntilStable(t, before, input)
	if totalLimit(during, "z0") != 0 || totalLimit(during, "z1")+totalLimit(during, "z2") != 90 {
		t.Errorf("limits during the evacuation: %d, %d and %d of 90", totalLimit(during, "z0"), totalLimit(during, "z1"), totalLimit(during, "z2"))
	}
	input.Evacuated = nil
	input.IdleReplicas = make(map[fleet.ModelVersion]map[fleet.Zone]int)
	for model, decision := range during.Models {
		input.IdleReplicas[model] = make(map[fleet.Zone]int)
		for zone, share := range decision.Zones {
			input.IdleReplicas[model][zone] = share.Limit
		}
	}
	after := decideUntilStable(t, during, input)
	if limit := totalLimit(after, "z0"); limit < 15 || totalLimit(after, "z0")+totalLimit(after, "z1")+totalLimit(after, "z2") != 90 {
		t.Errorf("limit after the evacuation: %d of 90, before it %d", limit, totalLimit(before, "z0"))
	}
}

// Loaded replicas stay in their zone when the evacuation of another zone ends.
func TestLoadedReplicasStayWhereTheyAre(t *testing.T) {
	input := Input{Models: manyModels(60), Engines: engines(4, 4), Evacuated: map[fleet.Zone]bool{"z0": true}}
	during := decideUntilStable(t, Record{}, input)
	input.Evacuated = nil
	if after, changed := Decide(during, input); changed {
		t.Errorf("limits of %d replicas moved", totalLimit(after, "z0"))
	}
}

func TestAllZonesEvacuatedKeepTheirAllotment(t *testing.T) {
	input := Input{Models: manyModels(10), Engines: engines(4, 4)}
	before := decideUntilStable(t, Record{}, input)
	input.Evacuated = map[fleet.Zone]bool{"z0": true, "z1": true}
	if after, changed := Decide(before, input); changed {
		t.Errorf("limits %d and %d, before the evacuation %d and %d", totalLimit(after, "z0"), totalLimit(after, "z1"), totalLimit(before, "z0"), totalLimit(before, "z1"))
	}
}
