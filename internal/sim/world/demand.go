package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	minBurstInterval   = 300 * time.Millisecond
	maxBurstInterval   = 4 * time.Second
	retryPatience      = 30 * time.Second
	retryInterval      = time.Second
	maxCallsPerNode    = 6
	maxNodesPerBurst   = 5
	maxServiceCalls    = 16
	maxServicePatience = 5 * time.Second
)

// demand generates bursts of calls in an open loop: each burst calls one model
// at several nodes at the same time.
type demand struct {
	world  *World
	random *rand.Rand
	calls  uint64
}

func newDemand(world *World) *demand {
	return &demand{world: world, random: world.streams.Stream("demand")}
}

func (d *demand) next() {
	d.world.scheduler.After(sim.Between(d.random, minBurstInterval, maxBurstInterval), func() {
		d.burst(modelAt(d.random.IntN(modelCount)))
		d.serviceCalls()
		d.next()
	})
}

func modelAt(index int) fleet.ModelVersion {
	return fleet.ModelVersion{Model: modelName(index), Version: modelVersion}
}

func (d *demand) burst(model fleet.ModelVersion) {
	first := d.random.IntN(len(d.world.nodes))
	for offset := range 1 + d.random.IntN(maxNodesPerBurst) {
		caller := d.world.nodes[(first+offset)%len(d.world.nodes)]
		if caller.acceptsCalls() {
			d.callsAt(caller, model)
		}
	}
}

func (d *demand) callsAt(caller *node, model fleet.ModelVersion) {
	priority := d.random.IntN(10)
	for range 1 + d.random.IntN(maxCallsPerNode) {
		drawn := d.newCall(caller, model, priority)
		drawn.send()
		if sim.Chance(d.random, cancelShare) {
			drawn.cancelAfter(sim.Between(d.random, 0, maxCancelDelay))
		}
	}
}

// serviceCalls draws non-repeatable service calls at random nodes.
func (d *demand) serviceCalls() {
	for range d.random.IntN(maxServiceCalls) {
		at := d.world.nodes[d.random.IntN(len(d.world.nodes))]
		patience, seed := sim.Between(d.random, minPatience, maxServicePatience), d.random.Uint64()
		if !at.acceptsCalls() {
			continue
		}
		d.calls++
		id := fleet.RequestID(fmt.Sprintf("s%05d", d.calls))
		d.world.checker.serviceSent(at.callService(id, patience, seed))
	}
}

// acceptsCalls reports whether the node accepts new calls.
func (n *node) acceptsCalls() bool {
	return n.process.State() == sim.ProcessRunning && !n.requests.draining
}

// retryUntilReady repeats calls to a model until the node's routing tables show
// a ready replica or retryPatience is over. done, if not nil, receives whether a
// replica is ready.
func (n *node) retryUntilReady(model fleet.ModelVersion, priority int, done func(bool)) {
	deadline := n.process.Now().Add(retryPatience)
	boot := n.process.Boot()
	var try func()
	try = func() {
		ready := n.ready(model)
		if ready || n.process.Now().After(deadline) {
			if done != nil {
				done(ready)
			}
			return
		}
		n.callFor(model, priority)
		n.world.scheduler.After(retryInterval, func() { n.process.Do(boot, try) })
	}
	try()
}

// callFor sends a call with a patience of retryPatience.
func (n *node) callFor(model fleet.ModelVersion, priority int) {
	created := n.world.demand.newCall(n, model, priority)
	created.patience = retryPatience
	created.send()
}

// requestAllModels calls every model until it is ready.
func (n *node) requestAllModels() {
	for index := range modelCount {
		n.retryUntilReady(modelAt(index), 1, nil)
	}
}

// ready reports whether the node's routing tables contain a ready replica in
// any zone, on an engine that is not leaving.
func (n *node) ready(model fleet.ModelVersion) bool {
	for _, table := range n.tables {
		for index := range table.Engines {
			loaded := table.Engines[index].Find(model)
			if loaded != nil && loaded.State == fleet.LoadReady && !table.Engines[index].Leaving {
				return true
			}
		}
	}
	return false
}
