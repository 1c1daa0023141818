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

// evacuate applies a configuration at all nodes in which exactly these zones
// are evacuated.
func (c *cluster) evacuate(zones ...string) {
	c.evacuations = evacuation.Snapshot{Zones: zones, Position: storepos.At(0, c.evacuations.Position.Revision+1)}
	c.distributeCatalog()
}

// replicasIn counts the replicas of the model on the engines of a zone.
func (c *cluster) replicasIn(zone fleet.Zone, model fleet.ModelVersion) int {
	count := 0
	for _, name := range c.engineNames() {
		if c.engines[name].backend.Zone == zone && c.engines[name].core.State(c.now).Find(model) != nil {
			count++
		}
	}
	return count
}

// loadedCluster returns a cluster of two zones whose models are loaded in z0
// only; z1 is added after the loads.
func loadedCluster(t *testing.T, seed uint64, models ...catalog.ModelInfo) *cluster {
	t.Helper()
	c := newCluster(clusterOptions{seed: seed, zones: 1, nodes: 3, engines: 3, models: models})
	c.run(4 * time.Second)
	for range 5 {
		for _, facts := range models {
			c.reportWant("z0-n0", facts.Model, 1)
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
	c.distributeMachines()
	for _, name := range c.nodeNames() {
		if c.nodes[name].core == nil {
			c.boot(name)
		}
	}
	c.run(6 * time.Second)
	return c
}

// TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhereUnasked: the models are loaded
// in the other zone even if nobody requests them, and nothing is loaded in the
// evacuated one.
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

// TestWantsOfAnEvacuatedZoneAreServedByAnother: the nodes of an evacuated zone
// still receive requests.
func TestWantsOfAnEvacuatedZoneAreServedByAnother(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 2, nodes: 3, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(4 * time.Second)
	for _, zone := range []string{"z0", "z1"} {
		c.evacuate(zone)
		c.run(3 * time.Second)
		for range 10 {
			c.reportWant(fleet.NodeName(zone+"-n1"), modelA, 1)
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

// TestAllZonesEvacuatedKeepWhatTheyHold: no zone is left to move the models to.
func TestAllZonesEvacuatedKeepWhatTheyHold(t *testing.T) {
	c := loadedCluster(t, 1, facts(modelA, 1))
	before := c.loads
	c.evacuate("z0", "z1")
	for range 6 {
		c.reportWant("z0-n0", modelA, 1)
		c.reportWant("z1-n0", modelB, 1)
		c.run(time.Second)
	}
	if c.replicasIn("z0", modelA) != 1 || c.loads != before {
		t.Errorf("%d replicas in the zone, %d further loads", c.replicasIn("z0", modelA), c.loads-before)
	}
	refused := func(refusal fleet.LoadRefusal) bool { return refusal.Reason == "zone-evacuated" }
	if !slices.ContainsFunc(c.nodes["z0-n0"].refused, refused) {
		t.Errorf("refusals at the waiting node: %v", c.nodes["z0-n0"].refused)
	}
}

// TestEvacuationThatIsTakenBackLetsTheZoneLoadAgain, also if an evacuation
// starts and ends at the same moment.
func TestEvacuationThatIsTakenBackLetsTheZoneLoadAgain(t *testing.T) {
	c := newCluster(clusterOptions{seed: 5, zones: 1, nodes: 3, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(4 * time.Second)
	c.evacuate("z0")
	c.reportWantEverywhere(modelA, 4)
	if c.loads != 0 {
		t.Fatalf("%d loads in the evacuated zone", c.loads)
	}
	c.evacuate()
	c.evacuate("z0")
	c.evacuate()
	c.reportWantEverywhere(modelA, 4)
	if c.replicas(modelA) != 1 {
		t.Errorf("%d replicas after the evacuation", c.replicas(modelA))
	}
}
