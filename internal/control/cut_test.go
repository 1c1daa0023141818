package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// TestModelsAreLoadedWhileNodesReachNoEngine guards against a leader that keeps its zone while its orders reach
// no engine: models that the zone lacks were not loaded, whoever waited for them.
func TestModelsAreLoadedWhileNodesReachNoEngine(t *testing.T) {
	const bound = 10 * time.Second
	cases := map[string]struct {
		cut        int
		leaderDies bool
	}{
		"the leader":                     {1, false},
		"the leader and its successor":   {2, false},
		"the successor of a dead leader": {2, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				models := manyModels(2, 1)
				c := newCluster(clusterOptions{seed: seed, zones: 1, nodes: 4, engines: 3, models: models})
				c.run(6*time.Second + time.Duration(seed)*37*time.Millisecond)
				leader := c.leaderOf("z0")
				for _, cut := range append([]fleet.NodeName{leader}, c.nodesByRank("z0", leader)...)[:test.cut] {
					c.nodes[cut].reachesNoEngine = true
				}
				if test.leaderDies {
					c.nodes[leader].down = true
					c.distributeMembers()
				}
				for end := c.now.Add(bound); c.now.Before(end) && c.replicas(models[0].Model) == 0; c.run(time.Second) {
					for _, name := range c.nodeNames() {
						if !c.nodes[name].down {
							c.reportWant(name, models[0].Model, 3)
						}
					}
				}
				if c.replicas(models[0].Model) == 0 {
					t.Errorf("seed %d: %s is not loaded within %v", seed, models[0].Model, bound)
				}
				for _, violation := range c.violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// nodesByRank returns the nodes of the zone but one, in the order in which they succeed its leader.
func (c *cluster) nodesByRank(zone fleet.Zone, without fleet.NodeName) (names []fleet.NodeName) {
	for _, member := range c.nodes[without].core.peersInZone(zone) {
		names = append(names, member.Name)
	}
	return names
}

// TestOutageOfAllEnginesIsNoReasonToGoOnCeding: each node gives up its leadership once at most, and the zone
// has a leader when the engines are back.
func TestOutageOfAllEnginesIsNoReasonToGoOnCeding(t *testing.T) {
	for seed := range uint64(10) {
		models := manyModels(2, 1)
		c := newCluster(clusterOptions{seed: seed, zones: 1, nodes: 4, engines: 3, models: models})
		c.run(6 * time.Second)
		for _, target := range c.engines {
			target.down = true
		}
		last, changes := c.leaderOf("z0"), 0
		for range 200 {
			c.run(100 * time.Millisecond)
			if current := c.leaderOf("z0"); current != "" && current != last {
				last = current
				changes++
			}
		}
		if changes >= len(c.nodes) {
			t.Errorf("seed %d: %d changes of the leader in 20 s of an outage", seed, changes)
		}
		for _, target := range c.engines {
			target.down = false
		}
		for range 10 {
			c.reportWant(last, models[0].Model, 3)
			c.run(time.Second)
		}
		if c.replicas(models[0].Model) == 0 {
			t.Errorf("seed %d: not loaded within 10 s of the outage", seed)
		}
	}
}
