package world

import (
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	testSeeds   = 6
	testWorkers = 4
)

func TestBatchHoldsTheRules(t *testing.T) {
	summary := sim.Summarize(RunBatch(DefaultConfig(), 1, testSeeds, testWorkers, nil))
	var lines strings.Builder
	if err := summary.Write(&lines); err != nil {
		t.Fatal(err)
	}
	t.Log(lines.String())
	if !summary.Passed() {
		t.Error("a rule was violated or never exercised")
	}
}

func TestSameSeedSameHashWithAnyNumberOfWorkers(t *testing.T) {
	one := sim.Summarize(RunBatch(DefaultConfig(), 100, 2, 1, nil))
	two := sim.Summarize(RunBatch(DefaultConfig(), 100, 2, 2, nil))
	if one.Hash != two.Hash || one.Events != two.Events {
		t.Errorf("1 worker %016x (%d events), 2 workers %016x (%d events)", one.Hash, one.Events, two.Hash, two.Events)
	}
}
