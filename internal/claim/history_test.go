package claim

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// runSchedule runs a random schedule and reports whether its history is legal, and
// how many calls ran.
func runSchedule(choose func(int, string) int, defects Defects, maxRecords, actions int) (bool, int) {
	sim := newSimulation(choose, defects, maxRecords)
	for range actions {
		sim.doAction(maxRecords)
	}
	ran := 0
	for _, operation := range sim.history {
		if operation.Input.(input).run {
			ran++
		}
	}
	return porcupine.CheckOperations(atMostOnce, sim.history), ran
}

func seededChooser(seed uint64) func(int, string) int {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(below int, _ string) int { return random.IntN(below) }
}

func TestKeysRunAtMostOnceInDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(below int, what string) int { return rapid.IntRange(0, below-1).Draw(t, what) }
		if legal, _ := runSchedule(choose, Defects{}, 0, 300); !legal {
			t.Fatal("a call with the same key ran twice, or a wrong answer was returned")
		}
	})
}

// TestKeysRunAtMostOnceInLongSchedules also checks that the schedules exercise the
// code: they must run enough calls.
func TestKeysRunAtMostOnceInLongSchedules(t *testing.T) {
	const schedules = 2000
	total := 0
	for seed := range uint64(schedules) {
		for _, maxRecords := range []int{0, 2} {
			legal, ran := runSchedule(seededChooser(seed), Defects{}, maxRecords, 400)
			if !legal {
				t.Fatalf("seed %d, %d records: a call with the same key ran twice, or a wrong answer was returned", seed, maxRecords)
			}
			total += ran
		}
	}
	t.Logf("%d schedules ran %d calls", 2*schedules, total)
	if total < schedules {
		t.Errorf("only %d calls ran in %d schedules", total, 2*schedules)
	}
}

// TestCheckerFindsPlantedDefects checks that the history checker detects deliberate faults.
func TestCheckerFindsPlantedDefects(t *testing.T) {
	for _, test := range []struct {
		name       string
		defects    Defects
		maxRecords int
	}{
		{"one grant suffices", Defects{AnyGrant: true}, 0},
		{"grant with incomplete history", Defects{YoungVouches: true}, 0},
		{"live record dropped when full", Defects{ForgetsWhenFull: true}, 2},
		{"timed-out attempt forgotten", Defects{FreesTimedOut: true}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if legal, _ := runSchedule(seededChooser(seed), test.defects, test.maxRecords, 400); !legal {
					t.Logf("detected with seed %d", seed)
					return
				}
			}
			t.Error("the checker did not detect the fault")
		})
	}
}
