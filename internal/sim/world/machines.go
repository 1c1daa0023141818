package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
)

const (
	heartbeatInterval  = 500 * time.Millisecond
	machineCallTimeout = 2 * time.Second
)

// machinesProcess is the platform's machine list: the stand-in's model, fed with
// heartbeats of the running processes.
type machinesProcess struct {
	world   *World
	process *sim.Process
	core    *machines.Core
	// down, if positive, refuses calls. frozen, if not nil, is the outdated list
	// that is served.
	down   int
	frozen *objectstore.MachineList
}

func newMachinesProcess(world *World) *machinesProcess {
	list := &machinesProcess{world: world, core: machines.New(machines.Options{})}
	list.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name: "machines", Zone: platformZone, Start: list.start,
	})
	return list
}

func (m *machinesProcess) start(uint64) {
	m.world.scheduler.Every(heartbeatInterval, func() bool {
		m.heartbeat()
		return true
	})
}

// heartbeat reports every running process. The platform has a channel of its own
// to the machines, which zone cuts do not affect.
func (m *machinesProcess) heartbeat() {
	now := m.process.Now()
	probes := m.core.Step(now, machines.Report{Machines: m.running()})
	for _, probe := range probes {
		m.core.Step(now, machines.ProbeDone{Name: probe.Name, Refused: m.world.isDead(probe.Name)})
	}
}

func (m *machinesProcess) running() []objectstore.Machine {
	var running []objectstore.Machine
	for _, node := range m.world.nodes {
		if node.process.State() == sim.ProcessRunning {
			running = append(running, node.machine())
		}
	}
	for _, engine := range m.world.engines {
		if engine.process.State() == sim.ProcessRunning {
			running = append(running, engine.machine())
		}
	}
	for _, service := range m.world.services {
		if service.process.State() == sim.ProcessRunning {
			running = append(running, service.machine())
		}
	}
	return running
}

func (w *World) isDead(name string) bool {
	for _, node := range w.nodes {
		if string(node.name) == name {
			return node.process.State() == sim.ProcessDead
		}
	}
	for _, engine := range w.engines {
		if string(engine.backend.Name) == name {
			return engine.process.State() == sim.ProcessDead
		}
	}
	for _, service := range w.services {
		if string(service.backend.Name) == name {
			return service.process.State() == sim.ProcessDead
		}
	}
	return true
}

// list reads the machine list.
func (m *machinesProcess) list(from *sim.Process, done func(objectstore.MachineList, sim.CallOutcome)) {
	m.world.network.Call(sim.Call{
		From: from, To: m.process, Kind: "machines/list", Timeout: machineCallTimeout,
		Serve: func(reply func(any)) {
			if m.down > 0 {
				reply(nil)
				return
			}
			if m.frozen != nil {
				reply(*m.frozen)
				return
			}
			reply(m.core.List(m.process.Now()))
		},
		Done: func(answer any, outcome sim.CallOutcome) {
			list, listed := answer.(objectstore.MachineList)
			if outcome == sim.Answered && !listed {
				outcome = sim.Refused
			}
			done(list, outcome)
		},
	})
}

// freeze makes the process serve the current list until the returned function is
// called.
func (m *machinesProcess) freeze() func() {
	list := m.core.List(m.process.Now())
	m.frozen = &list
	return func() { m.frozen = nil }
}
