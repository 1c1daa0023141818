package world

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	// maxQueuedRequests is small so that a burst can fill a node's queue.
	maxQueuedRequests = 24
	// queuedRequestBytes is the assumed memory of a queued request.
	queuedRequestBytes = 16 << 10
	// maxPickFailures is the number of times that a request is requeued when
	// routing finds no back end, as in the gateway.
	maxPickFailures = 5
	// minWakeDelay is the minimum delay until the next wake of a queue with the
	// defect ForgetDeadlines.
	minWakeDelay = 100 * time.Millisecond
)

// requestsPart runs a node's queue, its routing and the attempts of its requests
// in the same way as the gateway's dispatcher.
type requestsPart struct {
	node    *node
	queue   *queue.Core
	routing *routing.Core
	// suspension notices pauses of the node, for the routings of models and of services.
	suspension routing.Suspension
	budget     *attempt.Budget
	waker      *sim.Waker
	tickets    uint64
	// pending holds the attempts without a back end, assigned those with one.
	pending  map[uint64]*request
	assigned map[uint64]assignment
	// running holds all unfinished requests in the order of their start.
	running  []*request
	draining bool
}

// assignment is an attempt for which a back end was picked.
type assignment struct {
	model fleet.ModelVersion
	since time.Time
}

func newRequestsPart(node *node, seed uint64) *requestsPart {
	defects := node.world.config.Defects
	part := &requestsPart{
		node: node,
		queue: queue.New(queue.Options{
			Node: node.name, Zone: node.zone, MaxItems: maxQueuedRequests, Defects: defects.Queue,
		}),
		routing:  routing.New(routing.Options{Zone: node.zone, Seed: seed, Defects: defects.Routing}),
		budget:   attempt.NewBudget(attempt.DefaultRetryShare, attempt.DefaultRetryBurst),
		pending:  make(map[uint64]*request),
		assigned: make(map[uint64]assignment),
	}
	part.waker = sim.NewWaker(node.process, part.tick)
	node.process.OnDeath(part.closeConnections)
	return part
}

// closeConnections closes all connections when the node dies.
func (p *requestsPart) closeConnections() {
	for _, running := range p.running {
		running.close()
	}
	p.running = nil
}

func (p *requestsPart) tick() {
	p.noticePause()
	p.stepRouting(routing.Tick{})
	p.stepQueue(queue.Tick{})
	for _, line := range p.queue.Queues() {
		p.updateQueueCapacity(line.Model)
	}
	p.scheduleWake()
}

// noticePause tells both routings if the node was paused.
func (p *requestsPart) noticePause() {
	if p.suspension.Observe(p.node.process.Now()) {
		p.stepRouting(routing.Resumed{})
		p.node.services.step(routing.Resumed{})
	}
}

func (p *requestsPart) scheduleWake() {
	wake := p.queue.NextWake()
	if p.node.world.config.Defects.Queue.ForgetDeadlines && !wake.IsZero() {
		// With this defect the queue requests wakes in the past; without a
		// delay the virtual time would not advance.
		wake = later(wake, p.node.process.Now().Add(minWakeDelay))
	}
	p.waker.Set(wake)
	p.waker.Set(p.routing.NextWake())
	p.waker.Set(p.suspension.NextBeat())
}

// submit requests a back end for an attempt.
func (p *requestsPart) submit(r *request, reassign attempt.Reassign) {
	retry := reassign.Exclude != nil
	switch {
	case !retry:
		p.budget.Earn()
	case !reassign.BudgetExempt && !p.budget.Spend():
		r.step(attempt.Unassigned{Code: "retry-budget-spent"})
		return
	}
	p.tickets++
	r.ticket, r.pickFailures = p.tickets, 0
	r.exclude = slices.Clone(reassign.Exclude)
	p.pending[r.ticket] = r
	p.updateQueueCapacity(r.call.model)
	p.enqueue(r, retry)
	p.scheduleWake()
}

func (p *requestsPart) enqueue(r *request, requeued bool) {
	p.stepQueue(queue.Arrive{Item: queue.Item{
		Ticket: queue.Ticket(r.ticket), Model: r.call.model, Priority: r.call.priority, Deadline: r.core.NextWake(),
		ArrivedAt: r.arrived, Bytes: queuedRequestBytes, Requeued: requeued,
	}})
}

// abandon removes a request from the queue whose caller has disconnected.
func (p *requestsPart) abandon(r *request) {
	if _, found := p.pending[r.ticket]; found {
		delete(p.pending, r.ticket)
		p.stepQueue(queue.Cancel{Ticket: queue.Ticket(r.ticket)})
		r.ticket = 0
	}
	p.scheduleWake()
}

// firstToken tells of an attempt's first token.
func (p *requestsPart) firstToken(ticket uint64, after time.Duration) {
	if known, found := p.assigned[ticket]; found {
		p.stepQueue(queue.FirstTokenReceived{Model: known.model, Latency: after})
	}
	p.stepRouting(routing.FirstToken{Ticket: routing.Ticket(ticket), After: after})
	p.scheduleWake()
}

// attemptEnded tells that an attempt is over.
func (p *requestsPart) attemptEnded(ticket uint64, result routing.Result) {
	known, found := p.assigned[ticket]
	if !found {
		return
	}
	delete(p.assigned, ticket)
	if result == routing.ResultOK {
		p.stepQueue(queue.Completed{Model: known.model, ServiceTime: p.node.process.Now().Sub(known.since)})
	}
	p.stepRouting(routing.Ended{Ticket: routing.Ticket(ticket), Result: result})
	p.scheduleWake()
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
