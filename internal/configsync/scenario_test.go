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
	c.mustHold(t)
	return c
}

func (c *cluster) mustHold(t *testing.T) {
	t.Helper()
	if c.failure != "" {
		t.Fatal(c.failure)
	}
	if difference := c.differences(); difference != "" {
		t.Fatal(difference)
	}
}

// readers counts the nodes of a zone that watch the store.
func (c *cluster) readers(zone fleet.Zone) []fleet.NodeName {
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
		before := c.readers(zone)
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
		var living []fleet.NodeName
		for _, name := range c.readers(zone) {
			if c.node(name).member.Usable() {
				living = append(living, name)
			}
		}
		if len(living) != readersPerZone {
			t.Errorf("zone %s has readers %v after a death", zone, living)
		}
	}
}

func TestNodesStartFromPeersWhileTheStoreIsDown(t *testing.T) {
	c := settledCluster(t, []fleet.Zone{"a", "b"}, 4)
	c.store.down = true
	// One zone after the other loses all its nodes at once.
	for _, zone := range []fleet.Zone{"a", "b"} {
		for _, node := range c.nodes {
			if node.member.Zone == zone {
				c.start(node)
			}
		}
		c.settle(100)
		c.mustHold(t)
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
	// Once the store's revisions pass the version in force, its list rules.
	for c.store.version <= held {
		c.store.write("Model", "later", false)
	}
	c.failure = ""
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
	held := newLedger(limit, Defects{})
	held.applyAll(Changes{})
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

// inForceTimes writes and returns how long each write took until all nodes had
// it in force, in order, on the virtual clock with a millisecond each hop.
func inForceTimes(t *testing.T, c *cluster, writes int, loss float64) []time.Duration {
	t.Helper()
	const hop = time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var times []time.Duration
	for index := range writes {
		c.store.write("Model", fmt.Sprintf("w%d", index%7), false)
		accepted := c.now
		for !c.allHold(c.store.version) {
			for _, node := range c.nodes {
				c.pump(node)
			}
			for under := len(c.inFlight); under > 0; under-- {
				if random.Float64() < loss {
					c.inFlight = c.inFlight[1:]
					continue
				}
				c.deliver(0, false)
			}
			c.advance(hop)
			if c.now.Sub(accepted) > time.Minute {
				t.Fatalf("version %d is not in force after a minute", c.store.version)
			}
		}
		times = append(times, c.now.Sub(accepted))
	}
	slices.Sort(times)
	return times
}

func (c *cluster) allHold(version uint64) bool {
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
			times := inForceTimes(t, c, 60, testCase.loss)
			t.Logf("in force on %d nodes: median %v, longest %v", len(c.nodes), times[len(times)/2], times[len(times)-1])
			if longest := times[len(times)-1]; longest > testCase.bound {
				t.Errorf("took %v", longest)
			}
			if c.failure != "" {
				t.Error(c.failure)
			}
		})
	}
}

// TestZoneWithoutTheStoreHearsOfChangesSoon parts both readers of a zone from
// the store: what others accept must still come into force there in time.
func TestZoneWithoutTheStoreHearsOfChangesSoon(t *testing.T) {
	const bound = 3 * time.Second
	c := settledCluster(t, []fleet.Zone{"a", "b", "c"}, 2)
	for _, node := range c.nodes {
		node.cutOff = node.member.Zone == "b"
	}
	c.settle(50)
	times := inForceTimes(t, c, 200, 0)
	t.Logf("in force on %d nodes: median %v, longest %v", len(c.nodes), times[len(times)/2], times[len(times)-1])
	if longest := times[len(times)-1]; longest > bound {
		t.Errorf("took %v", longest)
	}
	if c.failure != "" {
		t.Error(c.failure)
	}
}
