package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// The kinds of armed faults. An armed fault does not take effect at once but at
// the next occurrence of a particular event in its zone, such as a load order
// being sent.
const (
	// faultPauseInOrder pauses a leader after it has decided on an order and
	// before it sends the order.
	faultPauseInOrder sim.FaultKind = "leader-pause-in-order"
	// faultOrderTwice delivers a load order a second time, much later.
	faultOrderTwice sim.FaultKind = "order-comes-twice"
	// faultDieAtGrant restarts an engine immediately after it granted a claim.
	faultDieAtGrant sim.FaultKind = "engine-dies-at-grant"
	// faultDieInLoad restarts an engine while it loads a model.
	faultDieInLoad sim.FaultKind = "engine-dies-in-load"
)

// engineDownTime is how long an engine restarted by an armed fault stays down.
const engineDownTime = 20 * time.Millisecond

type armedKey struct {
	kind sim.FaultKind
	zone fleet.Zone
}

func (w *World) arm(fault sim.Fault) {
	key := armedKey{fault.Kind, fleet.Zone(fault.Target)}
	w.armed[key] = append(w.armed[key], fault)
}

// takeArmed removes and returns the next armed fault of the kind in the zone.
// Once the fault period is over it returns none.
func (w *World) takeArmed(kind sim.FaultKind, zone fleet.Zone) (sim.Fault, bool) {
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

// pauseBeforeOrder pauses the leader if such a fault is armed in its zone.
// Subsequent actions of the process are deferred, the sending of the order
// included.
func (w *World) pauseBeforeOrder(leader *node) {
	fault, found := w.takeArmed(faultPauseInOrder, leader.zone)
	if !found {
		return
	}
	if resume := pause(leader.process); resume != nil {
		w.scheduler.After(w.limitToFaultPeriod(fault.For), resume)
	}
}

// repeatOrder delivers an order a second time if such a fault is armed in the
// zone of the engine.
func (w *World) repeatOrder(address string, message func(engine.CallID) engine.Message) {
	target := w.engineAt(address)
	if target == nil {
		return
	}
	fault, found := w.takeArmed(faultOrderTwice, target.backend.Zone)
	if !found {
		return
	}
	w.scheduler.After(w.limitToFaultPeriod(fault.For), func() {
		target.process.Do(target.process.Boot(), func() { target.call(message, func(any) {}) })
	})
}

// limitToFaultPeriod shortens a duration so that it ends no later than the last
// fault of the plan.
func (w *World) limitToFaultPeriod(duration time.Duration) time.Duration {
	return max(0, min(duration, w.faultsOver-w.scheduler.Elapsed()))
}

// restartAfter restarts the engine after a delay, unless it has died by then.
func (w *World) restartAfter(dying *engineProcess, delay time.Duration) {
	boot := dying.process.Boot()
	w.scheduler.After(delay, func() {
		if dying.process.Boot() != boot || dying.process.State() == sim.ProcessDead {
			return
		}
		dying.process.Die()
		w.scheduler.After(engineDownTime, dying.process.Start)
	})
}
