package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/service"
)

const (
	serviceName = "billing"
	serviceTime = 300 * time.Millisecond
)

// serviceProcess runs the stand-in's model of a command server.
type serviceProcess struct {
	world   *World
	process *sim.Process
	backend fleet.Backend
	core    *service.Core
	waker   *sim.Waker
	// executions are the executions of earlier boots.
	executions []books.Execution
	lastCall   service.CallID
	open       map[service.CallID]*serviceCall
}

func newServiceProcess(world *World, index int) *serviceProcess {
	name := fmt.Sprintf("service%02d", index+1)
	created := &serviceProcess{world: world, open: make(map[service.CallID]*serviceCall), backend: fleet.Backend{
		Name: fleet.BackendName(name), Kind: fleet.KindService, Zone: world.zoneOf(index), Address: name, Service: serviceName,
	}}
	created.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name: name, Zone: string(created.backend.Zone), Start: created.start,
		Clock: drawClock(world.streams.Stream("clock/" + name)),
	})
	created.waker = sim.NewWaker(created.process, func() { created.step(service.Tick{}) })
	return created
}

func (s *serviceProcess) start(boot uint64) {
	s.core = service.New(service.Options{Backend: s.backend, ServiceTime: serviceTime, Incarnation: boot})
	s.process.OnDeath(s.died)
}

// died saves the executions and closes the connections when the server dies.
func (s *serviceProcess) died() {
	s.executions = append(s.executions, s.core.Book().Executions...)
	for _, id := range slices.Sorted(maps.Keys(s.open)) {
		s.answer(id, "service/reset", (*serviceCall).reset)
	}
}

func (s *serviceProcess) step(message service.Message) {
	for _, effect := range s.core.Step(s.process.Now(), message) {
		switch effect := effect.(type) {
		case service.Answered:
			s.answer(effect.Call, "service/answer", func(call *serviceCall) { call.answered(effect.Answer) })
		case service.Refused:
			s.answer(effect.Call, "service/refusal", (*serviceCall).refused)
		}
	}
	s.waker.Set(s.core.NextWake())
}

// answer sends the result of a call to the node that made it.
func (s *serviceProcess) answer(id service.CallID, kind string, notify func(*serviceCall)) {
	caller := s.open[id]
	delete(s.open, id)
	s.world.network.Send(sim.Message{
		From: s.process, To: caller.node.process, Transport: sim.Connection, Kind: kind,
		Deliver: func() { caller.node.process.Do(caller.boot, func() { notify(caller) }) },
	})
}

// serve runs a call.
func (s *serviceProcess) serve(call *serviceCall, number int) {
	s.lastCall++
	s.open[s.lastCall] = call
	s.step(service.Run{Call: s.lastCall, RequestID: call.id, Attempt: number, Method: "POST", Path: "/charge"})
}

// book returns the executions of all boots.
func (s *serviceProcess) book() []books.Execution {
	if s.process.State() == sim.ProcessDead {
		return s.executions
	}
	return slices.Concat(s.executions, s.core.Book().Executions)
}

func (s *serviceProcess) machine() objectstore.Machine {
	return objectstore.Machine{
		Role: "service", Name: string(s.backend.Name), Zone: s.backend.Zone, State: objectstore.MachineLive,
		Service: serviceName, Address: s.backend.Address,
	}
}

func (w *World) serviceNamed(name fleet.BackendName) *serviceProcess {
	for _, candidate := range w.services {
		if candidate.backend.Name == name {
			return candidate
		}
	}
	return nil
}
