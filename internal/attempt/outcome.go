package attempt

// exposure is the worst case that the attempts so far allow. It never decreases.
type exposure int

const (
	// exposedNothing: each attempt is known not to have run.
	exposedNothing exposure = iota
	// exposedFailed: a back end responded with an error and may have run the request.
	exposedFailed
	// exposedUnknown: bytes may have been sent and no response came.
	exposedUnknown
)

// recordExposure adds the evidence of a failed attempt.
func (c *Core) recordExposure(evidence Evidence) {
	switch evidence {
	case NeverSent, RefusedBeforeRun:
	case ErrorStatus:
		c.worstExposure = max(c.worstExposure, exposedFailed)
	default:
		c.worstExposure = max(c.worstExposure, exposedUnknown)
	}
}

// outcome is what may be said of a request that ends without a whole answer.
func (c *Core) outcome() Outcome {
	switch {
	case c.options.Defects.ClaimNotRun:
		return OutcomeNotRun
	case c.nextSequence > 0:
		return OutcomeFailed
	case c.worstExposure == exposedNothing:
		return OutcomeNotRun
	case c.worstExposure == exposedFailed:
		return OutcomeFailed
	}
	return OutcomeUnknown
}

func (c *Core) giveUp(code, detail string) {
	c.phase = phaseDone
	c.emit(Finish{Outcome: c.outcome(), Code: code, Detail: detail, Status: c.lastFailure.Status,
		RetryAfter: c.lastFailure.RetryAfter, Delivered: c.nextSequence, Attempts: c.attempts})
}

func (c *Core) finishOK(reason string) {
	c.phase = phaseDone
	c.emit(Finish{Outcome: OutcomeOK, Reason: reason, Delivered: c.nextSequence, Attempts: c.attempts})
}

func (c *Core) handleUnassigned(message Unassigned) {
	if c.phase != phaseAssigning {
		return
	}
	c.cancelPrevious("")
	c.phase = phaseDone
	c.emit(Finish{Outcome: c.outcome(), Code: message.Code, Detail: message.Detail, Status: c.lastFailure.Status,
		RetryAfter: message.RetryAfter, Delivered: c.nextSequence, Attempts: c.attempts})
}
