package attempt

import (
	"slices"
	"time"
)

func (c *Core) broken(now time.Time, broken Failure) {
	if c.lostSide(broken) {
		return
	}
	if broken.Connection != c.connection || c.phase != phaseConnected {
		return
	}
	if c.finish != "" {
		c.succeed(c.finish)
		return
	}
	c.lost(now, broken)
}

// lost decides what follows a connection that will bring nothing more.
func (c *Core) lost(now time.Time, broken Failure) {
	c.last = broken
	if c.mayResume(broken) {
		c.resumes++
		c.connections++
		c.connection = c.connections
		c.wake = now.Add(min(c.options.ResumeTimeout, c.options.StallTimeout))
		c.emit(Resume{Connection: c.connection, Attempt: c.attempt, Backend: c.backend, From: c.next})
		return
	}
	c.expose(broken.Evidence)
	if broken.provedNotRun() {
		c.refusals++
	}
	c.former = broken.Evidence == MaybeSent && c.options.Resumable
	if !c.mayRetry(now, broken) {
		c.cancelFormer("")
		c.giveUp(codeOf(broken, c.next), broken.Detail)
		return
	}
	c.phase = phaseAssigning
	if !slices.Contains(c.exclude, c.backend) {
		c.exclude = append(c.exclude, c.backend)
	}
	if c.next > 0 {
		c.wake = now.Add(c.options.ContinueTimeout)
	}
	c.emit(Reassign{After: c.backoff(now), Exclude: c.exclude, BudgetExempt: broken.provedNotRun() || c.next > 0})
}

func (b Failure) provedNotRun() bool {
	return b.Evidence == NeverSent || b.Evidence == RefusedBeforeRun
}

// mayResume: the same engine may still have the answer, since it took the
// request and has not said otherwise.
func (c *Core) mayResume(broken Failure) bool {
	return c.options.Resumable && !broken.NoResume && broken.Evidence == MaybeSent && c.next > 0 && c.resumes < c.options.MaxResumes
}

func (c *Core) mayRetry(now time.Time, broken Failure) bool {
	if broken.Permanent || c.attempts-c.refusals >= c.options.MaxAttempts || c.refusals >= c.options.MaxRefusals {
		return false
	}
	if c.next == 0 && !now.Before(c.options.Deadline) {
		return false
	}
	if c.next > 0 && (!c.options.Resumable || c.keptBytes > c.options.MaxKeptBytes) {
		return false
	}
	if c.options.Repeatable || c.options.Defects.BlindResend {
		return true
	}
	return broken.Evidence == NeverSent
}

// maxBackoffSteps keeps the doubling within its range.
const maxBackoffSteps = 10

// backoff doubles with each attempt, with jitter, and leaves time before the
// deadline.
func (c *Core) backoff(now time.Time) time.Duration {
	full := min(backoffMin<<min(c.attempts-1, maxBackoffSteps), backoffMax)
	wait := full/2 + time.Duration(c.random.Int64N(int64(full/2)))
	return min(wait, max(0, c.wake.Sub(now)/2))
}

func codeOf(broken Failure, delivered int) string {
	switch {
	case delivered > 0:
		return CodeInterrupted
	case broken.Evidence == NeverSent:
		return CodeUnreachable
	case broken.Evidence == RefusedBeforeRun:
		return CodeRefused
	}
	return CodeBackend
}
