package requestpath

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

const testDuration = 30 * time.Second

func measure(t *testing.T, run experiment.RunnerFunc, cell experiment.Cell) map[string]float64 {
	t.Helper()
	measured, err := run(t.Context(), experiment.Parameters{Cell: cell, Seed: 7, Duration: testDuration})
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
			values := measure(t, RunOverload, experiment.Cell{Policy: policy, Load: load})
			byLoad[load] = values["goodput"]
			if policy == policyProduct && (values["refused late"] > 0 || values["unfinished"] > 0) {
				t.Errorf("load %g: %g refused late, %g unfinished", load, values["refused late"], values["unfinished"])
			}
		}
	}
	if product := goodput[policyProduct]; product[2] < 0.95*product[1] {
		t.Errorf("goodput by load is %v, expected at load 2 at least 95 %% of that at load 1", product)
	}
	if baseline := goodput[policyPlain]; baseline[2] > 0.5*baseline[1] {
		t.Errorf("the baseline's goodput by load is %v: without a collapse the test proves nothing", baseline)
	}
}

// TestCapacityIsThatOfTheEngines compares capacity, the unit of the loads, with the
// throughput of an engine whose queue is never empty.
func TestCapacityIsThatOfTheEngines(t *testing.T) {
	t.Parallel()
	settings := topology{zones: []fleet.Zone{"a"}, enginesPerZone: 1, nodeZones: 1, nodesPerZone: 1, baseline: true}
	simulation := newSimulation(settings, 3)
	if err := simulation.generateArrivals(t.Context(), testDuration, 3*capacity()); err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, call := range simulation.calls {
		if !call.ended.IsZero() && call.ended.Before(simulation.started.Add(testDuration)) {
			ended++
		}
	}
	if rate := float64(ended) / testDuration.Seconds(); rate < 0.9*capacity() || rate > 1.1*capacity() {
		t.Errorf("an engine completes %.2f requests a second, its computed capacity is %.2f", rate, capacity())
	}
}

func TestZoneLossMakesNoStormOverTheCores(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{faultPower, faultSilent} {
		cell := experiment.Cell{Policy: withBudget, Load: 0.5, Fault: fault}
		values := measure(t, RunZoneLoss, cell)
		if values["amplification"] > 1.2 || values["answers cut"] > 0 {
			t.Errorf("%s: amplification %g, %g answers cut", fault, values["amplification"], values["answers cut"])
		}
		if diff := cmp.Diff(values, measure(t, RunZoneLoss, cell)); diff != "" {
			t.Errorf("%s: the same seed gave different values: %s", fault, diff)
		}
	}
}
