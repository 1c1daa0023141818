package world

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/service"
)

// servicePart runs the non-repeatable calls of a node. As in the gateway, they
// have a separate routing core and no queue.
type servicePart struct {
	node    *node
	routing *routing.Core
	tickets routing.Ticket
	// inProgress counts the unfinished calls.
	inProgress int
	waiting    map[routing.Ticket]*serviceCall
}

func newServicePart(node *node, seed uint64) *servicePart {
	return &servicePart{
		node:    node,
		routing: routing.New(routing.Options{Zone: node.zone, Seed: seed, Defects: node.world.config.Defects.Routing}),
		waiting: make(map[routing.Ticket]*serviceCall),
	}
}

func (p *servicePart) step(message routing.Message) {
	p.node.requests.noticePause()
	now := p.node.process.Now()
	if wake := p.routing.NextWake(); !wake.IsZero() && !wake.After(now) {
		p.routing.Step(now, routing.Tick{})
	}
	for _, effect := range slices.Clone(p.routing.Step(now, message)) {
		switch effect := effect.(type) {
		case routing.Picked:
			p.takeWaiting(effect.Ticket).post(attempt.Assigned{Backend: effect.Backend.Name})
		case routing.NonePicked:
			call := p.takeWaiting(effect.Ticket)
			call.ticket = 0
			call.post(attempt.Unassigned{Code: "no-backend"})
		}
	}
}

func (p *servicePart) takeWaiting(ticket routing.Ticket) *serviceCall {
	call := p.waiting[ticket]
	delete(p.waiting, ticket)
	return call
}

// serviceCall is one non-repeatable call.
type serviceCall struct {
	node     *node
	boot     uint64
	pauses   uint64
	id       fleet.RequestID
	deadline time.Time
	core     *attempt.Core
	ticket   routing.Ticket
	// connection is the number of the connection whose answer is awaited.
	connection int
	ends       int
	end        attempt.Finish
	// ownAnswer is false once an answer to another call came.
	ownAnswer bool
}

func (n *node) callService(id fleet.RequestID, patience time.Duration, seed uint64) *serviceCall {
	call := &serviceCall{
		node: n, boot: n.process.Boot(), pauses: n.process.Pauses(), id: id, ownAnswer: true,
		deadline: n.process.Now().Add(patience),
	}
	n.services.inProgress++
	call.core = attempt.New(attempt.Options{
		RequestID: id, Deadline: call.deadline, Seed: seed, Defects: n.world.config.Defects.Attempt,
	})
	n.process.Timer(call.deadline, func() { call.step(attempt.Tick{}) })
	call.assign(nil)
	return call
}

func (c *serviceCall) assign(exclude []fleet.BackendName) {
	part := c.node.services
	part.tickets++
	c.ticket = part.tickets
	part.waiting[c.ticket] = c
	part.step(routing.PickService{Ticket: c.ticket, Service: serviceName, Exclude: exclude})
}

func (c *serviceCall) post(message attempt.Message) {
	c.node.post(func() { c.step(message) })
}

func (c *serviceCall) step(message attempt.Message) {
	if c.ends > 0 {
		return
	}
	for _, effect := range slices.Clone(c.core.Step(c.node.process.Now(), message)) {
		switch effect := effect.(type) {
		case attempt.Open:
			c.open(effect)
		case attempt.Reassign:
			c.endAttempt()
			exclude := slices.Clone(effect.Exclude)
			c.node.world.scheduler.After(effect.After, func() {
				c.node.process.Do(c.boot, func() { c.assign(exclude) })
			})
		case attempt.Finish:
			c.endAttempt()
			c.ends++
			c.node.services.inProgress--
			c.end = effect
			c.node.world.checker.serviceEnded(c)
		}
	}
}

// open sends the call. The network never duplicates it, because the product's
// client disables retries of non-repeatable calls.
func (c *serviceCall) open(open attempt.Open) {
	target := c.node.world.serviceNamed(open.Backend)
	c.connection = open.Connection
	c.node.world.network.Send(sim.Message{
		From: c.node.process, To: target.process, Transport: sim.Connection, Kind: "service/call",
		Deliver: func() { target.serve(c, open.Attempt) },
		Refused: func() {
			c.node.process.Do(c.boot, func() { c.broken(open.Connection, attempt.NeverSent) })
		},
	})
}

func (c *serviceCall) broken(connection int, evidence attempt.Evidence) {
	c.step(attempt.Failure{Connection: connection, Evidence: evidence, Detail: "no answer"})
}

func (c *serviceCall) reset()   { c.broken(c.connection, attempt.MaybeSent) }
func (c *serviceCall) refused() { c.broken(c.connection, attempt.RefusedBeforeRun) }

func (c *serviceCall) answered(answer service.Answer) {
	c.ownAnswer = c.ownAnswer && answer.RequestID == c.id
	c.step(attempt.Answered{Connection: c.connection})
}

func (c *serviceCall) endAttempt() {
	if c.ticket == 0 {
		return
	}
	result := resultOf(c.core.LastFailure(), false)
	c.node.services.step(routing.Ended{Ticket: c.ticket, Result: result})
	c.ticket = 0
}

func (c *serviceCall) nodeInterrupted() bool {
	return c.node.process.Boot() != c.boot || c.node.process.State() != sim.ProcessRunning || c.node.process.Pauses() != c.pauses
}
