package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Planned stops come near the end of a run, where nothing else fails: what they
// promise holds without faults.
const (
	leaveBefore = 15 * time.Second
	drainBefore = 11 * time.Second
	drainCheck  = 200 * time.Millisecond
	// leaveDelay lets calls reach the engine before it says that it leaves.
	leaveDelay = 150 * time.Millisecond
	leaveCalls = 450 * time.Millisecond
	// leaderAway is shorter than callers and attempts wait.
	leaderAway    = 4 * time.Second
	leavePriority = 5
)

// leaveOne lets an engine say that it goes away, with work in progress and more
// coming. The zone's leader is paused meanwhile, so that nobody unloads what
// the engine holds: each node has to hear of it by the machine list.
func (w *World) leaveOne() {
	if w.scheduler.Elapsed() < w.faultsOver+quietBound {
		return
	}
	chosen := w.engineToLeave()
	if chosen == nil {
		return
	}
	w.callReplicas(chosen)
	w.scheduler.After(leaveDelay, func() {
		w.trace.Record("leave", string(chosen.backend.Name), "", 0)
		for _, reader := range chosen.readers {
			reader.request.call.stopping = string(chosen.backend.Name)
		}
		chosen.step(engine.Leave{})
		resume := w.withLeader(string(chosen.backend.Zone), func(leader *node) func() { return pause(leader.process) })
		if resume != nil {
			w.scheduler.After(leaderAway, resume)
		}
	})
	w.scheduler.Every(leaveCalls, func() bool {
		w.callReplicas(chosen)
		return w.config.Duration-w.scheduler.Elapsed() > leaveBefore-leaderAway
	})
}

// engineToLeave is the one with the most models ready.
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

// callReplicas calls for the models of an engine from every node.
func (w *World) callReplicas(wanted *engineProcess) {
	for _, model := range wanted.readyModels() {
		for _, caller := range w.nodes {
			if caller.serves() {
				caller.callFor(model, leavePriority)
			}
		}
	}
}

// drainOne stops a node as planned; it prefers one at work.
func (w *World) drainOne() {
	if w.scheduler.Elapsed() < w.faultsOver+quietBound {
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

// inProgress counts what the node still owes its callers.
func (n *node) inProgress() int {
	return len(n.requests.running) + n.services.inProgress
}

// drain is what a node does at a planned stop: it takes no new calls, hands its
// leadership over, finishes what it has and leaves.
func (n *node) drain() {
	n.requests.draining = true
	for _, running := range n.requests.running {
		running.call.stopping = string(n.name)
	}
	n.membership.step(membership.SetDraining{Draining: true})
	n.control.step(control.StopRequested{})
	boot := n.process.Boot()
	var check func()
	check = func() {
		if n.inProgress() > 0 && !n.world.config.Defects.Node.CutAtDrain {
			n.world.scheduler.After(drainCheck, func() { n.process.Do(boot, check) })
			return
		}
		n.world.judge.drained(n)
		n.membership.step(membership.Leave{})
		n.process.Die()
	}
	check()
}
