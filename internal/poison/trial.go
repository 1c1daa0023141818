package poison

import (
	"slices"
	"time"
)

// trialPatience is how long a trial that told nothing yet keeps back those of requests that ended
// the same servers: beside it they would be blamed for its end, or it for theirs. Callers wait
// for whole answers for seconds.
const trialPatience = 5 * time.Second

// longestTrialStep bounds how often the pause after a trial that told nothing is doubled: the
// pause is bounded by longestBar anyway.
const longestTrialStep = 8

// ClaimTrial takes that a request whose bar is over is about to be sent once more, and reports
// whether it may be. It then is barred again, for as long as before: whatever becomes of the
// trial, no second one begins beside it, and where nothing is heard of it (the way to its
// server was cut) the next one waits twice as long. A node that was not told of the bar grants
// the trial as one after a first bar. Within its first bar a request may be tried early.
func (t *Tracker) ClaimTrial(now time.Time, fingerprint Fingerprint) bool {
	known := t.entry(now, fingerprint)
	switch {
	case known.isVouched(now):
		return true
	case t.isTrialBeside(now, known):
		return false
	case now.Before(known.barredUntil):
		return t.claimEarly(now, known)
	}
	known.barred = max(known.barred, firstBar)
	known.barredUntil = now.Add(min(known.barred<<min(known.trials, longestTrialStep), longestBar))
	known.trialAt, known.triedUntil = now, now.Add(trialPatience)
	known.trials++
	return true
}

// endTrial takes that a server ended under the request: under its trial, where one is under way.
func (s *suspect) endTrial(endedAt time.Time) {
	if !endedAt.Before(s.triedUntil.Add(-trialPatience)) {
		s.triedUntil = time.Time{}
	}
}

// isTrialBeside reports whether a request that ended a server of this one's is being tried.
func (t *Tracker) isTrialBeside(now time.Time, known *suspect) bool {
	for _, other := range t.suspects {
		if other != known && now.Before(other.triedUntil) && slices.ContainsFunc(known.ends, func(e end) bool { return other.has(e.serverID) }) {
			return true
		}
	}
	return false
}

// isTried reports whether a server that ended at that time ended under a trial, as far as is
// known here.
func (s *suspect) isTried(endedAt time.Time) bool {
	return !s.trialAt.IsZero() && !endedAt.Before(s.trialAt)
}

// lift takes an operator's word that the request is barred no more. It returns false where
// that was known.
func (t *Tracker) lift(now, at time.Time, fingerprint Fingerprint) bool {
	if now.Sub(at) >= vouchTime {
		return false
	}
	known := t.entry(now, fingerprint)
	if at.Sub(known.liftedAt) < vouchTime/2 {
		return false
	}
	known.liftedAt = at
	known.ends = nil
	known.endBar()
	return true
}

// isLifted reports whether an operator ended the bar lately: what other nodes still tell of it
// holds no more.
func (s *suspect) isLifted(now time.Time) bool {
	return !s.liftedAt.IsZero() && now.Sub(s.liftedAt) < vouchTime
}

// forgivenAt is when the request last ended well or its bar was lifted: servers that ended
// before do not count.
func (s *suspect) forgivenAt() time.Time {
	if s.liftedAt.After(s.clearedAt) {
		return s.liftedAt
	}
	return s.clearedAt
}

// endBar forgets that the request was barred.
func (s *suspect) endBar() {
	s.barred, s.barredUntil = 0, time.Time{}
	s.trialAt, s.trials = time.Time{}, 0
	s.earlyAt, s.triedUntil, s.refused = time.Time{}, time.Time{}, 0
}
