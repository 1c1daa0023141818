package world

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// stepQueue steps the queue and performs its effects. The effects are copied
// because they are valid only until the next step, which performing them may
// cause.
func (p *requestsPart) stepQueue(message queue.Message) {
	for _, effect := range slices.Clone(p.queue.Step(p.node.process.Now(), message)) {
		switch effect := effect.(type) {
		case queue.Release:
			p.release(uint64(effect.Item.Ticket))
		case queue.Refuse:
			p.refuse(effect)
		case queue.ReportWants:
			p.node.post(func() { p.node.control.step(control.WantsReported{From: p.node.name, Wants: effect.Wants}) })
		}
	}
}

func (p *requestsPart) release(ticket uint64) {
	if waiting := p.pending[ticket]; waiting != nil {
		p.stepRouting(routing.Pick{Ticket: routing.Ticket(ticket), Model: waiting.call.model, Exclude: waiting.exclude})
	}
}

func (p *requestsPart) refuse(refuse queue.Refuse) {
	ticket := uint64(refuse.Item.Ticket)
	waiting := p.pending[ticket]
	if waiting == nil {
		return
	}
	delete(p.pending, ticket)
	p.node.world.count("refused-" + string(refuse.Reason))
	waiting.unassigned(string(refuse.Reason))
}

// loadRefused passes the leader's load refusals to the queue.
func (p *requestsPart) loadRefused(refusals []fleet.LoadRefusal) {
	p.stepQueue(queue.LoadRefused{Refusals: refusals})
	p.scheduleWake()
}

func (r *request) unassigned(code string) {
	r.ticket = 0
	r.post(attempt.Unassigned{Code: code})
}
