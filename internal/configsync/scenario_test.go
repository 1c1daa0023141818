package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// settledCluster holds ten models, of which every third was deleted.
func settledCluster(t *testing.T, zones []fleet.Zone, perZone int) *cluster {
	t.Helper()
	c := newCluster(zones, perZone, Options{})
	for index := range 10 {
		c.store.write("Model", fmt.Sprintf("m%d", index), false)
	}
	for index := 0; index < 10; index += 3 {
		c.store.write("Model", fmt.Sprintf("m%d", index), true)
	}
	c.setMachine("engine-1", objectstore.MachineLive)
	c.settle(100)
	c.requireConsistent(t)
	return c
}

func (c *cluster) requireConsistent(t *testing.T) {
	t.Helper()
	if c.violation != "" {
		t.Fatal(c.violation)
	}
	if difference := c.differences(); difference != "" {
		t.Fatal(difference)
	}
}

// watchingNodes returns the nodes of a zone that watch the store.
func (c *cluster) watchingNodes(zone fleet.Zone) []fleet.NodeName {
	var names []fleet.NodeName
	for _, node := range c.nodes {
		if node.member.Zone == zone && node.watch != nil {
			names = append(names, node.member.Name)
		}
	}
	return names
}

func TestTwoNodesOfAZoneReadTheStore(t *testing.T) {
	c := settledCluster(t, []fleet.Zone{"a", "b"}, 8)
	for _, zone := range []fleet.Zone{"a", "b"} {
		before := c.watchingNodes(zone)
		if len(before) != readersPerZone {
			t.Fatalf("zone %s has readers %v", zone, before)
		}
		c.node(before[0]).member.State = fleet.MemberDead
	}
	for _, node := range c.nodes {
		c.step(node, MembersChanged{Members: c.members()})
	}
	c.settle(10)
	for _, zone := range []fleet.Zone{"a", "b"} {
		var alive []fleet.NodeName
		for _, name := range c.watchingNodes(zone) {
			if c.node(name).member.Usable() {
				alive = append(alive, name)
			}
		}
		if len(alive) != readersPerZone {
			t.Errorf("zone %s has readers %v after one died", zone, alive)
		}
	}
}

func TestNodesStartFromPeersWhileTheStoreIsDown(t *testing.T) {
	c := settledCluster(t, []fleet.Zone{"a", "b"}, 4)
	c.store.down = true
	// All nodes of one zone restart at once, then those of the other.
	for _, zone := range []fleet.Zone{"a", "b"} {
		for _, node := range c.nodes {
			if node.member.Zone == zone {
				c.start(node)
			}
		}
		c.settle(100)
		c.requireConsistent(t)
	}
}

func TestRestoredStoreIsReportedAndNothingGoesBack(t *testing.T) {
	c := settledCluster(t, []fleet.Zone{"a"}, 4)
	held := c.store.version
	c.store.history = c.store.history[:5]
	c.store.version = 5
	c.settle(30)
	for _, node := range c.nodes {
		if version, _ := node.core.Version(); version != held {
			t.Errorf("%s is at version %d instead of %d", node.member.Name, version, held)
		}
		if objects := len(node.core.Objects()); objects != 6 {
			t.Errorf("%s holds %d objects", node.member.Name, objects)
		}
	}
	if len(c.reports) == 0 || c.reports[0] != (StoreBehind{Store: 5, Held: held}) {
		t.Errorf("reports: %v", c.reports)
	}
	// Once the store's revision exceeds the version in force, its list takes precedence.
	for c.store.version <= held {
		c.store.write("Model", "later", false)
	}
	c.violation = ""
	c.settle(200)
	later := objectstore.Key{Kind: "Model", Name: "later"}
	for _, node := range c.nodes {
		if object, _ := node.core.Lookup(later); object.Version != c.store.version {
			t.Errorf("%s holds the later model at version %d instead of %d", node.member.Name, object.Version, c.store.version)
		}
	}
}

func TestTombstonesAreBounded(t *testing.T) {
	const limit = 8
	held := newObjectTable(limit, Defects{})
	held.applyFull(Changes{})
	for version := uint64(1); version <= 200; version += 2 {
		object := objectstore.Object{Kind: "Model", Name: fmt.Sprint("m", version), Version: version}
		held.apply(Changes{Since: version - 1, Version: version, Objects: []objectstore.Object{object}})
		object.Version, object.Deleted = version+1, true
		held.apply(Changes{Since: version, Version: version + 1, Objects: []objectstore.Object{object}})
		if held.tombstones > limit || len(held.objects) > limit {
			t.Fatalf("%d tombstones of %d objects at version %d", held.tombstones, len(held.objects), version)
		}
	}
	if held.accept(objectstore.Object{Kind: "Model", Name: "m1", Version: 1}) {
		t.Error("a deleted object came back after its tombstone was dropped")
	}
}

// convergenceTimes writes to the store and returns, sorted, how long each write took to be in force
// on all nodes, on the virtual clock with one millisecond per hop.
func convergenceTimes(t *testing.T, c *cluster, writes int, loss float64) []time.Duration {
	t.Helper()
	const hop = time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var times []time.Duration
	for index := range writes {
		c.store.write("Model", fmt.Sprintf("w%d", index%7), false)
		writtenAt := c.now
		for !c.allReached(c.store.version) {
			for _, node := range c.nodes {
				c.deliverWatchEvent(node)
			}
			for remaining := len(c.inFlight); remaining > 0; remaining-- {
				if random.Float64() < loss {
					c.inFlight = c.inFlight[1:]
					continue
				}
				c.deliver(0, false)
			}
			c.advance(hop)
			if c.now.Sub(writtenAt) > time.Minute {
				t.Fatalf("version %d is not in force after a minute", c.store.version)
			}
		}
		times = append(times, c.now.Sub(writtenAt))
	}
	slices.Sort(times)
	return times
}

func (c *cluster) allReached(version uint64) bool {
	for _, node := range c.nodes {
		if held, _ := node.core.Version(); held < version {
			return false
		}
	}
	return true
}

func TestAcceptedIsInForceEverywhere(t *testing.T) {
	cases := []struct {
		name  string
		loss  float64
		bound time.Duration
	}{
		{"no loss", 0, time.Second},
		{"a twentieth of all messages lost", 0.05, 10 * time.Second},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			c := settledCluster(t, []fleet.Zone{"a", "b", "c", "d"}, 6)
			times := convergenceTimes(t, c, 60, testCase.loss)
			t.Logf("in force on %d nodes: median %v, longest %v", len(c.nodes), times[len(times)/2], times[len(times)-1])
			if longest := times[len(times)-1]; longest > testCase.bound {
				t.Errorf("took %v", longest)
			}
			if c.violation != "" {
				t.Error(c.violation)
			}
		})
	}
}

// TestZoneWithoutTheStoreHearsOfChangesSoon cuts both readers of a zone off from the store: changes
// that other zones read must still come into force there in time.
func TestZoneWithoutTheStoreHearsOfChangesSoon(t *testing.T) {
	const bound = 3 * time.Second
	c := settledCluster(t, []fleet.Zone{"a", "b", "c"}, 2)
	for _, node := range c.nodes {
		node.cutOff = node.member.Zone == "b"
	}
	c.settle(50)
	times := convergenceTimes(t, c, 200, 0)
	t.Logf("in force on %d nodes: median %v, longest %v", len(c.nodes), times[len(times)/2], times[len(times)-1])
	if longest := times[len(times)-1]; longest > bound {
		t.Errorf("took %v", longest)
	}
	if c.violation != "" {
		t.Error(c.violation)
	}
}
