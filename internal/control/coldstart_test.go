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

// weightStore drives the stand-in's weight store on the virtual clock.
type weightStore struct {
	core *weights.Core
	done map[string]func()
	// wake is the only tick that counts: ticks a nanosecond apart would keep
	// the store, which counts whole nanoseconds, from any progress.
	wake time.Time
}

// readWeights calls back once the checkpoint was read; at full speed and at
// once in clusters without a bounded weight store.
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

// coldStart follows a model from its first want at a node until the node's
// table shows it ready.
type coldStart struct {
	node                   fleet.NodeName
	model                  fleet.ModelVersion
	wanted, ordered, shown time.Time
}

// coldStartAt reports a want at the node now, and each second until the node's
// table shows the model ready, as the node's queue does.
func (c *cluster) coldStartAt(name fleet.NodeName, model fleet.ModelVersion) *coldStart {
	start := &coldStart{node: name, model: model, wanted: c.now}
	c.coldStarts = append(c.coldStarts, start)
	var report func()
	report = func() {
		if start.shown.IsZero() && !c.nodes[name].down {
			c.want(name, model, 1)
			c.after(time.Second, report)
		}
	}
	report()
	return start
}

func (c *cluster) noteOrdered(model fleet.ModelVersion) {
	for _, start := range c.coldStarts {
		if start.model == model && start.ordered.IsZero() {
			start.ordered = c.now
		}
	}
}

func (c *cluster) noteShown(name fleet.NodeName) {
	for _, start := range c.coldStarts {
		if start.node != name || !start.shown.IsZero() {
			continue
		}
		for _, table := range c.nodes[name].tables {
			if ready(table, start.model) {
				start.shown = c.now
			}
		}
	}
}

// parts are the parts of the cold starts that have ended, sorted.
func (c *cluster) parts(t *testing.T) (toOrder, toShown []time.Duration) {
	t.Helper()
	for _, start := range c.coldStarts {
		if start.shown.IsZero() {
			t.Errorf("%s wanted at %s was never shown ready", start.model, start.node)
			continue
		}
		toOrder = append(toOrder, start.ordered.Sub(start.wanted))
		toShown = append(toShown, start.shown.Sub(start.wanted))
	}
	slices.Sort(toOrder)
	slices.Sort(toShown)
	return toOrder, toShown
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

// newColdCluster has four zones and the weight store of the profile with few
// loads a second.
func newColdCluster(seed uint64, models []catalog.ModelInfo) *cluster {
	c := newCluster(clusterOptions{seed: seed, zones: 4, nodes: 2, engins: 5, models: models, boundedStore: true})
	c.run(10 * time.Second)
	return c
}

func TestColdStartsByPart(t *testing.T) {
	// A load takes two seconds. The bounds leave what the store's rate of three
	// begins a second asks of the last of a burst, and half a second.
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
			c := newColdCluster(1, models)
			test.start(c, models)
			c.run(20 * time.Second)
			toOrder, toShown := c.parts(t)
			t.Logf("%d cold starts: to the order p50 %v, p99 %v; until shown at the node p50 %v, p99 %v; at most %d loads at once",
				len(toShown), quantile(toOrder, 0.5), quantile(toOrder, 0.99), quantile(toShown, 0.5), quantile(toShown, 0.99),
				c.weights.core.Stats().PeakActive)
			if worst := quantile(toShown, 1); len(toShown) == 0 || worst > test.bound {
				t.Errorf("the longest took %v, want at most %v", worst, test.bound)
			}
			// Zones that hear of each other late may begin a few loads too many.
			stats := c.weights.core.Stats()
			if most := c.settings.Placement.StoreConcurrency + 4; stats.PeakActive > most {
				t.Errorf("%d loads at once, want at most %d", stats.PeakActive, most)
			}
			if len(c.violations) > 0 {
				t.Errorf("violations: %v", c.violations)
			}
		})
	}
}

// TestFirstReplicasAreLoadedBeforeFurtherOnes wants eight models, of which each
// may have one replica in each zone, at all nodes at once: with loads of two
// seconds the last first replica should be there when the store has let eight
// loads begin, and half as many further ones.
func TestFirstReplicasAreLoadedBeforeFurtherOnes(t *testing.T) {
	models := manyModels(8, 4)
	c := newColdCluster(2, models)
	for _, name := range c.nodeNames() {
		for _, facts := range models {
			c.coldStartAt(name, facts.Model)
		}
	}
	c.run(30 * time.Second)
	toOrder, toShown := c.parts(t)
	t.Logf("%d cold starts, %d loads: to the order p50 %v, p99 %v; until shown at the node p50 %v, p99 %v", len(toShown),
		c.loads, quantile(toOrder, 0.5), quantile(toOrder, 0.99), quantile(toShown, 0.5), quantile(toShown, 0.99))
	if worst := quantile(toShown, 1); worst > 7*time.Second {
		t.Errorf("the longest took %v, want at most 7s", worst)
	}
}

// TestWantsDuringARoundAreServedAtItsEnd wants a model while the leader claims
// its engines anew.
func TestWantsDuringARoundAreServedAtItsEnd(t *testing.T) {
	for seed := range uint64(10) {
		models := manyModels(1, 1)
		c := newCluster(clusterOptions{seed: seed, zones: 1, nodes: 2, engins: 3, models: models})
		c.run(6 * time.Second)
		leader := c.leaderOf("z0")
		c.stepEngine("z0-e0", engine.Restart{})
		for c.leaderOf("z0") == leader {
			c.run(5 * time.Millisecond)
		}
		start := c.coldStartAt(c.nodeNames()[int(seed)%2], models[0].Model)
		c.run(5 * time.Second)
		if waited := start.ordered.Sub(start.wanted); start.ordered.IsZero() || waited > 700*time.Millisecond {
			t.Errorf("seed %d: ordered after %v, want at most 700ms", seed, waited)
		}
	}
}

func refusedAt(node *testNode, model fleet.ModelVersion) bool {
	return slices.ContainsFunc(node.refused, func(refusal fleet.LoadRefusal) bool { return refusal.Model == model })
}

// TestNewModelIsNotRefusedWhileItsAllotmentIsDecided wants a model from the
// moment it is declared.
func TestNewModelIsNotRefusedWhileItsAllotmentIsDecided(t *testing.T) {
	c := newColdCluster(3, manyModels(4, 1))
	c.models = manyModels(5, 1)
	declared := c.models[4].Model
	for _, name := range c.nodeNames() {
		c.send(name, CatalogChanged{Models: c.models, ColdStartWeight: 0.5})
		c.coldStartAt(name, declared)
	}
	c.run(10 * time.Second)
	_, toShown := c.parts(t)
	t.Logf("until shown p50 %v, most %v", quantile(toShown, 0.5), quantile(toShown, 1))
	if c.refusals > 0 {
		t.Errorf("%d refusals of a model that is then loaded", c.refusals)
	}
}

// TestRefusalReachesAllNodesThatWait fills every engine with models that are
// still wanted, and wants one more at all nodes.
func TestRefusalReachesAllNodesThatWait(t *testing.T) {
	models := manyModels(3, 1)
	c := newCluster(clusterOptions{seed: 4, zones: 1, nodes: 4, engins: 1, models: models})
	c.run(5 * time.Second)
	keep := func() {
		for _, facts := range models[:2] {
			c.want("z0-n0", facts.Model, 1)
		}
	}
	for range 5 {
		keep()
		c.run(time.Second)
	}
	last := models[2].Model
	leader := c.leaderOf("z0")
	// The nodes ask only once, so that only a push can reach those that are not
	// the leader.
	for _, name := range c.nodeNames() {
		c.want(name, last, 1)
	}
	began := c.now
	for range 30 {
		if c.now.Sub(began) < 2500*time.Millisecond && refusedAt(c.nodes[leader], last) {
			t.Fatalf("refused after %v", c.now.Sub(began))
		}
		if c.now.Sub(began)%time.Second == 0 {
			keep()
			c.want(leader, last, 1)
		}
		c.run(125 * time.Millisecond)
	}
	for _, name := range c.nodeNames() {
		if !refusedAt(c.nodes[name], last) {
			t.Errorf("%s was not refused", name)
		}
	}
}
