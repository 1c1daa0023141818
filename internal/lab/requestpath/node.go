package requestpath

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// itemBytes is what a waiting request is taken to hold.
const itemBytes = 16 << 10

// node wires the cores of one node together as the gateway's dispatcher does.
type node struct {
	world   *world
	zone    fleet.Zone
	queue   *queue.Core
	routing *routing.Core
	// budget is nil where retries are not bounded.
	budget *attempt.Budget
	alarm  alarm
	// pending have no back end yet, assigned have one.
	pending  map[uint64]*request
	assigned map[uint64]time.Time
	misses   map[uint64]int
	// hedges ask for a second back end.
	hedges map[uint64]*request
}

func newNode(world *world, index int, zone fleet.Zone, budget bool, seed uint64) *node {
	created := &node{
		world: world, zone: zone,
		queue:    queue.New(queue.Options{Zone: zone}),
		routing:  routing.New(routing.Options{Zone: zone, Seed: seed + uint64(index)}),
		pending:  make(map[uint64]*request),
		assigned: make(map[uint64]time.Time),
		misses:   make(map[uint64]int),
		hedges:   make(map[uint64]*request),
	}
	if budget {
		created.budget = attempt.NewBudget(attempt.DefaultRetryShare, attempt.DefaultRetryBurst)
	}
	created.alarm = alarm{clock: &world.clock, want: created.wake, ring: created.tick}
	return created
}

func (n *node) latency(to *server) time.Duration {
	if to.backend.Zone == n.zone {
		return sameZone
	}
	return otherZone
}

func (n *node) wake() time.Time {
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
		n.offer(line.Model)
	}
}

// submit asks for a back end.
func (n *node) submit(r *request, reassign attempt.Reassign) {
	retry := reassign.Exclude != nil
	switch {
	case n.budget == nil:
	case !retry:
		n.budget.Earn()
	case !reassign.BudgetExempt && !n.budget.Spend():
		r.take(attempt.Unassigned{Code: "retry-budget-spent"})
		return
	}
	n.world.tickets++
	r.ticket = n.world.tickets
	r.exclude = slices.Clone(reassign.Exclude)
	n.pending[r.ticket] = r
	n.offer(model)
	n.arrive(r, retry)
	n.alarm.arm()
}

func (n *node) arrive(r *request, again bool) {
	n.stepQueue(queue.Arrive{Item: queue.Item{
		Ticket: queue.Ticket(r.ticket), Model: model, Priority: r.call.priority, Deadline: r.core.NextWake(),
		ArrivedAt: r.call.arrived, Bytes: itemBytes, Requeued: again,
	}})
}

func (n *node) offer(model fleet.ModelVersion) {
	rooms := n.routing.Capacity(n.world.clock.now, model)
	replicas := make([]queue.Replica, 0, len(rooms.Replicas))
	for _, room := range rooms.Replicas {
		replicas = append(replicas, queue.Replica{Name: room.Name, FreeSlots: room.FreeSlots})
	}
	n.stepQueue(queue.CapacityChanged{Model: model, Ready: rooms.Ready, Replicas: replicas, Slots: rooms.Slots})
}

func (n *node) stepQueue(message queue.Message) {
	for _, effect := range slices.Clone(n.queue.Step(n.world.clock.now, message)) {
		switch effect := effect.(type) {
		case queue.Release:
			n.release(uint64(effect.Item.Ticket))
		case queue.Refuse:
			ticket := uint64(effect.Item.Ticket)
			if waiting := n.pending[ticket]; waiting != nil {
				delete(n.pending, ticket)
				waiting.ticket = 0
				waiting.take(attempt.Unassigned{Code: string(effect.Reason), RetryAfter: effect.RetryAfter})
			}
		}
	}
	n.alarm.arm()
}

func (n *node) stepRouting(message routing.Message) {
	for _, effect := range slices.Clone(n.routing.Step(n.world.clock.now, message)) {
		switch effect := effect.(type) {
		case routing.Picked:
			n.picked(uint64(effect.Ticket), effect.Backend.Name)
		case routing.NonePicked:
			n.nonePicked(uint64(effect.Ticket))
		case routing.CapacityChanged:
			n.offer(effect.Model)
		}
	}
	n.alarm.arm()
}

// hedge looks for a second back end: only where none waits for the room, and
// within the budget.
func (n *node) hedge(r *request, exclude []fleet.BackendName) {
	items, _ := n.queue.Waiting()
	free := slices.ContainsFunc(n.routing.Capacity(n.world.clock.now, model).Replicas, func(room routing.ReplicaCapacity) bool {
		return room.FreeSlots > 0 && !slices.Contains(exclude, room.Name)
	})
	if items > 0 || !free || n.budget != nil && !n.budget.Spend() {
		return
	}
	n.world.tickets++
	n.hedges[n.world.tickets] = r
	n.stepRouting(routing.Pick{Ticket: routing.Ticket(n.world.tickets), Model: model, Exclude: exclude})
}

func (n *node) release(ticket uint64) {
	if waiting := n.pending[ticket]; waiting != nil {
		n.stepRouting(routing.Pick{Ticket: routing.Ticket(ticket), Model: model, Exclude: waiting.exclude})
	}
}

func (n *node) picked(ticket uint64, name fleet.BackendName) {
	if hedged := n.hedges[ticket]; hedged != nil {
		delete(n.hedges, ticket)
		n.assigned[ticket] = n.world.clock.now
		hedged.hedged(ticket, n.world.server(name))
		return
	}
	waiting := n.pending[ticket]
	if waiting == nil {
		return
	}
	delete(n.pending, ticket)
	delete(n.misses, ticket)
	n.assigned[ticket] = n.world.clock.now
	waiting.server = n.world.server(name)
	waiting.take(attempt.Assigned{Backend: name})
}

// maxMisses is the gateway's bound on putting a request back.
const maxMisses = 5

func (n *node) nonePicked(ticket uint64) {
	delete(n.hedges, ticket)
	waiting := n.pending[ticket]
	if waiting == nil {
		return
	}
	n.misses[ticket]++
	if n.misses[ticket] > maxMisses {
		delete(n.pending, ticket)
		delete(n.misses, ticket)
		waiting.ticket = 0
		waiting.take(attempt.Unassigned{Code: "no-backend"})
		return
	}
	n.offer(model)
	n.arrive(waiting, true)
}

func (n *node) began(ticket uint64, after time.Duration) {
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
		n.stepQueue(queue.Completed{Model: model, ServiceTime: n.world.clock.now.Sub(since)})
	}
	n.stepRouting(routing.Ended{Ticket: routing.Ticket(ticket), Result: result})
}
