package control

import (
	"math/rand/v2"
	"testing"
	"time"
)

// seededFaults generates a schedule without shrinking, for the injected
// defects.
func seededFaults(random *rand.Rand, kinds []string) []fault {
	faults := make([]fault, 4+random.IntN(10))
	for index := range faults {
		faults[index] = fault{
			Kind:   kinds[random.IntN(len(kinds))],
			Target: random.IntN(8),
			Pause:  time.Duration(random.IntN(4000)) * time.Millisecond,
			Length: time.Duration(50+random.IntN(8000)) * time.Millisecond,
		}
	}
	return faults
}

// defectSeeds is the number of seeds to try until a schedule exposes a defect.
const defectSeeds = 400

func TestEachPlantedDefectIsCaught(t *testing.T) {
	cases := map[string]Defects{
		"no confirm before raise": {NoConfirmBeforeRaise: true},
		"no fence":                {NoFence: true},
		"no conservative count":   {NoConservativeCount: true},
	}
	for name, defects := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(defectSeeds) {
				c := newBusyCluster(seed, defects)
				c.busySchedule(seededFaults(rand.New(rand.NewPCG(seed, 3)), faultKinds))
				if len(c.violations) > 0 {
					t.Logf("detected with seed %d: %s", seed, c.violations[0])
					return
				}
			}
			t.Errorf("not detected in %d schedules", defectSeeds)
		})
	}
}
