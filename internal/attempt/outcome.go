package attempt

// exposure is the most that the attempts so far leave open. It only grows.
type exposure int

const (
	// exposedNothing: each attempt was proved not to have run.
	exposedNothing exposure = iota
	// exposedFailed: a back end answered with an error after it may have run.
	exposedFailed
	// exposedUnknown: bytes left and no answer came.
	exposedUnknown
)

func (c *Core) expose(evidence Evidence) {
	switch evidence {
	case NeverSent, RefusedBeforeRun:
	case ErrorStatus:
		c.ran = max(c.ran, exposedFailed)
	default:
		c.ran = max(c.ran, exposedUnknown)
	}
}

// outcome is what may be said of a request without a whole answer.
func (c *Core) outcome() Outcome {
	switch {
	case c.options.Defects.ClaimNotRun:
		return OutcomeNotRun
	case c.next > 0:
		return OutcomeFailed
	case c.ran == exposedNothing:
		return OutcomeNotRun
	case c.ran == exposedFailed:
		return OutcomeFailed
	}
	return OutcomeUnknown
}

func (c *Core) giveUp(code, detail string) {
	c.phase = phaseDone
	c.emit(Finish{Outcome: c.outcome(), Code: code, Detail: detail, Status: c.last.Status,
		RetryAfter: c.last.RetryAfter, Delivered: c.next, Attempts: c.attempts})
}

func (c *Core) succeed(reason string) {
	c.phase = phaseDone
	c.emit(Finish{Outcome: OutcomeOK, Reason: reason, Delivered: c.next, Attempts: c.attempts})
}

func (c *Core) unassigned(message Unassigned) {
	if c.phase != phaseAssigning {
		return
	}
	c.cancelFormer("")
	c.phase = phaseDone
	c.emit(Finish{Outcome: c.outcome(), Code: message.Code, Detail: message.Detail, Status: c.last.Status,
		RetryAfter: message.RetryAfter, Delivered: c.next, Attempts: c.attempts})
}
