package control

import (
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// reportRegionalWant reports requests that may run only in the regions.
func (c *cluster) reportRegionalWant(name fleet.NodeName, model fleet.ModelVersion, regions fleet.Regions) {
	c.send(name, WantsReported{From: name, Wants: []fleet.Want{{
		Model: model, Regions: regions, Node: name, Zone: c.nodes[name].member.Zone, Waiting: 1, Arrivals: 1,
		Deadline: c.now.Add(30 * time.Second),
	}}})
}

// refusalsIn returns the refusals that the nodes of a zone received.
func (c *cluster) refusalsIn(zone fleet.Zone) []fleet.LoadRefusal {
	var refused []fleet.LoadRefusal
	for _, name := range c.nodeNames() {
		if c.nodes[name].member.Zone == zone {
			refused = append(refused, c.nodes[name].refused...)
		}
	}
	return refused
}

func regionalCluster(seed uint64, models ...catalog.ModelInfo) *cluster {
	c := newCluster(clusterOptions{seed: seed, zones: 3, nodes: 3, engines: 2, models: models})
	c.topology = locality.NewMap(map[string]string{"z0": "north", "z1": "south", "z2": "south"})
	c.distributeCatalog()
	c.run(4 * time.Second)
	return c
}

// TestDemandOfARegionIsLoadedThere, wherever its callers are and wherever the
// model's only replica was allotted first.
func TestDemandOfARegionIsLoadedThere(t *testing.T) {
	for seed := range uint64(8) {
		for _, regions := range []fleet.Regions{"north", "south"} {
			c := regionalCluster(seed, facts(modelA, 1))
			for range 12 {
				for _, name := range []fleet.NodeName{"z0-n1", "z2-n0"} {
					c.reportRegionalWant(name, modelA, regions)
				}
				c.run(time.Second)
			}
			north, south := c.replicasIn("z0", modelA), c.replicasIn("z1", modelA)+c.replicasIn("z2", modelA)
			if got := map[fleet.Regions]int{"north": north, "south": south}; got[regions] != 1 || north+south != 1 {
				t.Errorf("seed %d: demand for %s, replicas %v", seed, regions, got)
			}
			if len(c.violations) > 0 {
				t.Errorf("seed %d: violations: %v", seed, c.violations)
			}
		}
	}
}

// TestDemandsOfTwoRegionsAreBothServed by one replica each.
func TestDemandsOfTwoRegionsAreBothServed(t *testing.T) {
	c := regionalCluster(3, facts(modelA, 2))
	for range 12 {
		c.reportRegionalWant("z1-n0", modelA, "north")
		c.reportRegionalWant("z1-n0", modelA, "south")
		c.run(time.Second)
	}
	if north, south := c.replicasIn("z0", modelA), c.replicasIn("z1", modelA)+c.replicasIn("z2", modelA); north != 1 || south != 1 {
		t.Errorf("%d replicas in the north, %d in the south", north, south)
	}
}

// TestDemandOfNoZoneIsRefused, also if the only zone of its regions is
// evacuated, and without a refusal to requests that may run elsewhere.
func TestDemandOfNoZoneIsRefused(t *testing.T) {
	c := regionalCluster(4, facts(modelA, 1))
	c.evacuate("z0")
	for range 6 {
		c.reportRegionalWant("z1-n0", modelA, "north")
		c.reportRegionalWant("z1-n0", modelA, "west")
		c.reportWant("z1-n0", modelA, 1)
		c.run(time.Second)
	}
	reasons := make(map[fleet.Regions]string)
	for _, refusal := range c.refusalsIn("z1") {
		reasons[refusal.Regions] = refusal.Reason
	}
	if reasons["north"] != reasonNoZone || reasons["west"] != reasonNoZone || reasons[""] != "" {
		t.Errorf("refusals: %v", reasons)
	}
	if c.replicasIn("z0", modelA) != 0 || c.replicas(modelA) != 1 {
		t.Errorf("%d replicas, %d in the evacuated zone", c.replicas(modelA), c.replicasIn("z0", modelA))
	}
}

// TestDemandWithoutAllotmentIsRefusedInTime: the only replica is in use in
// another region.
func TestDemandWithoutAllotmentIsRefusedInTime(t *testing.T) {
	c := regionalCluster(5, facts(modelA, 1))
	for range 6 {
		c.reportRegionalWant("z0-n0", modelA, "north")
		c.run(time.Second)
	}
	for range 6 {
		c.reportRegionalWant("z0-n0", modelA, "north")
		c.reportRegionalWant("z0-n0", modelA, "south")
		c.run(time.Second)
	}
	refused := func(refusal fleet.LoadRefusal) bool {
		return refusal.Regions == "south" && refusal.Reason == reasonNoAllotment
	}
	if !slices.ContainsFunc(c.refusalsIn("z0"), refused) {
		t.Errorf("refusals: %v", c.refusalsIn("z0"))
	}
}
