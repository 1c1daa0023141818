package claim

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// schedule runs a drawn schedule and reports whether its history is legal, and
// how many calls ran.
func schedule(choose func(int, string) int, defects Defects, maxRecords, actions int) (bool, int) {
	world := newWorld(choose, defects, maxRecords)
	for range actions {
		world.act(maxRecords)
	}
	ran := 0
	for _, operation := range world.history {
		if operation.Input.(input).run {
			ran++
		}
	}
	return porcupine.CheckOperations(atMostOnce, world.history), ran
}

func seeded(seed uint64) func(int, string) int {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(below int, _ string) int { return random.IntN(below) }
}

func TestKeysRunAtMostOnceInDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(below int, what string) int { return rapid.IntRange(0, below-1).Draw(t, what) }
		if legal, _ := schedule(choose, Defects{}, 0, 300); !legal {
			t.Fatal("a key ran twice or a wrong answer was repeated")
		}
	})
}

// TestKeysRunAtMostOnceInLongSchedules also holds that the schedules are not
// empty: most of them must run calls.
func TestKeysRunAtMostOnceInLongSchedules(t *testing.T) {
	const schedules = 2000
	total := 0
	for seed := range uint64(schedules) {
		for _, maxRecords := range []int{0, 2} {
			legal, ran := schedule(seeded(seed), Defects{}, maxRecords, 400)
			if !legal {
				t.Fatalf("seed %d, %d records: a key ran twice or a wrong answer was repeated", seed, maxRecords)
			}
			total += ran
		}
	}
	t.Logf("%d schedules ran %d calls", 2*schedules, total)
	if total < schedules {
		t.Errorf("only %d calls ran in %d schedules", total, 2*schedules)
	}
}

// TestCheckerFindsPlantedDefects proves that the checker can fail.
func TestCheckerFindsPlantedDefects(t *testing.T) {
	for _, planted := range []struct {
		name       string
		defects    Defects
		maxRecords int
	}{
		{"no majority", Defects{AnyGrant: true}, 0},
		{"young keeper vouches", Defects{YoungVouches: true}, 0},
		{"silent forgetting", Defects{ForgetsWhenFull: true}, 2},
		{"timed-out attempt is free", Defects{FreesTimedOut: true}, 0},
	} {
		t.Run(planted.name, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if legal, _ := schedule(seeded(seed), planted.defects, planted.maxRecords, 400); !legal {
					t.Logf("found by schedule %d", seed)
					return
				}
			}
			t.Error("the checker did not find the defect")
		})
	}
}
