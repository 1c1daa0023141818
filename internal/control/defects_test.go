package control

import (
	"math/rand/v2"
	"testing"
	"time"
)

// seededFaults draws a schedule without shrinking, for the planted defects.
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

// defectSeeds bounds the search for a schedule that shows a planted defect.
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
					t.Logf("caught with seed %d: %s", seed, c.violations[0])
					return
				}
			}
			t.Errorf("not caught in %d schedules", defectSeeds)
		})
	}
}
