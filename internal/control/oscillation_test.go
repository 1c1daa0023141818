package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// oscillate wants four models in turn for twenty minutes while the only engine
// has memory for two, and returns the maximum number of loads of one model.
func oscillate(thrashWindow time.Duration) int {
	models := manyModels(4, 1)
	c := newCluster(clusterOptions{seed: 11, zones: 1, nodes: 2, engines: 1, models: models})
	// The nodes restart with the settings of this test.
	c.settings.Placement.ThrashWindow = thrashWindow
	for _, name := range c.nodeNames() {
		c.boot(name)
	}
	c.run(5 * time.Second)
	loads := make(map[fleet.ModelVersion]int)
	held := make(map[fleet.ModelVersion]bool)
	for second := range 20 * 60 {
		c.reportWant("z0-n0", models[second/5%len(models)].Model, 1)
		c.run(time.Second)
		for _, facts := range models {
			holds := c.replicas(facts.Model) > 0
			if holds && !held[facts.Model] {
				loads[facts.Model]++
			}
			held[facts.Model] = holds
		}
	}
	maxLoads := 0
	for _, count := range loads {
		maxLoads = max(maxLoads, count)
	}
	return maxLoads
}

// TestOscillatingLoadIsBounded bounds the loads of one model by the minimum
// residence time, which starts at 20 s and doubles with every load: in each of
// the two windows of ten minutes, 20 s (2^n - 1) allows four loads, and one
// more begins the next window.
func TestOscillatingLoadIsBounded(t *testing.T) {
	const bound = 2 * 5
	bounded := oscillate(10 * time.Minute)
	unbounded := oscillate(0)
	t.Logf("maximum loads of a model in twenty minutes: %d, without doubling %d", bounded, unbounded)
	if bounded > bound {
		t.Errorf("%d loads of a model, want at most %d", bounded, bound)
	}
	if unbounded <= bound {
		t.Errorf("%d loads without doubling do not exceed the bound, so the test proves nothing", unbounded)
	}
}
