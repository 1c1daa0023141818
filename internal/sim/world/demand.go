package world

import (
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	burstLeast    = 300 * time.Millisecond
	burstMost     = 4 * time.Second
	wantPatience  = 30 * time.Second
	wantInterval  = time.Second
	wantedAtOnce  = 6
	burstNodeMost = 5
)

// demand draws bursts: a model is wanted at many nodes at once.
type demand struct {
	world  *World
	random *rand.Rand
}

func newDemand(world *World) *demand {
	return &demand{world: world, random: world.streams.Stream("demand")}
}

func (d *demand) next() {
	d.world.scheduler.After(sim.Between(d.random, burstLeast, burstMost), func() {
		d.burst(modelAt(d.random.IntN(modelCount)))
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
		if wanting.process.State() == sim.ProcessRunning {
			wanting.want(model, d.random.IntN(10), nil)
		}
	}
}

// want reports a want again and again until a replica is ready by the tables
// that the node routes by, or until patience ends; served, if set, is told.
func (n *node) want(model fleet.ModelVersion, priority int, served func(bool)) {
	deadline := n.process.Now().Add(wantPatience)
	boot := n.process.Boot()
	report := func(waiting int) {
		n.control.step(control.WantsReported{From: n.name, Wants: []fleet.Want{{
			Model: model, Node: n.name, Zone: n.zone, Waiting: waiting, Priority: priority, Deadline: deadline, Arrivals: waiting,
		}}})
	}
	var again func()
	again = func() {
		ready := n.ready(model)
		if ready || n.process.Now().After(deadline) {
			report(0)
			if served != nil {
				served(ready)
			}
			return
		}
		report(wantedAtOnce)
		n.world.scheduler.After(wantInterval, func() { n.process.Do(boot, again) })
	}
	again()
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
