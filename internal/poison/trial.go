package poison

import (
	"slices"
	"time"
)

// trialTimeout is how long a trial without a result blocks trials of requests that ran on the same
// crashed servers: with both in flight, one would be blamed for a crash caused by the other. Callers wait
// seconds for whole responses.
const trialTimeout = 5 * time.Second

// maxTrialDoublings bounds the doublings of the pause after an inconclusive trial; maxBarTime bounds the
// pause itself.
const maxTrialDoublings = 8

// ClaimTrial claims the one send of a request whose bar is over, and reports whether it is granted. The
// request is then barred again for the same time: whatever becomes of the trial, no second one starts
// alongside it, and if its result never arrives (the server could not be reached any more) the next one
// waits twice as long. A node that was not told of the bar grants the trial as after a first bar. Within
// its first bar a request may get an early trial.
func (t *Tracker) ClaimTrial(now time.Time, fingerprint Fingerprint) bool {
	entry := t.suspectFor(now, fingerprint)
	switch {
	case entry.succeededRecently(now):
		return true
	case t.isRelatedTrialPending(now, entry):
		return false
	case now.Before(entry.barredUntil):
		return t.claimEarlyTrial(now, fingerprint, entry)
	}
	entry.barTime = max(entry.barTime, firstBarTime)
	// The bar that is over was at least the first, also if this node was not told of it.
	entry.barSerial = max(entry.barSerial, 1)
	entry.beginBar(now, min(entry.barTime<<min(entry.inconclusiveTrials, maxTrialDoublings), maxBarTime))
	entry.trialAt, entry.trialPendingUntil = now, now.Add(trialTimeout)
	entry.inconclusiveTrials++
	return true
}

// endTrialAt ends a pending trial if the crash at that time happened during it.
func (s *suspect) endTrialAt(crashedAt time.Time) {
	if !crashedAt.Before(s.trialPendingUntil.Add(-trialTimeout)) {
		s.trialPendingUntil = time.Time{}
	}
}

// isRelatedTrialPending reports whether another request that ran on one of the same crashed servers is on
// trial now.
func (t *Tracker) isRelatedTrialPending(now time.Time, entry *suspect) bool {
	for _, other := range t.suspects {
		if other != entry && now.Before(other.trialPendingUntil) && slices.ContainsFunc(entry.crashes, func(c crash) bool { return other.crashed(c.serverID) }) {
			return true
		}
	}
	return false
}

// crashedInTrial reports whether a crash at that time happened in a trial, as far as this node knows.
func (s *suspect) crashedInTrial(crashedAt time.Time) bool {
	return !s.trialAt.IsZero() && !crashedAt.Before(s.trialAt)
}

// liftBar applies an operator's order to lift the bar. It returns false where it is already known.
func (t *Tracker) liftBar(now, at time.Time, fingerprint Fingerprint) bool {
	if now.Sub(at) >= successTTL {
		return false
	}
	entry := t.suspectFor(now, fingerprint)
	if at.Sub(entry.liftedAt) < successTTL/2 {
		return false
	}
	entry.liftedAt = at
	entry.crashes, entry.bursts = nil, 0
	entry.resetBar()
	return true
}

// isLiftedRecently reports whether an operator lifted the bar within successTTL: reports of the bar from
// other nodes are out of date then.
func (s *suspect) isLiftedRecently(now time.Time) bool {
	return !s.liftedAt.IsZero() && now.Sub(s.liftedAt) < successTTL
}

// resetAt is when the request last succeeded or its bar was lifted: earlier crashes do not count.
func (s *suspect) resetAt() time.Time {
	if s.liftedAt.After(s.succeededAt) {
		return s.liftedAt
	}
	return s.succeededAt
}

// resetBar clears the bar and its trials.
func (s *suspect) resetBar() {
	s.barTime, s.barredUntil = 0, time.Time{}
	s.barSerial, s.barredFrom = 0, time.Time{}
	s.trialAt, s.inconclusiveTrials = time.Time{}, 0
	s.earlyTrialAt, s.trialPendingUntil, s.refusals = time.Time{}, time.Time{}, 0
}
