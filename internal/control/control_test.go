package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/objects"
)

var (
	modelA = fleet.ModelVersion{Model: "alarm", Version: "1"}
	modelB = fleet.ModelVersion{Model: "report", Version: "1"}
)

func facts(model fleet.ModelVersion, maxReplicas int) catalog.ModelInfo {
	return catalog.ModelInfo{Model: model, MemoryBytes: 14 * gib, CheckpointBytes: 14 * gib, MaxReplicas: maxReplicas}
}

func TestBurstAtManyNodesIsOneLoad(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 1, nodes: 4, engines: 3, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(5 * time.Second)
	if leaders := c.leaders(); len(leaders) != 1 {
		t.Fatalf("leaders %v, want one", leaders)
	}
	for range 5 {
		for _, name := range c.nodeNames() {
			c.reportWant(name, modelA, 3)
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

// reportWantEverywhere reports the want at all running nodes every second.
func (c *cluster) reportWantEverywhere(model fleet.ModelVersion, seconds int) {
	for range seconds {
		for _, name := range c.nodeNames() {
			if !c.nodes[name].down {
				c.reportWant(name, model, 1)
			}
		}
		c.run(time.Second)
	}
}

func TestLeavingEngineIsMarkedAtEveryNodeAndReplaced(t *testing.T) {
	c := newCluster(clusterOptions{seed: 2, zones: 1, nodes: 3, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(4 * time.Second)
	c.reportWantEverywhere(modelA, 5)
	holder := c.holderOf(modelA)
	c.stepEngine(holder, engine.Leave{})
	c.run(1500 * time.Millisecond)
	for _, name := range c.nodeNames() {
		if !leavingIn(c.nodes[name].tables["z0"], holder) {
			t.Errorf("table of %s does not mark %s as leaving", name, holder)
		}
	}
	c.reportWantEverywhere(modelA, 6)
	if now := c.holderOf(modelA); now == holder || now == "" {
		t.Errorf("the model is on %q, want an engine other than the leaving %q", now, holder)
	}
	if len(c.violations) > 0 {
		t.Errorf("violations: %v", c.violations)
	}
}

func (c *cluster) holderOf(model fleet.ModelVersion) fleet.BackendName {
	for _, name := range c.engineNames() {
		if state := c.engines[name].core.State(c.now); state.Find(model) != nil {
			return name
		}
	}
	return ""
}

func leavingIn(table fleet.RouteTable, name fleet.BackendName) bool {
	for _, state := range table.Engines {
		if state.Name == name {
			return state.Leaving
		}
	}
	return false
}

func TestPlannedStopHandsTheLeadershipOver(t *testing.T) {
	c := newCluster(clusterOptions{seed: 3, zones: 1, nodes: 3, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(4 * time.Second)
	before := c.leaderOf("z0")
	c.send(before, StopRequested{})
	c.run(time.Second)
	after := c.leaderOf("z0")
	if after == "" || after == before {
		t.Errorf("leader %q after %q stopped", after, before)
	}
}

func TestModelIsLoadedWhileTheStoreIsDown(t *testing.T) {
	c := newCluster(clusterOptions{seed: 4, zones: 1, nodes: 3, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(5 * time.Second)
	c.storeDown = true
	leader := c.leaderOf("z0")
	c.nodes[leader].down = true
	c.distributeMembers()
	c.run(4 * time.Second)
	c.reportWantEverywhere(modelA, 5)
	if c.replicas(modelA) != 1 {
		t.Errorf("%d replicas while the store is down and the leader lost; leaders %v", c.replicas(modelA), c.leaders())
	}
}

func TestModelThatCannotBeLoadedIsRefusedAtOnce(t *testing.T) {
	large := facts(modelA, 1)
	large.MemoryBytes = 100 * gib
	c := newCluster(clusterOptions{seed: 5, zones: 1, nodes: 2, engines: 2, models: []catalog.ModelInfo{large}})
	c.run(4 * time.Second)
	leader := c.leaderOf("z0")
	c.reportWant(leader, modelA, 1)
	c.run(100 * time.Millisecond)
	refused := c.nodes[leader].refused
	if len(refused) == 0 || refused[0].Reason != "no-memory" || refused[0].RetryAfter <= 0 {
		t.Errorf("refusals %v, want no-memory with a retry delay", refused)
	}
}

func TestRecordLostByTheStoreIsWrittenAgain(t *testing.T) {
	c := newCluster(clusterOptions{seed: 6, zones: 1, nodes: 2, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(5 * time.Second)
	before := c.stored().Record
	c.store = objects.New(0)
	// The leader notices the loss when it starts a round.
	c.stepEngine("z0-e0", engine.Restart{})
	c.run(5 * time.Second)
	after := c.stored().Record
	if after.Generation <= before.Generation || after.Limit(modelA, "z0") != 1 {
		t.Errorf("the store holds generation %d, want one newer than %d", after.Generation, before.Generation)
	}
}

func TestWantIsPassedToTheZoneWithAllotment(t *testing.T) {
	c := newCluster(clusterOptions{seed: 7, zones: 3, nodes: 2, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(5 * time.Second)
	record := c.stored().Record
	if len(record.Models) == 0 {
		t.Fatal("no allotment is decided after five seconds")
	}
	from := c.nodeWithoutAllotment(modelA)
	for range 5 {
		c.reportWant(from, modelA, 1)
		c.run(time.Second)
	}
	holder := c.holderOf(modelA)
	if holder == "" {
		t.Fatal("the model was not loaded")
	}
	zone := c.engines[holder].backend.Zone
	if record.Limit(modelA, zone) != 1 || !ready(c.nodes[from].tables[zone], modelA) {
		t.Errorf("loaded in %s; the table of %s shows it ready: %v", zone, from, ready(c.nodes[from].tables[zone], modelA))
	}
}

func TestModelUsedFromAnotherZoneStaysLoaded(t *testing.T) {
	c := newCluster(clusterOptions{seed: 8, zones: 2, nodes: 2, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(5 * time.Second)
	from := c.nodeWithoutAllotment(modelA)
	c.reportWant(from, modelA, 1)
	c.run(5 * time.Second)
	for range 25 * 12 {
		c.reportArrival(from, modelA)
		c.run(5 * time.Second)
	}
	if c.replicas(modelA) != 1 {
		t.Error("the model was unloaded while another zone used it")
	}
	c.run(20 * time.Minute)
	if c.replicas(modelA) != 0 {
		t.Error("the unused model stays loaded")
	}
}

// nodeWithoutAllotment returns a node whose zone has no allotment of the model.
func (c *cluster) nodeWithoutAllotment(model fleet.ModelVersion) fleet.NodeName {
	for _, name := range c.nodeNames() {
		if c.stored().Record.Limit(model, c.nodes[name].member.Zone) == 0 {
			return name
		}
	}
	return ""
}

// reportArrival reports a request that did not have to wait.
func (c *cluster) reportArrival(name fleet.NodeName, model fleet.ModelVersion) {
	c.send(name, WantsReported{From: name, Wants: []fleet.Want{{
		Model: model, Node: name, Zone: c.nodes[name].member.Zone, Arrivals: 1,
	}}})
}

func TestReplicaMovesWhereItsZoneCannotLoadIt(t *testing.T) {
	c := newCluster(clusterOptions{seed: 9, zones: 2, nodes: 2, engines: 1, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.run(5 * time.Second)
	from := c.nodeWithoutAllotment(modelA)
	full := c.engines["z0-e0"]
	if c.nodes[from].member.Zone == "z0" {
		full = c.engines["z1-e0"]
	}
	// The engine of the zone with the allotment is removed and not replaced.
	c.reclaim(full.backend.Name, 30*time.Second)
	for range 25 {
		c.reportWant(from, modelA, 1)
		c.run(time.Second)
	}
	if holder := c.holderOf(modelA); holder == "" || c.engines[holder].backend.Zone != c.nodes[from].member.Zone {
		t.Errorf("the model is on %q, wanted in the zone of %s", holder, from)
	}
	if len(c.violations) > 0 {
		t.Errorf("violations: %v", c.violations)
	}
}
