package verify

import (
	"flag"
	"testing"

	"github.com/spanlanding/spanlanding/internal/leadership"
)

func exploreZone(bounds bounds, limit int) outcome {
	return explore(space[*zoneModel]{
		initial: newZone(&bounds),
		moves:   (*zoneModel).moves,
		key:     (*zoneModel).key,
		broken:  (*zoneModel).broken,
		limit:   limit,
	})
}

// zoneModels are the small zones that are explored.
var zoneModels = map[string]bounds{
	"two engines":        {engines: 2, restarts: 1, rounds: 1, orders: 2, limits: []int{1}, named: []int{2}},
	"unloads":            {engines: 2, restarts: 1, rounds: 1, orders: 3, unloads: true, limits: []int{1}, named: []int{2}},
	"slow answers":       {engines: 2, restarts: 1, rounds: 1, orders: 2, slow: true, limits: []int{1}, named: []int{2}},
	"two rounds":         {engines: 2, restarts: 1, rounds: 2, orders: 2, limits: []int{1}, named: []int{2}},
	"three engines":      {engines: 3, restarts: 1, rounds: 1, orders: 2, limits: []int{1}, named: []int{3}},
	"one engine":         {engines: 1, restarts: 2, rounds: 2, orders: 3, unloads: true, limits: []int{1, 0}, named: []int{1, 1}},
	"a limit is lowered": {engines: 2, restarts: 1, rounds: 1, orders: 2, limits: []int{2, 1}, named: []int{2, 2}},
	"an engine is added": {engines: 2, restarts: 1, rounds: 1, orders: 2, ahead: true, limits: []int{1, 1}, named: []int{1, 2}},
	"doubled messages":   {engines: 2, restarts: 1, rounds: 1, orders: 3, unloads: true, repeats: 1, limits: []int{1}, named: []int{2}},
}

// statesLimit bounds each exploration.
//
// go test ./internal/verify -states 2000000 goes further.
var statesLimit = flag.Int("states", 30_000, "states that each exploration looks at")

func TestNoOrderOfEventsLoadsTooOften(t *testing.T) {
	for name, bounds := range zoneModels {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := exploreZone(bounds, *statesLimit)
			t.Log(found)
			if found.broken != "" {
				t.Error(found)
			}
		})
	}
}

// defectsLimit is enough to find each planted defect.
const defectsLimit = 300_000

// TestExplorationFindsPlantedDefects proves that each exploration can fail.
func TestExplorationFindsPlantedDefects(t *testing.T) {
	defects := map[string]struct {
		model   string
		defects leadership.Defects
	}{
		"no second read":        {"two engines", leadership.Defects{NoVerify: true}},
		"unheld count as empty": {"two engines", leadership.Defects{NoConservativeCount: true}},
		"older limit":           {"one engine", leadership.Defects{StaleAllotment: true}},
		"unknown engine":        {"an engine is added", leadership.Defects{StaleAllotment: true}},
	}
	for name, planted := range defects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bounds := zoneModels[planted.model]
			bounds.defects = planted.defects
			found := exploreZone(bounds, defectsLimit)
			t.Log(found)
			if found.broken == "" {
				t.Error("the planted defect was not found")
			}
		})
	}
}
