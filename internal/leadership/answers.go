package leadership

import "time"

// stateRead handles the state read from an engine, in any phase.
func (c *Core) stateRead(now time.Time, answer StateRead) {
	engine := c.engines[answer.Engine]
	if engine == nil {
		return
	}
	if c.phase == phaseLeading {
		c.checkWhileLeading(now, answer, engine)
		return
	}
	if engine.asked == 0 || engine.asked != answer.ID {
		return
	}
	engine.asked = 0
	if answer.Failed {
		return
	}
	switch c.phase {
	case phaseReading:
		engine.read = true
		engine.incarnation = answer.State.Incarnation
		c.highest = max(c.highest, answer.State.Fence)
	case phaseVerifying:
		c.verify(answer, engine)
	}
}

func (c *Core) verify(answer StateRead, engine *engineProgress) {
	c.highest = max(c.highest, answer.State.Fence)
	if answer.State.Incarnation != engine.incarnation || answer.State.Fence != c.fence {
		return
	}
	engine.verified = true
	engine.state = answer.State
}

// checkWhileLeading ends the round if a state shows that the engine has
// restarted, was claimed by another leader, or can be claimed now but was not
// before.
func (c *Core) checkWhileLeading(now time.Time, answer StateRead, engine *engineProgress) {
	if answer.Failed {
		return
	}
	c.highest = max(c.highest, answer.State.Fence)
	switch {
	case !engine.verified:
		c.endRound(now, "an engine outside the round can be claimed", 0)
	case answer.State.Incarnation != engine.incarnation:
		c.endRound(now, "an engine restarted", 0)
	case answer.State.Fence > c.fence:
		c.endRound(now, "an engine was claimed by another leader", c.options.Settings.YieldDelay)
	}
}

func (c *Core) claimAnswered(now time.Time, answer ClaimAnswered) {
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
			c.endRound(now, "claim refused by a greater fence", c.options.Settings.YieldDelay)
		}
	case ClaimUnanswered:
	}
}
