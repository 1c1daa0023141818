package world

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// stepRouting steps the routing and performs its effects; see stepQueue.
func (p *requestsPart) stepRouting(message routing.Message) {
	p.noticePause()
	for _, effect := range slices.Clone(p.routing.Step(p.node.process.Now(), message)) {
		switch effect := effect.(type) {
		case routing.Picked:
			p.picked(uint64(effect.Ticket), effect.Backend)
		case routing.NonePicked:
			p.nonePicked(uint64(effect.Ticket))
		case routing.CapacityChanged:
			p.updateQueueCapacity(effect.Model)
		}
	}
}

// updateQueueCapacity passes the current capacity for a model to the queue.
func (p *requestsPart) updateQueueCapacity(model fleet.ModelVersion) {
	rooms := p.routing.Capacity(p.node.process.Now(), model)
	replicas := make([]queue.Replica, 0, len(rooms.Replicas))
	for _, replica := range rooms.Replicas {
		replicas = append(replicas, queue.Replica{Name: replica.Name, FreeSlots: replica.FreeSlots, Adapters: replica.Adapters})
	}
	p.stepQueue(queue.CapacityChanged{Model: model, Ready: rooms.Ready, Replicas: replicas, Slots: rooms.Slots})
}

func (p *requestsPart) picked(ticket uint64, backend fleet.Backend) {
	waiting := p.pending[ticket]
	if waiting == nil {
		return
	}
	delete(p.pending, ticket)
	p.assigned[ticket] = assignment{model: waiting.call.model, since: p.node.process.Now()}
	waiting.engine = p.node.world.engineAt(backend.Address)
	waiting.post(attempt.Assigned{Backend: backend.Name})
}

// nonePicked requeues a request, at most maxPickFailures times.
func (p *requestsPart) nonePicked(ticket uint64) {
	waiting := p.pending[ticket]
	if waiting == nil {
		return
	}
	waiting.pickFailures++
	if waiting.pickFailures > maxPickFailures {
		delete(p.pending, ticket)
		waiting.unassigned("no-backend")
		return
	}
	p.updateQueueCapacity(waiting.call.model)
	p.enqueue(waiting, true)
}

// tablesChanged passes changed routing tables from control to the routings.
func (p *requestsPart) tablesChanged(tables map[fleet.Zone]fleet.RouteTable) {
	var list []fleet.RouteTable
	for _, zone := range slices.Sorted(maps.Keys(tables)) {
		list = append(list, tables[zone])
	}
	p.stepRouting(routing.Tables{Tables: list})
	p.node.services.step(routing.Tables{Tables: list})
	p.scheduleWake()
}

// machinesChanged passes the back ends that are leaving according to the machine
// list to the routings.
func (p *requestsPart) machinesChanged(list objectstore.MachineList) {
	var leaving []fleet.BackendName
	for _, machine := range list.Machines {
		if machine.Role != "node" && machine.State != objectstore.MachineLive {
			leaving = append(leaving, fleet.BackendName(machine.Name))
		}
	}
	p.stepRouting(routing.Leaving{Backends: leaving})
	p.node.services.step(routing.Leaving{Backends: leaving})
	p.scheduleWake()
}
