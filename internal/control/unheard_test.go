package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// addEngineKnownToLeaderOnly adds an engine that only the leader knows: the
// other nodes miss the record that names it. The leader tries to load a model
// there and stops; the store goes down, the older engine restarts, and another
// leader reads the older record from a majority.
func addEngineKnownToLeaderOnly(seed uint64) (c *cluster, loadedOnNew bool) {
	large := facts(modelB, 1)
	large.MemoryBytes = 30 * gib
	c = newCluster(clusterOptions{seed: seed, zones: 1, nodes: 3, engines: 1, models: []catalog.ModelInfo{facts(modelA, 1), large}})
	c.run(5 * time.Second)
	leader := c.leaderOf("z0")
	c.reportWantEverywhere(modelB, 4)
	for _, name := range c.nodeNames() {
		c.nodes[name].missesRecords = name != leader
	}
	// The older engine is full, so the model goes to the new one.
	c.addEngine("z0", 1)
	c.listMachines()
	c.send(leader, MachinesChanged{List: c.machines})
	for range 30 {
		c.reportWant(leader, modelA, 1)
		c.run(100 * time.Millisecond)
		if c.holderOf(modelA) == "z0-e1" {
			break
		}
	}
	loadedOnNew = c.holderOf(modelA) == "z0-e1"
	c.nodes[leader].down = true
	c.storeDown = true
	c.stepEngine("z0-e0", engine.Restart{})
	c.distributeMembers()
	for range 8 {
		for _, name := range c.nodeNames() {
			if name != leader {
				c.reportWant(name, modelA, 1)
			}
		}
		c.run(time.Second)
	}
	return c, loadedOnNew
}

// TestEngineThatAMajorityHasNotHeardOfIsNotUsed checks, with a store that goes
// down, that an engine unknown to a later round cannot have been used.
func TestEngineThatAMajorityHasNotHeardOfIsNotUsed(t *testing.T) {
	for seed := range uint64(20) {
		c, used := addEngineKnownToLeaderOnly(seed)
		if used {
			t.Errorf("seed %d: the engine was used although one node of three knows of it", seed)
		}
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: used %v, leaders %v: %v", seed, used, c.leaders(), c.violations[0])
		}
	}
}
