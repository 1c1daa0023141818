package world

import "testing"

// TestReplicasHoldAtSeed102 is a run of 1,000 that shows two replicas in a zone
// with a ceiling of one; see KNOWN-RED.txt.
func TestReplicasHoldAtSeed102(t *testing.T) {
	const seed = 102
	report := Run(DefaultConfig(), seed, nil, nil)
	if violated := report.Violated(); len(violated) > 0 {
		t.Errorf("seed %d violates %v", seed, violated)
	}
}
