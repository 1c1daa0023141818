package poison

import (
	"slices"
	"time"
)

// A request that many callers send identically also runs on the servers that a poison request crashes,
// and looks like it. This file allows an early trial of such a request: if it is the harmless one of the
// two, its callers are served again after a second instead of after the first bar.

// isEarlyTrialDue reports whether a barred request may be tried once within its first bar: another
// request ran on each of its crashed servers, so one of the two is harmless, and identical requests of
// many callers would be refused together with the poison request. A crash in such a trial says little,
// since other requests run there that may have caused it: the trial clears the request or changes
// nothing. Granting one extends the bar, also at the nodes that hear of it, and so it is the only one.
func (t *Tracker) isEarlyTrialDue(now time.Time, fingerprint Fingerprint, entry *suspect) bool {
	return len(entry.crashes) >= CrashLimit && t.hasAlternativeCause(now, fingerprint, entry) && entry.canTryEarly(now)
}

// canTryEarly reports whether no trial was granted yet and copies in flight have had time to end.
func (s *suspect) canTryEarly(now time.Time) bool {
	last := s.lastCrashAt()
	isFirst := s.barTime == firstBarTime && s.barSerial <= 1 && s.trialAt.IsZero() && s.earlyTrialAt.IsZero()
	return isFirst && now.Sub(last) >= earlyTrialDelay
}

// hasAlternativeCause reports whether all servers that crashed under this request also ran one other suspect
// when they crashed, which has not succeeded since. The parts of its own prompt are no other suspects.
func (t *Tracker) hasAlternativeCause(now time.Time, fingerprint Fingerprint, entry *suspect) bool {
	for _, other := range t.suspects {
		if other == entry || other.succeededRecently(now) {
			continue
		}
		ranElsewhere := func(c crash) bool { return !other.crashedInOther(c.serverID, fingerprint.Key()) }
		if !slices.ContainsFunc(entry.crashes, ranElsewhere) {
			return true
		}
	}
	return false
}

// crashedInOther reports whether the server crashed under the suspect, in another request than that.
func (s *suspect) crashedInOther(serverID string, request uint64) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.serverID == serverID && c.request != request })
}

// claimEarlyTrial claims a trial within the first bar, if one may be made. A node that started after the
// first crashes does not know all the servers and trusts the node that asks.
func (t *Tracker) claimEarlyTrial(now time.Time, fingerprint Fingerprint, entry *suspect) bool {
	isComplete := len(entry.crashes) >= CrashLimit
	if !entry.canTryEarly(now) || isComplete && !t.hasAlternativeCause(now, fingerprint, entry) {
		return false
	}
	entry.earlyTrialAt, entry.trialPendingUntil = now, now.Add(trialTimeout)
	entry.beginBar(now, firstBarTime)
	return true
}

// RecordRefusal counts a copy of a barred request that this node refused.
func (t *Tracker) RecordRefusal(fingerprint Fingerprint) {
	if entry, ok := t.suspects[fingerprint]; ok {
		entry.refusals++
	}
}
