package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Planned stops take place near the end of a run, when no faults are in effect,
// because their guarantees hold only in the absence of faults.
const (
	leaveTimeBeforeEnd = 15 * time.Second
	drainTimeBeforeEnd = 11 * time.Second
	drainCheckInterval = 200 * time.Millisecond
	// leaveDelay lets calls reach the engine before it announces that it is
	// leaving.
	leaveDelay        = 150 * time.Millisecond
	leaveCallInterval = 450 * time.Millisecond
	// leaderPauseTime is shorter than the timeouts of callers and attempts.
	leaderPauseTime = 4 * time.Second
	leavePriority   = 5
)

// announceEngineLeaving makes an engine announce that it is leaving while it has
// requests in progress and receives new ones. The leader of the zone is paused
// meanwhile so that the models of the engine are not unloaded; every node has to
// learn of the leaving from the machine list.
func (w *World) announceEngineLeaving() {
	if w.scheduler.Elapsed() < w.faultsOver+recoveryBound {
		return
	}
	chosen := w.engineToLeave()
	if chosen == nil {
		return
	}
	w.callModelsOf(chosen)
	w.scheduler.After(leaveDelay, func() {
		w.trace.Record("leave", string(chosen.backend.Name), "", 0)
		for _, reader := range chosen.readers {
			reader.request.call.stoppingProcess = string(chosen.backend.Name)
		}
		chosen.step(engine.Leave{})
		resume := w.withLeader(string(chosen.backend.Zone), func(leader *node) func() { return pause(leader.process) })
		if resume != nil {
			w.scheduler.After(leaderPauseTime, resume)
		}
	})
	w.scheduler.Every(leaveCallInterval, func() bool {
		w.callModelsOf(chosen)
		return w.config.Duration-w.scheduler.Elapsed() > leaveTimeBeforeEnd-leaderPauseTime
	})
}

// engineToLeave returns the running engine with the most ready models, or nil.
func (w *World) engineToLeave() *engineProcess {
	var chosen *engineProcess
	most := 0
	for _, candidate := range w.engines {
		if candidate.process.State() != sim.ProcessRunning {
			continue
		}
		if ready := len(candidate.readyModels()); ready > most {
			chosen, most = candidate, ready
		}
	}
	return chosen
}

func (e *engineProcess) readyModels() []fleet.ModelVersion {
	var ready []fleet.ModelVersion
	for _, loaded := range e.state().Models {
		if loaded.State == fleet.LoadReady {
			ready = append(ready, loaded.Model)
		}
	}
	return ready
}

// callModelsOf sends a call to each ready model of an engine at every node.
func (w *World) callModelsOf(target *engineProcess) {
	for _, model := range target.readyModels() {
		for _, caller := range w.nodes {
			if caller.acceptsCalls() {
				caller.callFor(model, leavePriority)
			}
		}
	}
}

// drainNode begins a planned stop of the node with the most unfinished requests.
func (w *World) drainNode() {
	if w.scheduler.Elapsed() < w.faultsOver+recoveryBound {
		return
	}
	var chosen *node
	for _, candidate := range w.nodes {
		if candidate.process.State() != sim.ProcessRunning {
			continue
		}
		if chosen == nil || len(candidate.requests.running) > len(chosen.requests.running) {
			chosen = candidate
		}
	}
	if chosen != nil {
		w.trace.Record("drain", string(chosen.name), "", 0)
		chosen.drain()
	}
}

// inProgress returns the number of unfinished requests and service calls.
func (n *node) inProgress() int {
	return len(n.requests.running) + n.services.inProgress
}

// drain performs a planned stop: the node accepts no new calls, hands over its
// leadership, finishes the calls in progress and leaves.
func (n *node) drain() {
	n.requests.draining = true
	for _, running := range n.requests.running {
		running.call.stoppingProcess = string(n.name)
	}
	n.membership.step(membership.SetDraining{Draining: true})
	n.control.step(control.StopRequested{})
	boot := n.process.Boot()
	var check func()
	check = func() {
		if n.inProgress() > 0 && !n.world.config.Defects.Node.CutAtDrain {
			n.world.scheduler.After(drainCheckInterval, func() { n.process.Do(boot, check) })
			return
		}
		n.world.checker.nodeDrained(n)
		n.membership.step(membership.Leave{})
		n.process.Die()
	}
	check()
}
