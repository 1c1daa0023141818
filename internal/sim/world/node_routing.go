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

// stepRouting feeds the routing; see stepQueue.
func (p *requestsPart) stepRouting(message routing.Message) {
	for _, effect := range slices.Clone(p.routing.Step(p.node.process.Now(), message)) {
		switch effect := effect.(type) {
		case routing.Picked:
			p.picked(uint64(effect.Ticket), effect.Backend)
		case routing.NonePicked:
			p.nonePicked(uint64(effect.Ticket))
		case routing.CapacityChanged:
			p.offer(effect.Model)
		}
	}
}

// offer tells the queue the present room for a model.
func (p *requestsPart) offer(model fleet.ModelVersion) {
	rooms := p.routing.Capacity(p.node.process.Now(), model)
	replicas := make([]queue.Replica, 0, len(rooms.Replicas))
	for _, room := range rooms.Replicas {
		replicas = append(replicas, queue.Replica{Name: room.Name, FreeSlots: room.FreeSlots, Adapters: room.Adapters})
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

// nonePicked puts a request back into the queue, a bounded number of times.
func (p *requestsPart) nonePicked(ticket uint64) {
	waiting := p.pending[ticket]
	if waiting == nil {
		return
	}
	waiting.misses++
	if waiting.misses > missesMost {
		delete(p.pending, ticket)
		waiting.unassigned("no-backend")
		return
	}
	p.offer(waiting.call.model)
	p.arrive(waiting, true)
}

// tablesChanged takes the tables that control shows.
func (p *requestsPart) tablesChanged(tables map[fleet.Zone]fleet.RouteTable) {
	var list []fleet.RouteTable
	for _, zone := range slices.Sorted(maps.Keys(tables)) {
		list = append(list, tables[zone])
	}
	p.stepRouting(routing.Tables{Tables: list})
	p.node.services.step(routing.Tables{Tables: list})
	p.arm()
}

// machinesChanged takes the back ends that the machine list shows as leaving.
func (p *requestsPart) machinesChanged(list objectstore.MachineList) {
	var leaving []fleet.BackendName
	for _, machine := range list.Machines {
		if machine.Role != "node" && machine.State != objectstore.MachineLive {
			leaving = append(leaving, fleet.BackendName(machine.Name))
		}
	}
	p.stepRouting(routing.Leaving{Backends: leaving})
	p.node.services.step(routing.Leaving{Backends: leaving})
	p.arm()
}
