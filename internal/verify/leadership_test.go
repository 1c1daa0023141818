package verify

import (
	"flag"
	"testing"

	"github.com/spanlanding/spanlanding/internal/leadership"
)

func exploreZone(bounds bounds, limit int) exploration {
	return explore(searchSpace[*zoneModel]{
		initial:     newZone(&bounds),
		transitions: (*zoneModel).transitions,
		key:         (*zoneModel).key,
		violation:   (*zoneModel).violation,
		limit:       limit,
	})
}

// zoneModels are the small zones to explore.
var zoneModels = map[string]bounds{
	"two engines":         {engines: 2, restarts: 1, rounds: 1, orders: 2, limits: []int{1}, engineCounts: []int{2}},
	"unloads":             {engines: 2, restarts: 1, rounds: 1, orders: 3, unloads: true, limits: []int{1}, engineCounts: []int{2}},
	"slow answers":        {engines: 2, restarts: 1, rounds: 1, orders: 2, delayReplies: true, limits: []int{1}, engineCounts: []int{2}},
	"two rounds":          {engines: 2, restarts: 1, rounds: 2, orders: 2, limits: []int{1}, engineCounts: []int{2}},
	"three engines":       {engines: 3, restarts: 1, rounds: 1, orders: 2, limits: []int{1}, engineCounts: []int{3}},
	"one engine":          {engines: 1, restarts: 2, rounds: 2, orders: 3, unloads: true, limits: []int{1, 0}, engineCounts: []int{1, 1}},
	"a limit is lowered":  {engines: 2, restarts: 1, rounds: 1, orders: 2, limits: []int{2, 1}, engineCounts: []int{2, 2}},
	"an engine is added":  {engines: 2, restarts: 1, rounds: 1, orders: 2, firstLeaderAhead: true, limits: []int{1, 1}, engineCounts: []int{1, 2}},
	"duplicated messages": {engines: 2, restarts: 1, rounds: 1, orders: 3, unloads: true, duplicates: 1, limits: []int{1}, engineCounts: []int{2}},
}

// statesLimit bounds the number of states of each exploration.
//
// For a larger search, run go test ./internal/verify -states 2000000.
var statesLimit = flag.Int("states", 30_000, "number of states that each exploration visits")

func TestNoOrderOfEventsLoadsTooOften(t *testing.T) {
	for name, bounds := range zoneModels {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := exploreZone(bounds, *statesLimit)
			t.Log(result)
			if result.violation != "" {
				t.Error(result)
			}
		})
	}
}

// defectsLimit is large enough to find each planted defect.
const defectsLimit = 300_000

// TestExplorationFindsPlantedDefects proves that each exploration can fail.
func TestExplorationFindsPlantedDefects(t *testing.T) {
	defects := map[string]struct {
		model   string
		defects leadership.Defects
	}{
		"no second read":                   {"two engines", leadership.Defects{NoVerify: true}},
		"unclaimed engines count as empty": {"two engines", leadership.Defects{NoConservativeCount: true}},
		"older limit":                      {"one engine", leadership.Defects{StaleAllotment: true}},
		"unknown engine":                   {"an engine is added", leadership.Defects{StaleAllotment: true}},
	}
	for name, planted := range defects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bounds := zoneModels[planted.model]
			bounds.defects = planted.defects
			result := exploreZone(bounds, defectsLimit)
			t.Log(result)
			if result.violation == "" {
				t.Error("the exploration did not find the planted defect")
			}
		})
	}
}
