package world

import "testing"

// checkSeed fails the test if a simulation of the seed breaks a rule.
func checkSeed(t *testing.T, seed uint64) {
	t.Helper()
	report := Run(DefaultConfig(), seed, nil, nil)
	if violated := report.Violated(); len(violated) > 0 {
		t.Errorf("seed %d violates %v", seed, violated)
	}
}

// TestReplicasHoldAtSeed102 guards against two replicas in a zone with a ceiling
// of one, which this seed showed in a batch of 1,000.
func TestReplicasHoldAtSeed102(t *testing.T) { checkSeed(t, 102) }

// TestNotRunHoldsAtSeed34 guards against a request reported as not run, because
// an engine refused it, of which a late copy ran.
func TestNotRunHoldsAtSeed34(t *testing.T) { checkSeed(t, 34) }

// TestLeavingEngineGetsNothingAtSeed131 guards against a request that reaches an
// engine seconds after the engine announced that it is leaving.
func TestLeavingEngineGetsNothingAtSeed131(t *testing.T) { checkSeed(t, 131) }

// TestReplicasHoldAtSeed214 guards against more replicas of a model than were
// decided, and than its zone's ceiling.
func TestReplicasHoldAtSeed214(t *testing.T) { checkSeed(t, 214) }
