package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// oscillate wants four models in turn for twenty minutes, of which the only
// engine has room for two, and returns the most loads of one of them.
func oscillate(thrashWindow time.Duration) int {
	models := manyModels(4, 1)
	c := newCluster(clusterOptions{seed: 11, zones: 1, nodes: 2, engins: 1, models: models})
	// The nodes start anew with the settings of this test.
	c.settings.Placement.ThrashWindow = thrashWindow
	for _, name := range c.nodeNames() {
		c.boot(name)
	}
	c.run(5 * time.Second)
	loads := make(map[fleet.ModelVersion]int)
	held := make(map[fleet.ModelVersion]bool)
	for second := range 20 * 60 {
		c.want("z0-n0", models[second/5%len(models)].Model, 1)
		c.run(time.Second)
		for _, facts := range models {
			holds := c.replicas(facts.Model) > 0
			if holds && !held[facts.Model] {
				loads[facts.Model]++
			}
			held[facts.Model] = holds
		}
	}
	most := 0
	for _, count := range loads {
		most = max(most, count)
	}
	return most
}

// TestOscillatingLoadIsBounded holds the loads of one model to what doubling
// its least stay allows in two windows of ten minutes: 20 s (2^n - 1) is within
// ten minutes for four loads, and one more begins the next.
func TestOscillatingLoadIsBounded(t *testing.T) {
	const bound = 2 * 5
	bounded := oscillate(10 * time.Minute)
	unbounded := oscillate(0)
	t.Logf("most loads of a model in twenty minutes: %d, without the doubling %d", bounded, unbounded)
	if bounded > bound {
		t.Errorf("%d loads of a model, want at most %d", bounded, bound)
	}
	if unbounded <= bound {
		t.Errorf("%d loads without the doubling: the test cannot fail", unbounded)
	}
}
