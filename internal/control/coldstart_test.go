package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// weightStore runs the simulated weight store on the virtual clock.
type weightStore struct {
	core *weights.Core
	done map[string]func()
	// wake is the time of the only tick that is delivered. The store counts
	// whole nanoseconds, so it would make no progress on ticks a nanosecond
	// apart.
	wake time.Time
}

// readWeights calls done once the checkpoint has been read; without a bounded
// weight store that is after the time that it takes at full speed.
func (c *cluster) readWeights(id string, fullSpeed time.Duration, done func()) {
	if c.weights == nil {
		c.after(fullSpeed, done)
		return
	}
	c.weights.done[id] = done
	c.stepWeights(weights.Read{ID: id, FullSpeed: fullSpeed})
}

func (c *cluster) stepWeights(message weights.Message) {
	for _, ended := range c.weights.core.Step(c.now, message) {
		c.weights.done[ended.ID]()
		delete(c.weights.done, ended.ID)
	}
	wake := c.weights.core.NextWake()
	c.weights.wake = wake
	if wake.IsZero() {
		return
	}
	c.after(max(0, wake.Sub(c.now)), func() {
		if c.weights.wake.Equal(wake) {
			c.stepWeights(weights.Tick{})
		}
	})
}

// coldStart tracks a model from the first want at a node until the node's table
// shows the model ready.
type coldStart struct {
	node                         fleet.NodeName
	model                        fleet.ModelVersion
	wantedAt, orderedAt, readyAt time.Time
}

// coldStartAt reports a want at the node now and then every second, as the
// node's queue does, until the node's table shows the model ready.
func (c *cluster) coldStartAt(name fleet.NodeName, model fleet.ModelVersion) *coldStart {
	start := &coldStart{node: name, model: model, wantedAt: c.now}
	c.coldStarts = append(c.coldStarts, start)
	var report func()
	report = func() {
		if start.readyAt.IsZero() && !c.nodes[name].down {
			c.reportWant(name, model, 1)
			c.after(time.Second, report)
		}
	}
	report()
	return start
}

func (c *cluster) noteOrdered(model fleet.ModelVersion) {
	for _, start := range c.coldStarts {
		if start.model == model && start.orderedAt.IsZero() {
			start.orderedAt = c.now
		}
	}
}

func (c *cluster) noteReady(name fleet.NodeName) {
	for _, start := range c.coldStarts {
		if start.node != name || !start.readyAt.IsZero() {
			continue
		}
		for _, table := range c.nodes[name].tables {
			if ready(table, start.model) {
				start.readyAt = c.now
			}
		}
	}
}

// durations returns the sorted times from want to load order and from want to
// ready.
func (c *cluster) durations(t *testing.T) (toOrder, toReady []time.Duration) {
	t.Helper()
	for _, start := range c.coldStarts {
		if start.readyAt.IsZero() {
			t.Errorf("%s, wanted at %s, never appeared as ready", start.model, start.node)
			continue
		}
		toOrder = append(toOrder, start.orderedAt.Sub(start.wantedAt))
		toReady = append(toReady, start.readyAt.Sub(start.wantedAt))
	}
	slices.Sort(toOrder)
	slices.Sort(toReady)
	return toOrder, toReady
}

func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Round(time.Millisecond)
}

func manyModels(count, replicas int) []catalog.ModelInfo {
	models := make([]catalog.ModelInfo, 0, count)
	for index := range count {
		model := fleet.ModelVersion{Model: fmt.Sprintf("model-%02d", index), Version: "1"}
		models = append(models, facts(model, replicas))
	}
	return models
}

// newBoundedStoreCluster returns a cluster of four zones whose weight store
// allows only a few loads a second.
func newBoundedStoreCluster(seed uint64, models []catalog.ModelInfo) *cluster {
	c := newCluster(clusterOptions{seed: seed, zones: 4, nodes: 2, engines: 5, models: models, boundedStore: true})
	c.run(10 * time.Second)
	return c
}

func TestColdStartsByPart(t *testing.T) {
	// A load takes two seconds. Each bound allows for the time until the last
	// load of the burst can begin at the store's rate of three loads a second,
	// plus half a second.
	cases := map[string]struct {
		start func(c *cluster, models []catalog.ModelInfo)
		bound time.Duration
	}{
		"one after another": {func(c *cluster, models []catalog.ModelInfo) {
			names := c.nodeNames()
			for index, facts := range models {
				c.coldStartAt(names[index%len(names)], facts.Model)
				c.run(4 * time.Second)
			}
		}, 3 * time.Second},
		"eight of one zone at once": {func(c *cluster, models []catalog.ModelInfo) {
			record := c.stored().Record
			started := 0
			for _, facts := range models {
				if record.Limit(facts.Model, "z0") > 0 && started < 8 {
					c.coldStartAt("z0-n0", facts.Model)
					started++
				}
			}
		}, 2500*time.Millisecond + 7*time.Second/3},
		"twelve of all zones at once": {func(c *cluster, models []catalog.ModelInfo) {
			names := c.nodeNames()
			for index, facts := range models[:12] {
				c.coldStartAt(names[index%len(names)], facts.Model)
			}
		}, 2500*time.Millisecond + 11*time.Second/3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			models := manyModels(32, 1)
			c := newBoundedStoreCluster(1, models)
			test.start(c, models)
			c.run(20 * time.Second)
			toOrder, toReady := c.durations(t)
			t.Logf("%d cold starts: want to order p50 %v, p99 %v; want to ready at the node p50 %v, p99 %v; at most %d concurrent loads",
				len(toReady), quantile(toOrder, 0.5), quantile(toOrder, 0.99), quantile(toReady, 0.5), quantile(toReady, 0.99),
				c.weights.core.Stats().PeakActive)
			if worst := quantile(toReady, 1); len(toReady) == 0 || worst > test.bound {
				t.Errorf("the longest cold start took %v, want at most %v", worst, test.bound)
			}
			// Zones that receive each other's tables late may start a few loads too
			// many.
			stats := c.weights.core.Stats()
			if maxLoads := c.settings.Placement.StoreConcurrency + 4; stats.PeakActive > maxLoads {
				t.Errorf("%d concurrent loads, want at most %d", stats.PeakActive, maxLoads)
			}
			if len(c.violations) > 0 {
				t.Errorf("violations: %v", c.violations)
			}
		})
	}
}

// TestFirstReplicasAreLoadedBeforeFurtherOnes wants eight models at all nodes
// at once; each model may have one replica in each zone. With loads of two
// seconds, the last first replica should be ready by the time that the store
// has let eight loads and half as many loads of further replicas begin.
func TestFirstReplicasAreLoadedBeforeFurtherOnes(t *testing.T) {
	models := manyModels(8, 4)
	c := newBoundedStoreCluster(2, models)
	for _, name := range c.nodeNames() {
		for _, facts := range models {
			c.coldStartAt(name, facts.Model)
		}
	}
	c.run(30 * time.Second)
	toOrder, toReady := c.durations(t)
	t.Logf("%d cold starts, %d loads: want to order p50 %v, p99 %v; want to ready at the node p50 %v, p99 %v", len(toReady),
		c.loads, quantile(toOrder, 0.5), quantile(toOrder, 0.99), quantile(toReady, 0.5), quantile(toReady, 0.99))
	if worst := quantile(toReady, 1); worst > 7*time.Second {
		t.Errorf("the longest cold start took %v, want at most 7s", worst)
	}
}

// TestWantsDuringARoundAreServedAtItsEnd wants a model while the leader claims
// its engines again.
func TestWantsDuringARoundAreServedAtItsEnd(t *testing.T) {
	for seed := range uint64(10) {
		models := manyModels(1, 1)
		c := newCluster(clusterOptions{seed: seed, zones: 1, nodes: 2, engines: 3, models: models})
		c.run(6 * time.Second)
		leader := c.leaderOf("z0")
		c.stepEngine("z0-e0", engine.Restart{})
		for c.leaderOf("z0") == leader {
			c.run(5 * time.Millisecond)
		}
		start := c.coldStartAt(c.nodeNames()[int(seed)%2], models[0].Model)
		c.run(5 * time.Second)
		if waited := start.orderedAt.Sub(start.wantedAt); start.orderedAt.IsZero() || waited > 700*time.Millisecond {
			t.Errorf("seed %d: ordered after %v, want at most 700ms", seed, waited)
		}
	}
}

func refusedAt(node *testNode, model fleet.ModelVersion) bool {
	return slices.ContainsFunc(node.refused, func(refusal fleet.LoadRefusal) bool { return refusal.Model == model })
}

// TestNewModelIsNotRefusedWhileItsAllotmentIsDecided wants a model from the
// moment that it is declared.
func TestNewModelIsNotRefusedWhileItsAllotmentIsDecided(t *testing.T) {
	c := newBoundedStoreCluster(3, manyModels(4, 1))
	c.models = manyModels(5, 1)
	declared := c.models[4].Model
	for _, name := range c.nodeNames() {
		c.send(name, CatalogChanged{Models: c.models, ColdStartWeight: 0.5})
		c.coldStartAt(name, declared)
	}
	c.run(10 * time.Second)
	_, toReady := c.durations(t)
	t.Logf("want to ready: p50 %v, max %v", quantile(toReady, 0.5), quantile(toReady, 1))
	if c.refusals > 0 {
		t.Errorf("%d refusals of a model that was loaded afterwards", c.refusals)
	}
}

// TestRefusalReachesAllNodesThatWait fills every engine with models that stay
// in demand, then wants one more model at all nodes.
func TestRefusalReachesAllNodesThatWait(t *testing.T) {
	models := manyModels(3, 1)
	c := newCluster(clusterOptions{seed: 4, zones: 1, nodes: 4, engines: 1, models: models})
	c.run(5 * time.Second)
	keep := func() {
		for _, facts := range models[:2] {
			c.reportWant("z0-n0", facts.Model, 1)
		}
	}
	for range 5 {
		keep()
		c.run(time.Second)
	}
	last := models[2].Model
	leader := c.leaderOf("z0")
	// Each node reports only once, so only a pushed refusal can reach the nodes
	// other than the leader.
	for _, name := range c.nodeNames() {
		c.reportWant(name, last, 1)
	}
	began := c.now
	for range 30 {
		if c.now.Sub(began) < 2500*time.Millisecond && refusedAt(c.nodes[leader], last) {
			t.Fatalf("refused after %v", c.now.Sub(began))
		}
		if c.now.Sub(began)%time.Second == 0 {
			keep()
			c.reportWant(leader, last, 1)
		}
		c.run(125 * time.Millisecond)
	}
	for _, name := range c.nodeNames() {
		if !refusedAt(c.nodes[name], last) {
			t.Errorf("%s was not refused", name)
		}
	}
}
