package batching

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

func measure(t *testing.T, policy string, seed uint64) experiment.Measurements {
	t.Helper()
	measurements, err := Run(t.Context(), experiment.Parameters{
		Cell: experiment.Cell{Policy: policy, Load: 4}, Seed: seed, Duration: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	return measurements
}

func TestRunIsTheSameForTheSameSeed(t *testing.T) {
	if difference := cmp.Diff(measure(t, "16", 1), measure(t, "16", 1)); difference != "" {
		t.Error(difference)
	}
	if cmp.Equal(measure(t, "16", 1), measure(t, "16", 2)) {
		t.Error("two seeds gave the same measurements")
	}
}

func TestSmallBatchMakesFirstTokensWait(t *testing.T) {
	last := func(m experiment.Measurements) float64 {
		samples := m.Distributions[0].Samples
		return samples[len(samples)-1]
	}
	small, large := measure(t, "1", 1), measure(t, "64", 1)
	if last(small) < 10*last(large) {
		t.Errorf("last first token after %.2f s with batches of 1, %.2f s with 64; expected at least ten times as long", last(small), last(large))
	}
	for _, m := range []experiment.Measurements{small, large} {
		if m.Values[1].Value != 0 {
			t.Errorf("%v requests did not end", m.Values[1].Value)
		}
	}
}

func TestBadParametersAreRefused(t *testing.T) {
	for _, cell := range []experiment.Cell{{Policy: "large", Load: 1}, {Policy: "0", Load: 1}, {Policy: "4", Load: -1}} {
		if _, err := Run(context.Background(), experiment.Parameters{Cell: cell}); err == nil {
			t.Errorf("invalid cell %v was accepted", cell)
		}
	}
}
