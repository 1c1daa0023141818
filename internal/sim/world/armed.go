package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Armed faults wait for the worst moment: the next time that something happens
// in their zone, they strike.
const (
	// faultPauseInOrder pauses a leader between deciding on an order and
	// sending it.
	faultPauseInOrder sim.FaultKind = "leader-pause-in-order"
	// faultOrderTwice delivers a load order again, much later.
	faultOrderTwice sim.FaultKind = "order-comes-twice"
	// faultDieAtGrant restarts an engine just after it granted a claim.
	faultDieAtGrant sim.FaultKind = "engine-dies-at-grant"
	// faultDieInLoad restarts an engine while it loads.
	faultDieInLoad sim.FaultKind = "engine-dies-in-load"
)

// restartTime is how long an engine that dies at the worst moment is away.
const restartTime = 20 * time.Millisecond

type armedKey struct {
	kind sim.FaultKind
	zone fleet.Zone
}

func (w *World) arm(fault sim.Fault) {
	key := armedKey{fault.Kind, fleet.Zone(fault.Target)}
	w.armed[key] = append(w.armed[key], fault)
}

// strike takes the next armed fault of the kind in the zone.
func (w *World) strike(kind sim.FaultKind, zone fleet.Zone) (sim.Fault, bool) {
	key := armedKey{kind, zone}
	waiting := w.armed[key]
	if len(waiting) == 0 || w.scheduler.Elapsed() >= w.faultsOver {
		return sim.Fault{}, false
	}
	w.armed[key] = waiting[1:]
	w.count("struck-" + string(kind))
	w.trace.Record("strike/"+string(kind), string(zone), "", uint64(waiting[0].For))
	return waiting[0], true
}

// pauseInOrder pauses the node where such a fault is armed. What the node does
// within its process from then on waits.
func (w *World) pauseInOrder(leader *node) {
	fault, found := w.strike(faultPauseInOrder, leader.zone)
	if !found {
		return
	}
	if resume := pause(leader.process); resume != nil {
		w.scheduler.After(w.untilQuiet(fault.For), resume)
	}
}

// orderTwice delivers an order once more where such a fault is armed.
func (w *World) orderTwice(address string, message func(engine.CallID) engine.Message) {
	target := w.engineAt(address)
	if target == nil {
		return
	}
	fault, found := w.strike(faultOrderTwice, target.backend.Zone)
	if !found {
		return
	}
	w.scheduler.After(w.untilQuiet(fault.For), func() {
		target.process.Do(target.process.Boot(), func() { target.call(message, func(any) {}) })
	})
}

// untilQuiet cuts a duration to the end of the faults.
func (w *World) untilQuiet(duration time.Duration) time.Duration {
	return max(0, min(duration, w.faultsOver-w.scheduler.Elapsed()))
}

// dieAfter restarts the engine after a delay.
func (w *World) dieAfter(dying *engineProcess, delay time.Duration) {
	boot := dying.process.Boot()
	w.scheduler.After(delay, func() {
		if dying.process.Boot() != boot || dying.process.State() == sim.ProcessDead {
			return
		}
		dying.process.Die()
		w.scheduler.After(restartTime, dying.process.Start)
	})
}
