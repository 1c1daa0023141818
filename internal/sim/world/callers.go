package world

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	answerLeast, answerMost     = 4, 16
	promptMost                  = 400
	patienceLeast, patienceMost = time.Second, 30 * time.Second
	// cancelShare is the share of callers that go away, within cancelMost.
	cancelShare = 0.08
	cancelMost  = 6 * time.Second
)

// call is a caller's request and what came of it.
type call struct {
	world    *World
	node     *node
	boot     uint64
	pauses   uint64
	id       fleet.RequestID
	number   uint64
	seed     uint64
	model    fleet.ModelVersion
	priority int
	prompt   int
	answer   int
	patience time.Duration
	deadline time.Time

	request *request
	tokens  []string
	// ends counts how often the call was told its end.
	ends int
	end  attempt.Finish
	// stopping tells that a planned stop began while the call was served.
	stopping string
	onEnd    func(attempt.Finish)
}

// newCall draws a call for the model.
func (d *demand) newCall(at *node, model fleet.ModelVersion, priority int) *call {
	d.calls++
	random := d.random
	return &call{
		world: d.world, node: at, boot: at.process.Boot(), pauses: at.process.Pauses(),
		id: fleet.RequestID(fmt.Sprintf("r%05d", d.calls)), number: d.calls, seed: random.Uint64(),
		model: model, priority: priority, prompt: 1 + random.IntN(promptMost),
		answer:   answerLeast + random.IntN(answerMost-answerLeast),
		patience: sim.Between(random, patienceLeast, patienceMost),
	}
}

// send hands the call to its node, which must run.
func (c *call) send() {
	c.deadline = c.node.process.Now().Add(c.patience)
	c.world.judge.sent(c)
	c.node.requests.take(c)
}

// leaveAfter lets the caller go away.
func (c *call) leaveAfter(wait time.Duration) {
	c.world.scheduler.After(wait, func() {
		c.node.process.Do(c.boot, func() { c.request.callerGone() })
	})
}

func (c *call) engineRequest(number, from int) engine.Request {
	return engine.Request{
		ID: c.id, Attempt: number, Priority: c.priority, Model: c.model, PromptHash: c.number,
		PromptTokens: c.prompt, From: from, MaxTokens: c.answer,
	}
}

func (c *call) token(text string) {
	c.tokens = append(c.tokens, text)
}

func (c *call) finished(finish attempt.Finish) {
	c.ends++
	c.end = finish
	c.world.judge.ended(c)
	if c.onEnd != nil {
		c.onEnd(finish)
	}
}

// excused: what a node owes its callers ends with its life, and waits while it
// is paused.
func (c *call) excused() bool {
	return c.node.process.Boot() != c.boot || c.node.process.State() != sim.ProcessRunning ||
		c.node.process.Pauses() != c.pauses
}
