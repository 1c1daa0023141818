package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// restartBetweenClaims is the schedule that a round must survive by reading
// its engines again: leader one is granted engine e0, whose process then
// restarts; another leader claims the new process and loads there; only then
// does the claim of leader one reach e1.
func restartBetweenClaims(seed uint64, defects Defects) *cluster {
	c := newCluster(clusterOptions{
		seed: seed, zones: 1, nodes: 2, engins: 2, defects: defects,
		models: []catalog.ModelInfo{facts(modelA, 1)},
	})
	c.run(4 * time.Second)
	leaders := c.leaders()
	if len(leaders) != 1 {
		return c
	}
	first := leaders[0]
	second := c.nodeNames()[0]
	if second == first {
		second = c.nodeNames()[1]
	}
	c.hold = func(from fleet.NodeName, target fleet.BackendName) time.Duration {
		if from == first && target == "z0-e1" {
			return 700 * time.Millisecond
		}
		return 0
	}
	// The restart of e1 makes leader one begin a round, in which e0 is granted
	// at once and e1 late.
	c.stepEngine("z0-e1", engine.Restart{})
	for granted := c.engineFence("z0-e0"); c.engineFence("z0-e0") == granted; {
		c.run(5 * time.Millisecond)
	}
	c.stepEngine("z0-e0", engine.Restart{})
	c.nodes[second].suspects[first] = true
	c.sendMembers(second)
	for range 20 {
		c.want(first, modelA, 1)
		c.want(second, modelA, 1)
		c.run(100 * time.Millisecond)
	}
	return c
}

func (c *cluster) engineFence(name fleet.BackendName) fleet.Fence {
	return c.engines[name].core.State(c.now).Fence
}

func TestEngineRestartBetweenClaimsOfOneRound(t *testing.T) {
	caught := 0
	for seed := range uint64(40) {
		if c := restartBetweenClaims(seed, Defects{}); len(c.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, c.violations[0])
		}
		if c := restartBetweenClaims(seed, Defects{NoVerify: true}); len(c.violations) > 0 {
			caught++
		}
	}
	if caught == 0 {
		t.Error("a round without verification was never caught")
	}
	t.Logf("a round without verification was caught in %d of 40 schedules", caught)
}

// moveWhilePaused moves the only replica from the first zone to the second
// while a leader of the first is paused; then all engines of the first zone
// restart, and the paused leader goes on with the record it had.
func moveWhilePaused(seed uint64, defects Defects, faulty fleet.NodeName) (*cluster, fleet.NodeName) {
	c := newCluster(clusterOptions{
		seed: seed, zones: 2, nodes: 3, engins: 2, defects: defects, faulty: faulty,
		models: []catalog.ModelInfo{facts(modelA, 1)},
	})
	c.run(5 * time.Second)
	from, to := fleet.Zone("z0"), fleet.Zone("z1")
	if c.stored().Record.Limit(modelA, from) == 0 {
		from, to = to, from
	}
	paused := c.leaderOf(from)
	if paused == "" {
		return c, paused
	}
	c.nodes[paused].deaf = true
	c.nodes[paused].pausedUntil = c.now.Add(14 * time.Second)
	c.suspect(paused, 0, 40*time.Second)
	c.run(4 * time.Second)
	c.lower(from)
	for range 8 {
		c.complain(to)
		c.run(time.Second)
	}
	c.stepEngine(fleet.BackendName(from+"-e0"), engine.Restart{})
	c.stepEngine(fleet.BackendName(from+"-e1"), engine.Restart{})
	for _, name := range c.nodeNames() {
		if c.nodes[name].member.Zone == from && name != paused {
			c.nodes[name].pausedUntil = c.now.Add(20 * time.Second)
			c.nodes[paused].suspects[name] = true
			c.sendMembers(paused)
		}
	}
	for range 10 {
		for _, name := range c.nodeNames() {
			c.want(name, modelA, 2)
		}
		c.run(time.Second)
	}
	return c, paused
}

func (c *cluster) leaderOf(zone fleet.Zone) fleet.NodeName {
	for _, name := range c.leaders() {
		if c.nodes[name].member.Zone == zone {
			return name
		}
	}
	return ""
}

// lower takes the model's limit from the zone in the store.
func (c *cluster) lower(zone fleet.Zone) {
	stored := c.stored()
	record := stored.Record.Clone()
	record.Generation++
	share := record.Models[modelA].Zones[zone]
	if share.Limit == 0 || c.storeDown {
		return
	}
	share.Limit, share.LoweredAt = 0, record.Generation
	record.Models[modelA].Zones[zone] = share
	c.write(WriteRecord{Record: record, Expected: stored.StoreVersion}, func(Message) {})
}

// complain tells all nodes that the zone wants the model and has none.
func (c *cluster) complain(zone fleet.Zone) {
	for _, name := range c.nodeNames() {
		c.send(name, WantsReported{
			From: "elsewhere", Forwarded: true,
			Wants: []fleet.Want{{Model: modelA, Node: "elsewhere", Zone: zone, Waiting: 1, Deadline: c.now.Add(time.Minute)}},
		})
	}
}

func TestPausedLeaderWithAnOldRecord(t *testing.T) {
	caught, moved := 0, 0
	for seed := range uint64(20) {
		c, paused := moveWhilePaused(seed, Defects{}, "")
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, c.violations[0])
		}
		if c.replicas(modelA) == 1 {
			moved++
		}
		if c, _ := moveWhilePaused(seed, Defects{StaleAllotment: true}, paused); len(c.violations) > 0 {
			caught++
		}
	}
	if caught == 0 || moved == 0 {
		t.Errorf("caught %d, moved %d of 20: both must happen", caught, moved)
	}
	t.Logf("a round under an old record was caught in %d of 20 schedules; the replica moved in %d", caught, moved)
}

// TestEngineThatWasCalledGoneIsCountedAgain: the machine list calls an engine
// gone while it cannot be reached; then it answers, with the model that it
// held all the time. Nothing loads the model in between, where the list itself
// is wrong.
func TestEngineThatWasCalledGoneIsCountedAgain(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 1, nodes: 1, engins: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.wantEverywhere(modelA, 8)
	holder := c.holderOf(modelA)
	if holder == "" {
		t.Fatal("the model was not loaded")
	}
	// Meanwhile nothing is declared, so that nothing is loaded.
	leader := c.nodeNames()[0]
	c.send(leader, CatalogChanged{ColdStartWeight: 0.5})
	c.storeDown = true
	c.engines[holder].down = true
	c.engines[holder].state = objectstore.MachineGone
	c.spreadMachines()
	c.engines[holder].state = objectstore.MachineLive
	c.run(c.settings.GoneTimeout + 2*time.Second)
	if len(c.violations) > 0 || c.replicas(modelA) != 1 {
		t.Fatalf("while it is gone: %d replicas, %v", c.replicas(modelA), c.violations)
	}
	c.engines[holder].down = false
	c.run(3 * time.Second)
	c.send(leader, CatalogChanged{Models: c.models, ColdStartWeight: 0.5})
	c.wantEverywhere(modelA, 5)
	if len(c.violations) > 0 {
		t.Error(c.violations[0])
	}
}
