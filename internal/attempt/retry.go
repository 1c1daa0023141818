package attempt

import (
	"slices"
	"time"
)

func (c *Core) handleFailure(now time.Time, failure Failure) {
	if c.handleHedgeFailure(failure) {
		return
	}
	if failure.Connection != c.connection || c.phase != phaseConnected {
		return
	}
	if c.finishReason != "" {
		c.finishOK(c.finishReason)
		return
	}
	c.resumeOrRetry(now, failure)
}

// resumeOrRetry decides what follows a connection that will deliver nothing more.
func (c *Core) resumeOrRetry(now time.Time, failure Failure) {
	c.lastFailure = failure
	if c.mayResume(failure) {
		c.resumes++
		c.connections++
		c.connection = c.connections
		c.wakeAt = now.Add(min(c.options.ResumeTimeout, c.options.StallTimeout))
		c.emit(Resume{Connection: c.connection, Attempt: c.attempt, Backend: c.backend, From: c.nextSequence})
		return
	}
	c.recordExposure(failure.Evidence)
	if failure.isNotRun() {
		c.refusals++
	}
	c.mayStillRun = failure.Evidence == MaybeSent && c.options.Resumable
	if !c.mayRetry(now, failure) {
		c.cancelPrevious("")
		c.giveUp(failureCode(failure, c.nextSequence), failure.Detail)
		return
	}
	c.phase = phaseAssigning
	if !slices.Contains(c.excluded, c.backend) {
		c.excluded = append(c.excluded, c.backend)
	}
	if c.nextSequence > 0 {
		c.wakeAt = now.Add(c.options.ContinueTimeout)
	}
	c.emit(Reassign{After: c.backoff(now), Exclude: c.excluded, BudgetExempt: failure.isNotRun() || c.nextSequence > 0})
}

// isNotRun reports whether the attempt is known not to have run.
func (f Failure) isNotRun() bool {
	return f.Evidence == NeverSent || f.Evidence == RefusedBeforeRun
}

// mayResume reports whether to ask the same engine for the rest: it accepted the request and may still
// have the answer.
func (c *Core) mayResume(failure Failure) bool {
	return c.options.Resumable && !failure.NoResume && failure.Evidence == MaybeSent && c.nextSequence > 0 && c.resumes < c.options.MaxResumes
}

func (c *Core) mayRetry(now time.Time, failure Failure) bool {
	if failure.Permanent || c.attempts-c.refusals >= c.options.MaxAttempts || c.refusals >= c.options.MaxRefusals {
		return false
	}
	if c.nextSequence == 0 && !now.Before(c.options.Deadline) {
		return false
	}
	if c.nextSequence > 0 && (!c.options.Resumable || c.keptBytes > c.options.MaxKeptBytes) {
		return false
	}
	if c.options.Repeatable || c.options.Defects.BlindResend {
		return true
	}
	return failure.Evidence == NeverSent
}

// maxBackoffDoublings keeps the shift in backoff from overflowing.
const maxBackoffDoublings = 10

// backoff doubles with each attempt, with jitter, and is at most half of the time left.
func (c *Core) backoff(now time.Time) time.Duration {
	full := min(backoffMin<<min(c.attempts-1, maxBackoffDoublings), backoffMax)
	wait := full/2 + time.Duration(c.random.Int64N(int64(full/2)))
	return min(wait, max(0, c.wakeAt.Sub(now)/2))
}

func failureCode(failure Failure, delivered int) string {
	switch {
	case delivered > 0:
		return CodeInterrupted
	case failure.Evidence == NeverSent:
		return CodeUnreachable
	case failure.Evidence == RefusedBeforeRun:
		return CodeRefused
	}
	return CodeBackend
}
