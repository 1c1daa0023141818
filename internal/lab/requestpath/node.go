package requestpath

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// itemBytes is the assumed memory of a waiting request.
const itemBytes = 16 << 10

// node connects the cores of one node as the gateway's dispatcher does.
type node struct {
	simulation *simulation
	zone       fleet.Zone
	queue      *queue.Core
	routing    *routing.Core
	// budget is nil if retries are not limited.
	budget *attempt.Budget
	timer  timer
	// pending holds requests without a back end; assigned has the times at which
	// tickets got one; assignFailures counts failed assignments of a ticket.
	pending        map[uint64]*request
	assigned       map[uint64]time.Time
	assignFailures map[uint64]int
	// hedges holds requests that wait for a second back end.
	hedges map[uint64]*request
}

func newNode(simulation *simulation, index int, zone fleet.Zone, budget bool, seed uint64) *node {
	created := &node{
		simulation: simulation, zone: zone,
		queue:          queue.New(queue.Options{Zone: zone}),
		routing:        routing.New(routing.Options{Zone: zone, Seed: seed + uint64(index)}),
		pending:        make(map[uint64]*request),
		assigned:       make(map[uint64]time.Time),
		assignFailures: make(map[uint64]int),
		hedges:         make(map[uint64]*request),
	}
	if budget {
		created.budget = attempt.NewBudget(attempt.DefaultRetryShare, attempt.DefaultRetryBurst)
	}
	created.timer = timer{clock: &simulation.clock, deadline: created.nextWake, callback: created.tick}
	return created
}

func (n *node) latency(to *server) time.Duration {
	if to.backend.Zone == n.zone {
		return sameZoneLatency
	}
	return otherZoneLatency
}

func (n *node) nextWake() time.Time {
	wake := n.queue.NextWake()
	if other := n.routing.NextWake(); wake.IsZero() || !other.IsZero() && other.Before(wake) {
		wake = other
	}
	return wake
}

func (n *node) tick() {
	n.stepRouting(routing.Tick{})
	n.stepQueue(queue.Tick{})
	for _, line := range n.queue.Queues() {
		n.updateCapacity(line.Model)
	}
}

// requestBackend queues a request for a back end. A retry must fit the budget.
func (n *node) requestBackend(r *request, reassign attempt.Reassign) {
	retry := reassign.Exclude != nil
	switch {
	case n.budget == nil:
	case !retry:
		n.budget.Earn()
	case !reassign.BudgetExempt && !n.budget.Spend():
		r.receive(attempt.Unassigned{Code: "retry-budget-spent"})
		return
	}
	n.simulation.lastTicket++
	r.ticket = n.simulation.lastTicket
	r.exclude = slices.Clone(reassign.Exclude)
	n.pending[r.ticket] = r
	n.updateCapacity(model)
	n.enqueue(r, retry)
	n.timer.reset()
}

func (n *node) enqueue(r *request, requeued bool) {
	n.stepQueue(queue.Arrive{Item: queue.Item{
		Ticket: queue.Ticket(r.ticket), Model: model, Priority: r.call.priority, Deadline: r.core.NextWake(),
		ArrivedAt: r.call.arrived, Bytes: itemBytes, Requeued: requeued,
	}})
}

func (n *node) updateCapacity(model fleet.ModelVersion) {
	capacity := n.routing.Capacity(n.simulation.clock.now, model)
	replicas := make([]queue.Replica, 0, len(capacity.Replicas))
	for _, room := range capacity.Replicas {
		replicas = append(replicas, queue.Replica{Name: room.Name, FreeSlots: room.FreeSlots})
	}
	n.stepQueue(queue.CapacityChanged{Model: model, Ready: capacity.Ready, Replicas: replicas, Slots: capacity.Slots})
}

func (n *node) stepQueue(message queue.Message) {
	for _, effect := range slices.Clone(n.queue.Step(n.simulation.clock.now, message)) {
		switch effect := effect.(type) {
		case queue.Release:
			n.release(uint64(effect.Item.Ticket))
		case queue.Refuse:
			ticket := uint64(effect.Item.Ticket)
			if waiting := n.pending[ticket]; waiting != nil {
				delete(n.pending, ticket)
				waiting.ticket = 0
				waiting.receive(attempt.Unassigned{Code: string(effect.Reason), RetryAfter: effect.RetryAfter})
			}
		}
	}
	n.timer.reset()
}

func (n *node) stepRouting(message routing.Message) {
	for _, effect := range slices.Clone(n.routing.Step(n.simulation.clock.now, message)) {
		switch effect := effect.(type) {
		case routing.Picked:
			n.picked(uint64(effect.Ticket), effect.Backend.Name)
		case routing.NonePicked:
			n.nonePicked(uint64(effect.Ticket))
		case routing.CapacityChanged:
			n.updateCapacity(effect.Model)
		}
	}
	n.timer.reset()
}

// hedge requests a second back end if one has a free slot, no request waits in
// the queue and the budget allows it.
func (n *node) hedge(r *request, exclude []fleet.BackendName) {
	items, _ := n.queue.Waiting()
	free := slices.ContainsFunc(n.routing.Capacity(n.simulation.clock.now, model).Replicas, func(room routing.ReplicaCapacity) bool {
		return room.FreeSlots > 0 && !slices.Contains(exclude, room.Name)
	})
	if items > 0 || !free || n.budget != nil && !n.budget.Spend() {
		return
	}
	n.simulation.lastTicket++
	n.hedges[n.simulation.lastTicket] = r
	n.stepRouting(routing.Pick{Ticket: routing.Ticket(n.simulation.lastTicket), Model: model, Exclude: exclude})
}

func (n *node) release(ticket uint64) {
	if waiting := n.pending[ticket]; waiting != nil {
		n.stepRouting(routing.Pick{Ticket: routing.Ticket(ticket), Model: model, Exclude: waiting.exclude})
	}
}

func (n *node) picked(ticket uint64, name fleet.BackendName) {
	if hedged := n.hedges[ticket]; hedged != nil {
		delete(n.hedges, ticket)
		n.assigned[ticket] = n.simulation.clock.now
		hedged.hedged(ticket, n.simulation.server(name))
		return
	}
	waiting := n.pending[ticket]
	if waiting == nil {
		return
	}
	delete(n.pending, ticket)
	delete(n.assignFailures, ticket)
	n.assigned[ticket] = n.simulation.clock.now
	waiting.server = n.simulation.server(name)
	waiting.receive(attempt.Assigned{Backend: name})
}

// maxAssignFailures is the gateway's limit on requeuing a request.
const maxAssignFailures = 5

func (n *node) nonePicked(ticket uint64) {
	delete(n.hedges, ticket)
	waiting := n.pending[ticket]
	if waiting == nil {
		return
	}
	n.assignFailures[ticket]++
	if n.assignFailures[ticket] > maxAssignFailures {
		delete(n.pending, ticket)
		delete(n.assignFailures, ticket)
		waiting.ticket = 0
		waiting.receive(attempt.Unassigned{Code: "no-backend"})
		return
	}
	n.updateCapacity(model)
	n.enqueue(waiting, true)
}

func (n *node) firstToken(ticket uint64, after time.Duration) {
	n.stepQueue(queue.FirstTokenReceived{Model: model, Latency: after})
	n.stepRouting(routing.FirstToken{Ticket: routing.Ticket(ticket), After: after})
}

func (n *node) ended(ticket uint64, result routing.Result) {
	since, found := n.assigned[ticket]
	if !found {
		return
	}
	delete(n.assigned, ticket)
	if result == routing.ResultOK {
		n.stepQueue(queue.Completed{Model: model, ServiceTime: n.simulation.clock.now.Sub(since)})
	}
	n.stepRouting(routing.Ended{Ticket: routing.Ticket(ticket), Result: result})
}
