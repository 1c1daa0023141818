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
	minAnswer, maxAnswer     = 4, 16
	maxPrompt                = 400
	minPatience, maxPatience = time.Second, 30 * time.Second
	// cancelShare is the share of callers that cancel, after a delay of up to
	// maxCancelDelay.
	cancelShare    = 0.08
	maxCancelDelay = 6 * time.Second
)

// call is a caller's request with the tokens received so far and its result.
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
	// ends counts how often the end of the call was reported; the correct
	// number is one.
	ends int
	end  attempt.Finish
	// stoppingProcess is the node or engine that began a planned stop while the
	// call was in progress; empty if there was none.
	stoppingProcess string
	onEnd           func(attempt.Finish)
}

// newCall draws a call to the model at a node.
func (d *demand) newCall(at *node, model fleet.ModelVersion, priority int) *call {
	d.calls++
	random := d.random
	return &call{
		world: d.world, node: at, boot: at.process.Boot(), pauses: at.process.Pauses(),
		id: fleet.RequestID(fmt.Sprintf("r%05d", d.calls)), number: d.calls, seed: random.Uint64(),
		model: model, priority: priority, prompt: 1 + random.IntN(maxPrompt),
		answer:   minAnswer + random.IntN(maxAnswer-minAnswer),
		patience: sim.Between(random, minPatience, maxPatience),
	}
}

// send passes the call to its node, which must be running.
func (c *call) send() {
	c.deadline = c.node.process.Now().Add(c.patience)
	c.world.checker.callSent(c)
	c.node.requests.serveCall(c)
}

// cancelAfter makes the caller disconnect after a delay.
func (c *call) cancelAfter(wait time.Duration) {
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
	c.world.checker.callEnded(c)
	if c.onEnd != nil {
		c.onEnd(finish)
	}
}

// nodeInterrupted reports whether the node has died or was paused since it took
// the call. Guarantees to callers end when the node dies, and their time bounds
// do not apply across a pause.
func (c *call) nodeInterrupted() bool {
	return c.node.process.Boot() != c.boot || c.node.process.State() != sim.ProcessRunning ||
		c.node.process.Pauses() != c.pauses
}
