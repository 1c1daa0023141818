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
	// waitingMost is small, so that a burst fills a node's queue.
	waitingMost = 24
	// requestBytes is what a waiting request is taken to hold.
	requestBytes = 16 << 10
	// missesMost is the gateway's bound on putting a request back.
	missesMost = 5
	// forgetfulWake is how soon a queue is woken that forgets deadlines.
	forgetfulWake = 100 * time.Millisecond
)

// requestsPart drives a node's queue, its routing and the attempts of its
// requests, as the gateway's dispatcher does.
type requestsPart struct {
	node    *node
	queue   *queue.Core
	routing *routing.Core
	budget  *attempt.Budget
	waker   *sim.Waker
	tickets uint64
	// pending have no back end yet, assigned have one.
	pending  map[uint64]*request
	assigned map[uint64]assignment
	// running are all requests that are not over, in the order of their start.
	running  []*request
	draining bool
}

// assignment is an attempt that a back end was picked for.
type assignment struct {
	model fleet.ModelVersion
	since time.Time
}

func newRequestsPart(node *node, seed uint64) *requestsPart {
	defects := node.world.config.Defects
	part := &requestsPart{
		node: node,
		queue: queue.New(queue.Options{
			Node: node.name, Zone: node.zone, MaxItems: waitingMost, Defects: defects.Queue,
		}),
		routing:  routing.New(routing.Options{Zone: node.zone, Seed: seed, Defects: defects.Routing}),
		budget:   attempt.NewBudget(attempt.DefaultRetryShare, attempt.DefaultRetryBurst),
		pending:  make(map[uint64]*request),
		assigned: make(map[uint64]assignment),
	}
	part.waker = sim.NewWaker(node.process, part.tick)
	node.process.OnDeath(part.hangUp)
	return part
}

// hangUp closes the connections of a node that died.
func (p *requestsPart) hangUp() {
	for _, running := range p.running {
		running.close()
	}
	p.running = nil
}

func (p *requestsPart) tick() {
	p.stepRouting(routing.Tick{})
	p.stepQueue(queue.Tick{})
	for _, line := range p.queue.Queues() {
		p.offer(line.Model)
	}
	p.arm()
}

func (p *requestsPart) arm() {
	wake := p.queue.NextWake()
	if p.node.world.config.Defects.Queue.ForgetDeadlines && !wake.IsZero() {
		// That queue asks for times gone by, at which a run would stand still.
		wake = later(wake, p.node.process.Now().Add(forgetfulWake))
	}
	p.waker.Set(wake)
	p.waker.Set(p.routing.NextWake())
}

// submit asks for the back end of an attempt.
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
	r.ticket, r.misses = p.tickets, 0
	r.exclude = slices.Clone(reassign.Exclude)
	p.pending[r.ticket] = r
	p.offer(r.call.model)
	p.arrive(r, retry)
	p.arm()
}

func (p *requestsPart) arrive(r *request, again bool) {
	p.stepQueue(queue.Arrive{Item: queue.Item{
		Ticket: queue.Ticket(r.ticket), Model: r.call.model, Priority: r.call.priority, Deadline: r.core.NextWake(),
		ArrivedAt: r.arrived, Bytes: requestBytes, Requeued: again,
	}})
}

// abandon takes a request out whose caller has gone.
func (p *requestsPart) abandon(r *request) {
	if _, found := p.pending[r.ticket]; found {
		delete(p.pending, r.ticket)
		p.stepQueue(queue.Cancel{Ticket: queue.Ticket(r.ticket)})
		r.ticket = 0
	}
	p.arm()
}

// began tells of an attempt's first token.
func (p *requestsPart) began(ticket uint64, after time.Duration) {
	if known, found := p.assigned[ticket]; found {
		p.stepQueue(queue.FirstTokenReceived{Model: known.model, Latency: after})
	}
	p.stepRouting(routing.FirstToken{Ticket: routing.Ticket(ticket), After: after})
	p.arm()
}

// ended tells that an attempt is over.
func (p *requestsPart) ended(ticket uint64, result routing.Result) {
	known, found := p.assigned[ticket]
	if !found {
		return
	}
	delete(p.assigned, ticket)
	if result == routing.ResultOK {
		p.stepQueue(queue.Completed{Model: known.model, ServiceTime: p.node.process.Now().Sub(known.since)})
	}
	p.stepRouting(routing.Ended{Ticket: routing.Ticket(ticket), Result: result})
	p.arm()
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
