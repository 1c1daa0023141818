package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// fault is one entry of a fault schedule.
type fault struct {
	Kind   string
	Target int
	// Pause is the time before the fault, Length its duration.
	Pause  time.Duration
	Length time.Duration
}

var faultKinds = []string{
	"pause-node", "restart-node", "restart-engine", "engine-down", "store-down",
	"suspect", "loss", "limits", "restart-zone-engines", "stop-node", "move-replica",
	"reclaim-engine", "add-engine", "evacuate", "regions",
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Target: rapid.IntRange(0, 7).Draw(t, "target"),
			Pause:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond,
			Length: time.Duration(rapid.IntRange(50, 8000).Draw(t, "length")) * time.Millisecond,
		}
	}), 1, 14).Draw(t, "faults")
}

// inject applies the fault and reverts it after its length.
func (c *cluster) inject(f fault) {
	nodes, engines := c.nodeNames(), c.engineNames()
	name, target := nodes[f.Target%len(nodes)], engines[f.Target%len(engines)]
	node := c.nodes[name]
	switch f.Kind {
	case "pause-node":
		node.pausedUntil = c.now.Add(f.Length)
		c.suspectNode(name, f.Length/3, f.Length)
	case "restart-node":
		node.down = true
		c.distributeMembers()
		c.after(f.Length, func() { c.boot(name) })
	case "stop-node":
		c.send(name, StopRequested{})
		c.after(f.Length, func() { c.boot(name) })
	case "restart-engine":
		c.stepEngine(target, engine.Restart{})
	case "restart-zone-engines":
		for _, other := range engines {
			if c.engines[other].backend.Zone == c.engines[target].backend.Zone {
				c.stepEngine(other, engine.Restart{})
			}
		}
	case "engine-down":
		c.engines[target].down = true
		c.after(f.Length, func() {
			if c.engines[target].state == objectstore.MachineGone {
				return
			}
			c.engines[target].down = false
			c.stepEngine(target, engine.Restart{})
		})
	case "store-down":
		c.storeDown = true
		c.after(f.Length, func() { c.storeDown = false })
	case "suspect":
		c.suspectNode(name, 0, f.Length)
	case "loss":
		c.lossRate = 0.2
		c.after(f.Length, func() { c.lossRate = 0 })
	case "reclaim-engine":
		c.reclaim(target, f.Length)
	case "add-engine":
		c.addEngine(c.engines[target].backend.Zone, len(engines))
		c.distributeMachines()
	case "evacuate":
		c.evacuate("z" + string('0'+rune(f.Target%2)))
		c.after(f.Length, func() { c.evacuate() })
	case "regions":
		c.topology = locality.NewMap(map[string]string{"z" + string('0'+rune(f.Target%2)): "north"})
		c.distributeCatalog()
	case "move-replica":
		c.lowerLimit(fleet.Zone("z" + string('0'+rune(f.Target%2))))
	case "limits":
		c.changeLimits(f.Target)
	}
}

// reclaim removes an engine's machine after the given time.
func (c *cluster) reclaim(name fleet.BackendName, length time.Duration) {
	target := c.engines[name]
	if target.state != objectstore.MachineLive {
		return
	}
	target.state = objectstore.MachineLeaving
	c.stepEngine(name, engine.Leave{})
	c.distributeMachines()
	c.after(length, func() {
		target.down = true
		target.state = objectstore.MachineGone
		c.stepEngine(name, engine.Tick{})
		c.distributeMachines()
	})
}

// distributeMachines sends the machine list to all nodes with delays of up to a
// second.
func (c *cluster) distributeMachines() {
	c.listMachines()
	list := c.machines
	for _, name := range c.nodeNames() {
		delay := time.Duration(c.random.IntN(1000)) * time.Millisecond
		c.after(delay, func() { c.send(name, MachinesChanged{List: list}) })
	}
}

// suspectNode makes all other nodes consider the node dead for a time; the node
// itself still considers itself alive.
func (c *cluster) suspectNode(name fleet.NodeName, delay, length time.Duration) {
	set := func(suspected bool) {
		for _, other := range c.nodeNames() {
			if other != name {
				c.nodes[other].suspected[name] = suspected
			}
		}
		c.distributeMembers()
	}
	c.after(delay, func() { set(true) })
	c.after(length, func() { set(false) })
}

// changeLimits declares different replica limits.
func (c *cluster) changeLimits(number int) {
	c.models = []catalog.ModelInfo{facts(modelA, 1+number%3), facts(modelB, 1+number%2)}
	c.distributeCatalog()
}

// busySchedule keeps reporting wants at all nodes while the faults are
// injected.
func (c *cluster) busySchedule(faults []fault) {
	c.run(4 * time.Second)
	begin := c.now
	at := begin
	for _, f := range faults {
		at = at.Add(f.Pause)
		c.after(at.Sub(begin), func() { c.inject(f) })
	}
	for c.now.Before(at.Add(10 * time.Second)) {
		for index, name := range c.nodeNames() {
			if c.nodes[name].down {
				continue
			}
			c.reportWant(name, modelA, 1+9*(index%2))
			if index%2 == 0 {
				c.reportWant(name, modelB, 4)
			} else if c.regionalDemand {
				c.reportRegionalWant(name, modelB, "north")
			}
		}
		c.run(700 * time.Millisecond)
	}
}

func newBusyCluster(seed uint64, defects Defects) *cluster {
	return newCluster(clusterOptions{
		seed: seed, zones: 2, nodes: 3, engines: 2, defects: defects,
		models: []catalog.ModelInfo{facts(modelA, 1), facts(modelB, 2)},
	})
}

func TestReplicasAndMemoryHoldUnderDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := drawFaults(t)
		c := newBusyCluster(rapid.Uint64().Draw(t, "seed"), Defects{})
		c.regionalDemand = rapid.Bool().Draw(t, "regional")
		c.busySchedule(faults)
		if len(c.violations) > 0 {
			t.Fatalf("violations: %v", c.violations[:min(3, len(c.violations))])
		}
		c.storeDown, c.lossRate = false, 0
		c.run(30 * time.Second)
		for _, name := range c.nodeNames() {
			c.reportWant(name, modelA, 1)
		}
		c.run(10 * time.Second)
		if c.replicas(modelA) == 0 {
			t.Fatalf("the model cannot be loaded after all faults have ended; leaders %v", c.leaders())
		}
	})
}

// TestLoweredLimitIsConfirmedAfterLostPushes replays a schedule found by rapid:
// the pushes of a lowered limit are lost, so that no majority holds it at
// first.
func TestLoweredLimitIsConfirmedAfterLostPushes(t *testing.T) {
	c := newBusyCluster(0x363, Defects{})
	c.busySchedule([]fault{
		{Kind: "move-replica", Pause: 3401 * time.Millisecond, Length: 50 * time.Millisecond},
		{Kind: "loss", Target: 3, Pause: 27 * time.Millisecond, Length: 142 * time.Millisecond},
	})
	c.run(10 * time.Second)
	for zone := range c.stored().Record.Models[modelA].Zones {
		if unconfirmed := c.stored().Record.Unconfirmed(zone); len(unconfirmed) > 0 {
			t.Errorf("zone %s has not confirmed %v", zone, unconfirmed)
		}
	}
}
