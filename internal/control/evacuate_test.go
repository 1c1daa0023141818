package control

import (
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// evacuate puts a configuration in force at all nodes in which just these zones
// are evacuated.
func (c *cluster) evacuate(zones ...string) {
	c.evacuations = evacuation.Snapshot{Zones: zones, Position: storepos.At(0, c.evacuations.Position.Revision+1)}
	c.spreadCatalog()
}

// loadsIn counts the model on the engines of a zone.
func (c *cluster) replicasIn(zone fleet.Zone, model fleet.ModelVersion) int {
	count := 0
	for _, name := range c.engineNames() {
		if c.engines[name].backend.Zone == zone && c.engines[name].core.State(c.now).Find(model) != nil {
			count++
		}
	}
	return count
}

// loadedCluster has each model loaded in the zone z0 only: the other one has no
// engines at first.
func loadedCluster(t *testing.T, seed uint64, models ...catalog.ModelInfo) *cluster {
	t.Helper()
	c := newCluster(clusterOptions{seed: seed, zones: 1, nodes: 3, engins: 3, models: models})
	c.run(4 * time.Second)
	for range 5 {
		for _, facts := range models {
			c.want("z0-n0", facts.Model, 1)
		}
		c.run(time.Second)
	}
	for _, facts := range models {
		if c.replicasIn("z0", facts.Model) == 0 {
			t.Fatalf("%s is not loaded", facts.Model)
		}
	}
	for index := range 3 {
		c.addEngine("z1", index)
		c.addNode("z1", index)
	}
	c.spreadMachines()
	for _, name := range c.nodeNames() {
		if c.nodes[name].core == nil {
			c.boot(name)
		}
	}
	c.run(6 * time.Second)
	return c
}

// TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhereUnasked although nobody asks for
// it, and nothing is loaded in the zone, whoever asks there.
func TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhereUnasked(t *testing.T) {
	for seed := range uint64(10) {
		c := loadedCluster(t, seed, facts(modelA, 1), facts(modelB, 1))
		c.evacuate("z0")
		c.run(12 * time.Second)
		for _, model := range []fleet.ModelVersion{modelA, modelB} {
			if c.replicasIn("z0", model) != 0 || c.replicasIn("z1", model) != 1 {
				t.Errorf("seed %d: %d replicas of %s in the evacuated zone, %d in the other", seed,
					c.replicasIn("z0", model), model, c.replicasIn("z1", model))
			}
		}
		if loads := c.loads; loads != 4 {
			t.Errorf("seed %d: %d loads, want 2 before and 2 after", seed, loads)
		}
		if len(c.violations) > 0 {
			t.Errorf("seed %d: violations: %v", seed, c.violations)
		}
	}
}

// TestWantsOfAnEvacuatedZoneAreServedByAnother: its nodes still have callers.
func TestWantsOfAnEvacuatedZoneAreServedByAnother(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 2, nodes: 3, engins: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(4 * time.Second)
	for _, zone := range []string{"z0", "z1"} {
		c.evacuate(zone)
		c.run(3 * time.Second)
		for range 10 {
			c.want(fleet.NodeName(zone+"-n1"), modelA, 1)
			c.run(time.Second)
		}
		other := fleet.Zone(map[string]string{"z0": "z1", "z1": "z0"}[zone])
		if c.replicasIn(fleet.Zone(zone), modelA) != 0 || c.replicasIn(other, modelA) != 1 {
			t.Errorf("%s evacuated: %d replicas there, %d in %s", zone, c.replicasIn(fleet.Zone(zone), modelA), c.replicasIn(other, modelA), other)
		}
	}
	if len(c.violations) > 0 {
		t.Errorf("violations: %v", c.violations)
	}
}

// TestAllZonesEvacuatedKeepWhatTheyHold: there is nowhere to move it to.
func TestAllZonesEvacuatedKeepWhatTheyHold(t *testing.T) {
	c := loadedCluster(t, 1, facts(modelA, 1))
	before := c.loads
	c.evacuate("z0", "z1")
	for range 6 {
		c.want("z0-n0", modelA, 1)
		c.want("z1-n0", modelB, 1)
		c.run(time.Second)
	}
	if c.replicasIn("z0", modelA) != 1 || c.loads != before {
		t.Errorf("%d replicas, %d further loads", c.replicasIn("z0", modelA), c.loads-before)
	}
	refused := func(refusal fleet.LoadRefusal) bool { return refusal.Reason == "zone-evacuated" }
	if !slices.ContainsFunc(c.nodes["z0-n0"].refused, refused) {
		t.Errorf("the node that waits was told %v", c.nodes["z0-n0"].refused)
	}
}

// TestEvacuationThatIsTakenBackLetsTheZoneLoadAgain, also where it is set and
// taken back in one moment.
func TestEvacuationThatIsTakenBackLetsTheZoneLoadAgain(t *testing.T) {
	c := newCluster(clusterOptions{seed: 5, zones: 1, nodes: 3, engins: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(4 * time.Second)
	c.evacuate("z0")
	c.wantEverywhere(modelA, 4)
	if c.loads != 0 {
		t.Fatalf("%d loads in the evacuated zone", c.loads)
	}
	c.evacuate()
	c.evacuate("z0")
	c.evacuate()
	c.wantEverywhere(modelA, 4)
	if c.replicas(modelA) != 1 {
		t.Errorf("%d replicas after the evacuation", c.replicas(modelA))
	}
}
