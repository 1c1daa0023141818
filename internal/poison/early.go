package poison

import (
	"slices"
	"time"
)

// What callers send alike runs on each server that a poison request ends, and looks like it. This
// file lets such a request be tried early: where it is the sound one of the two its callers are
// served again after a second, and not after the first bar.

// mayTryEarly reports whether a barred request may be tried once within its first bar: another one
// ran on each of its servers, so that one of the two ended none, and what callers send alike would
// be refused with the poison request beside it. Whether such a trial ends a server says little, since
// others run there that may be to blame: it acquits, or changes nothing. One that was granted makes
// the bar longer, also at the nodes that hear of it, and so is the only one.
func (t *Tracker) mayTryEarly(now time.Time, known *suspect) bool {
	return len(known.ends) >= CrashLimit && t.isExplained(known) && known.awaitsEarlyTrial(now)
}

// awaitsEarlyTrial reports whether no trial was granted yet, and copies under way have ended.
func (s *suspect) awaitsEarlyTrial(now time.Time) bool {
	last := s.latest()
	isFirst := s.barred == firstBar && s.trialAt.IsZero() && s.earlyAt.IsZero()
	isLonger := s.barredUntil.Sub(last) >= firstBar+earlyTrial/2
	return isFirst && !isLonger && now.Sub(last) >= earlyTrial
}

// isExplained reports whether one other request ended all servers that this one did.
func (t *Tracker) isExplained(known *suspect) bool {
	for _, other := range t.suspects {
		isElsewhere := func(e end) bool { return !other.has(e.serverID) }
		if other != known && !slices.ContainsFunc(known.ends, isElsewhere) {
			return true
		}
	}
	return false
}

// claimEarly takes that a request is about to be tried within its first bar, if it may be. Who has
// not heard of all the servers, as it started since, goes by who asks.
func (t *Tracker) claimEarly(now time.Time, known *suspect) bool {
	hasAll := len(known.ends) >= CrashLimit
	if !known.awaitsEarlyTrial(now) || hasAll && !t.isExplained(known) {
		return false
	}
	known.earlyAt, known.triedUntil = now, now.Add(trialPatience)
	known.barredUntil = now.Add(firstBar)
	return true
}

// RecordRefusal takes that a copy of a barred request was refused at this node.
func (t *Tracker) RecordRefusal(fingerprint Fingerprint) {
	if known, ok := t.suspects[fingerprint]; ok {
		known.refused++
	}
}
