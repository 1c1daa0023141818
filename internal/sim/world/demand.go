package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	burstLeast       = 300 * time.Millisecond
	burstMost        = 4 * time.Second
	wantPatience     = 30 * time.Second
	wantInterval     = time.Second
	callsAtOnce      = 6
	burstNodeMost    = 5
	serviceCallsMost = 16
	serviceWaitMost  = 5 * time.Second
)

// demand draws bursts of calls, in an open loop: a model is wanted at many
// nodes at once.
type demand struct {
	world  *World
	random *rand.Rand
	calls  uint64
}

func newDemand(world *World) *demand {
	return &demand{world: world, random: world.streams.Stream("demand")}
}

func (d *demand) next() {
	d.world.scheduler.After(sim.Between(d.random, burstLeast, burstMost), func() {
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
	for offset := range 1 + d.random.IntN(burstNodeMost) {
		wanting := d.world.nodes[(first+offset)%len(d.world.nodes)]
		if wanting.serves() {
			d.callsAt(wanting, model)
		}
	}
}

func (d *demand) callsAt(wanting *node, model fleet.ModelVersion) {
	priority := d.random.IntN(10)
	for range 1 + d.random.IntN(callsAtOnce) {
		drawn := d.newCall(wanting, model, priority)
		drawn.send()
		if sim.Chance(d.random, cancelShare) {
			drawn.leaveAfter(sim.Between(d.random, 0, cancelMost))
		}
	}
}

// serviceCalls draws calls that may not be repeated, at any nodes.
func (d *demand) serviceCalls() {
	for range d.random.IntN(serviceCallsMost) {
		at := d.world.nodes[d.random.IntN(len(d.world.nodes))]
		patience, seed := sim.Between(d.random, patienceLeast, serviceWaitMost), d.random.Uint64()
		if !at.serves() {
			continue
		}
		d.calls++
		id := fleet.RequestID(fmt.Sprintf("s%05d", d.calls))
		d.world.judge.serviceSent(at.callService(id, patience, seed))
	}
}

// serves reports whether the node takes new calls.
func (n *node) serves() bool {
	return n.process.State() == sim.ProcessRunning && !n.requests.draining
}

// want calls for a model again and again until a replica is ready by the
// tables that the node routes by, or until patience ends; served, if set, is
// told.
func (n *node) want(model fleet.ModelVersion, priority int, served func(bool)) {
	deadline := n.process.Now().Add(wantPatience)
	boot := n.process.Boot()
	var again func()
	again = func() {
		ready := n.ready(model)
		if ready || n.process.Now().After(deadline) {
			if served != nil {
				served(ready)
			}
			return
		}
		n.callFor(model, priority)
		n.world.scheduler.After(wantInterval, func() { n.process.Do(boot, again) })
	}
	again()
}

// callFor sends a patient call.
func (n *node) callFor(model fleet.ModelVersion, priority int) {
	wanted := n.world.demand.newCall(n, model, priority)
	wanted.patience = wantPatience
	wanted.send()
}

// wantEverything wants every model.
func (n *node) wantEverything() {
	for index := range modelCount {
		n.want(modelAt(index), 1, nil)
	}
}

// ready reports whether the node knows a ready replica in any zone.
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
