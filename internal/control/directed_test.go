package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// restartBetweenClaims is a schedule that is safe only because a round reads
// its engines again after the claims: the first leader is granted engine e0,
// which then restarts; the second leader claims the restarted engine and loads
// a model there; only then does the first leader's claim reach e1.
func restartBetweenClaims(seed uint64, defects Defects) *cluster {
	c := newCluster(clusterOptions{
		seed: seed, zones: 1, nodes: 2, engines: 2, defects: defects,
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
	c.claimDelay = func(from fleet.NodeName, target fleet.BackendName) time.Duration {
		if from == first && target == "z0-e1" {
			return 700 * time.Millisecond
		}
		return 0
	}
	// The restart of e1 makes the first leader start a round, in which e0 is
	// granted at once and e1 late.
	c.stepEngine("z0-e1", engine.Restart{})
	for granted := c.engineFence("z0-e0"); c.engineFence("z0-e0") == granted; {
		c.run(5 * time.Millisecond)
	}
	c.stepEngine("z0-e0", engine.Restart{})
	c.nodes[second].suspected[first] = true
	c.sendMembers(second)
	for range 20 {
		c.reportWant(first, modelA, 1)
		c.reportWant(second, modelA, 1)
		c.run(100 * time.Millisecond)
	}
	return c
}

func (c *cluster) engineFence(name fleet.BackendName) fleet.Fence {
	return c.engines[name].core.State(c.now).Fence
}

func TestEngineRestartBetweenClaimsOfOneRound(t *testing.T) {
	detected := 0
	for seed := range uint64(40) {
		if c := restartBetweenClaims(seed, Defects{}); len(c.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, c.violations[0])
		}
		if c := restartBetweenClaims(seed, Defects{NoVerify: true}); len(c.violations) > 0 {
			detected++
		}
	}
	if detected == 0 {
		t.Error("no schedule exposed a round without verification")
	}
	t.Logf("a round without verification was detected in %d of 40 schedules", detected)
}

// moveWhilePaused moves the only replica from one zone to the other while the
// leader of the first zone is paused. Then all engines of the first zone
// restart, and the paused leader continues with its outdated record.
func moveWhilePaused(seed uint64, defects Defects, faulty fleet.NodeName) (*cluster, fleet.NodeName) {
	c := newCluster(clusterOptions{
		seed: seed, zones: 2, nodes: 3, engines: 2, defects: defects, faultyNode: faulty,
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
	c.nodes[paused].missesRecords = true
	c.nodes[paused].pausedUntil = c.now.Add(14 * time.Second)
	c.suspectNode(paused, 0, 40*time.Second)
	c.run(4 * time.Second)
	c.lowerLimit(from)
	for range 8 {
		c.reportUnservedWant(to)
		c.run(time.Second)
	}
	c.stepEngine(fleet.BackendName(from+"-e0"), engine.Restart{})
	c.stepEngine(fleet.BackendName(from+"-e1"), engine.Restart{})
	for _, name := range c.nodeNames() {
		if c.nodes[name].member.Zone == from && name != paused {
			c.nodes[name].pausedUntil = c.now.Add(20 * time.Second)
			c.nodes[paused].suspected[name] = true
			c.sendMembers(paused)
		}
	}
	for range 10 {
		for _, name := range c.nodeNames() {
			c.reportWant(name, modelA, 2)
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

// lowerLimit sets the zone's limit of the model to zero in the store.
func (c *cluster) lowerLimit(zone fleet.Zone) {
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

// reportUnservedWant reports to all nodes that the zone wants the model and
// cannot load it.
func (c *cluster) reportUnservedWant(zone fleet.Zone) {
	for _, name := range c.nodeNames() {
		c.send(name, WantsReported{
			From: "elsewhere", Forwarded: true,
			Wants: []fleet.Want{{Model: modelA, Node: "elsewhere", Zone: zone, Waiting: 1, Deadline: c.now.Add(time.Minute)}},
		})
	}
}

func TestPausedLeaderWithAnOldRecord(t *testing.T) {
	detected, moved := 0, 0
	for seed := range uint64(20) {
		c, paused := moveWhilePaused(seed, Defects{}, "")
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, c.violations[0])
		}
		if c.replicas(modelA) == 1 {
			moved++
		}
		if c, _ := moveWhilePaused(seed, Defects{StaleAllotment: true}, paused); len(c.violations) > 0 {
			detected++
		}
	}
	if detected == 0 || moved == 0 {
		t.Errorf("detected %d, moved %d of 20; both must be greater than 0", detected, moved)
	}
	t.Logf("a round under an outdated record was detected in %d of 20 schedules; the replica moved in %d", detected, moved)
}

// TestEngineThatWasCalledGoneIsCountedAgain: the machine list calls an engine
// gone while it is unreachable; later it answers, still holding its model.
// Nothing may load the model in the meantime, since the list itself is wrong.
func TestEngineThatWasCalledGoneIsCountedAgain(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 1, nodes: 1, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.reportWantEverywhere(modelA, 8)
	holder := c.holderOf(modelA)
	if holder == "" {
		t.Fatal("the model was not loaded")
	}
	// No models are declared in the meantime, so nothing is loaded.
	leader := c.nodeNames()[0]
	c.send(leader, CatalogChanged{ColdStartWeight: 0.5})
	c.storeDown = true
	c.engines[holder].down = true
	c.engines[holder].state = objectstore.MachineGone
	c.distributeMachines()
	c.engines[holder].state = objectstore.MachineLive
	c.run(c.settings.GoneTimeout + 2*time.Second)
	if len(c.violations) > 0 || c.replicas(modelA) != 1 {
		t.Fatalf("while the engine counts as gone: %d replicas, violations: %v", c.replicas(modelA), c.violations)
	}
	c.engines[holder].down = false
	c.run(3 * time.Second)
	c.send(leader, CatalogChanged{Models: c.models, ColdStartWeight: 0.5})
	c.reportWantEverywhere(modelA, 5)
	if len(c.violations) > 0 {
		t.Error(c.violations[0])
	}
}

// TestReadmittedEngineIsNotGone guards against a leader removing an engine from
// the record while it holds replicas: the engine had counted as gone for this
// node, which sent it no more requests, and another leader admitted it again.
func TestReadmittedEngineIsNotGone(t *testing.T) {
	c := newCluster(clusterOptions{seed: 1, zones: 1, nodes: 1, engines: 2, models: []catalog.ModelInfo{facts(modelA, 1)}})
	c.reportWantEverywhere(modelA, 8)
	holder := c.holderOf(modelA)
	core := c.nodes[c.nodeNames()[0]].core
	c.storeDown = true
	c.engines[holder].down = true
	c.engines[holder].state = objectstore.MachineGone
	c.distributeMachines()
	c.run(c.settings.GoneTimeout + 2*time.Second)
	if !core.gone.confirmed[holder] {
		t.Fatal("the engine does not count as gone")
	}
	admitted := core.record
	admitted.Record = admitted.Record.Clone()
	admitted.Record.Generation++
	for zone, entry := range admitted.Record.Zones {
		entry.JoinedAt = admitted.Record.Generation
		entry.Joining = []fleet.BackendName{holder}
		admitted.Record.Zones[zone] = entry
	}
	core.adoptRecord(admitted)
	if core.gone.confirmed[holder] {
		t.Error("an engine that was admitted again still counts as gone")
	}
}
