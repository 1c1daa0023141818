package leadership

import "time"

// takeState takes a state that was read, in whatever step.
func (c *Core) takeState(now time.Time, read StateRead) {
	engine := c.engines[read.Engine]
	if engine == nil {
		return
	}
	if c.phase == phaseLeading {
		c.watch(now, read, engine)
		return
	}
	if engine.asked == 0 || engine.asked != read.ID {
		return
	}
	engine.asked = 0
	if read.Failed {
		return
	}
	switch c.phase {
	case phaseReading:
		engine.read = true
		engine.incarnation = read.State.Incarnation
		c.highest = max(c.highest, read.State.Fence)
	case phaseVerifying:
		c.verify(read, engine)
	}
}

func (c *Core) verify(read StateRead, engine *engineProgress) {
	c.highest = max(c.highest, read.State.Fence)
	if read.State.Incarnation != engine.incarnation || read.State.Fence != c.fence {
		return
	}
	engine.verified = true
	engine.state = read.State
}

// watch ends the round where a state shows that the engine restarted, was
// claimed by another leader, or can be held now and was not before.
func (c *Core) watch(now time.Time, read StateRead, engine *engineProgress) {
	if read.Failed {
		return
	}
	c.highest = max(c.highest, read.State.Fence)
	switch {
	case !engine.verified:
		c.end(now, "an engine can be claimed", 0)
	case read.State.Incarnation != engine.incarnation:
		c.end(now, "an engine restarted", 0)
	case read.State.Fence > c.fence:
		c.end(now, "an engine was claimed by another leader", c.options.Settings.YieldDelay)
	}
}

func (c *Core) takeClaim(now time.Time, answer ClaimAnswered) {
	engine := c.engines[answer.Engine]
	if engine == nil || c.phase != phaseClaiming || engine.asked == 0 || engine.asked != answer.ID {
		return
	}
	engine.asked = 0
	switch answer.Result {
	case ClaimGranted:
		engine.granted = true
		engine.state = answer.State
	case ClaimRefused:
		c.highest = max(c.highest, answer.Fence)
		if answer.Fence > c.fence {
			c.end(now, "claim refused by a greater fence", c.options.Settings.YieldDelay)
		}
	case ClaimUnanswered:
	}
}
