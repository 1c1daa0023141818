package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

var (
	modelA = fleet.ModelVersion{Model: "alarm", Version: "1"}
	modelB = fleet.ModelVersion{Model: "report", Version: "1"}
)

func facts(model fleet.ModelVersion, most int) catalog.ModelFacts {
	return catalog.ModelFacts{Model: model, MemoryBytes: 14 * gib, CheckpointBytes: 14 * gib, MaxReplicas: most}
}

func TestBurstAtManyNodesIsOneLoad(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 1, nodes: 4, engins: 3, models: []catalog.ModelFacts{facts(modelA, 1)}})
	c.run(5 * time.Second)
	if leaders := c.leaders(); len(leaders) != 1 {
		t.Fatalf("leaders %v, want one", leaders)
	}
	for range 5 {
		for _, name := range c.nodeNames() {
			c.want(name, modelA, 3)
		}
		c.run(time.Second)
	}
	if c.loads != 1 || c.replicas(modelA) != 1 {
		t.Errorf("%d loads, %d replicas, want one of each", c.loads, c.replicas(modelA))
	}
	for _, name := range c.nodeNames() {
		if !ready(c.nodes[name].tables["z0"], modelA) {
			t.Errorf("table of %s does not show the replica", name)
		}
	}
	if len(c.violations) > 0 {
		t.Errorf("violations: %v", c.violations)
	}
}

func ready(table fleet.RouteTable, model fleet.ModelVersion) bool {
	for _, state := range table.Engines {
		if loaded := state.Find(model); loaded != nil && loaded.State == fleet.LoadReady {
			return true
		}
	}
	return false
}
