package world

import "testing"

// TestReplicasHoldAtSeed102 guards against two replicas in a zone with a ceiling
// of one, which this seed showed in a batch of 1,000.
func TestReplicasHoldAtSeed102(t *testing.T) {
	const seed = 102
	report := Run(DefaultConfig(), seed, nil, nil)
	if violated := report.Violated(); len(violated) > 0 {
		t.Errorf("seed %d violates %v", seed, violated)
	}
}
