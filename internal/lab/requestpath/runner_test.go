package requestpath

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

const tested = 30 * time.Second

func figures(t *testing.T, run experiment.RunnerFunc, cell experiment.Cell) map[string]float64 {
	t.Helper()
	measured, err := run(t.Context(), experiment.Parameters{Cell: cell, Seed: 7, Duration: tested})
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, value := range measured.Values {
		values[value.Metric] = value.Value
	}
	return values
}

func TestOverloadKeepsGoodputAndRefusesInTime(t *testing.T) {
	t.Parallel()
	goodput := map[string]map[float64]float64{policyProduct: {}, policyPlain: {}}
	for policy, byLoad := range goodput {
		for _, load := range []float64{1, 2} {
			values := figures(t, RunOverload, experiment.Cell{Policy: policy, Load: load})
			byLoad[load] = values["goodput"]
			if policy == policyProduct && (values["refused late"] > 0 || values["unfinished"] > 0) {
				t.Errorf("load %g: %g refused late, %g unfinished", load, values["refused late"], values["unfinished"])
			}
		}
	}
	if ours := goodput[policyProduct]; ours[2] < 0.95*ours[1] {
		t.Errorf("goodput %v by load", ours)
	}
	if plain := goodput[policyPlain]; plain[2] > 0.5*plain[1] {
		t.Errorf("plain lines keep %v by load: the check cannot fail", plain)
	}
}

// TestCapacityIsThatOfTheEngines holds the loads' unit against what engines
// with long lines end.
func TestCapacityIsThatOfTheEngines(t *testing.T) {
	t.Parallel()
	settings := layout{zones: []fleet.Zone{"a"}, enginesPerZone: 1, nodeZones: 1, nodesPerZone: 1, plain: true}
	world := newWorld(settings, 3)
	if err := world.arrivals(t.Context(), tested, 3*capacity()); err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, call := range world.calls {
		if !call.ended.IsZero() && call.ended.Before(world.begun.Add(tested)) {
			ended++
		}
	}
	if rate := float64(ended) / tested.Seconds(); rate < 0.9*capacity() || rate > 1.1*capacity() {
		t.Errorf("an engine ends %.2f requests a second, %.2f are taken for its capacity", rate, capacity())
	}
}

func TestZoneLossMakesNoStormOverTheCores(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{faultPower, faultSilent} {
		cell := experiment.Cell{Policy: withBudget, Load: 0.5, Fault: fault}
		values := figures(t, RunZoneLoss, cell)
		if values["amplification"] > 1.2 || values["answers cut"] > 0 {
			t.Errorf("%s: amplification %g, %g answers cut", fault, values["amplification"], values["answers cut"])
		}
		if diff := cmp.Diff(values, figures(t, RunZoneLoss, cell)); diff != "" {
			t.Errorf("%s: the same seed gives other figures: %s", fault, diff)
		}
	}
}
