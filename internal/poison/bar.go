package poison

import "time"

// Bar identifies one bar of a request. Nodes tell each other of it by ages, to which the time under way
// is added at each hop; of several reports of one bar the earliest beginning counts.
type Bar struct {
	// Serial numbers the bars of a request since it was last cleared, from 1. Each crash in a trial and
	// each trial begins another bar.
	Serial uint32
	// Age is the time since the bar began.
	Age time.Duration
	// Time is the length from which that of the next bar follows.
	Time time.Duration
}

// After returns the report as it is to be told when that much time has passed.
func (r Report) After(elapsed time.Duration) Report {
	r.Age += elapsed
	if r.Bar.Serial > 0 {
		r.Bar.Age += elapsed
	}
	r.BarredFor = max(0, r.BarredFor-elapsed)
	return r
}

// unnumberedTolerance is by how much the end of a bar without a number must be later than that of the known
// one to be another bar, rather than the same one told with a delay.
const unnumberedTolerance = earlyTrialDelay / 2

// beginBar begins another bar.
func (s *suspect) beginBar(now time.Time, length time.Duration) {
	s.barSerial++
	s.barredFrom, s.barredUntil = now, now.Add(length)
}

// applyBar applies another node's report that the request is barred.
func (s *suspect) applyBar(now time.Time, report Report) {
	if report.BarredFor <= 0 || s.succeededRecently(now) || s.isLiftedRecently(now) {
		return
	}
	bar, until := report.Bar, now.Add(min(report.BarredFor, maxBarTime))
	if bar.Serial == 0 {
		s.applyUnnumberedBar(now, until)
		return
	}
	from := now.Add(-bar.Age)
	isEarlier := bar.Serial == s.barSerial && from.Before(s.barredFrom)
	if !from.After(s.resetAt()) || bar.Serial < s.barSerial || bar.Serial == s.barSerial && !isEarlier {
		return
	}
	s.barSerial, s.barredFrom, s.barredUntil = bar.Serial, from, until
	s.barTime = max(s.barTime, min(bar.Time, maxBarTime))
}

// applyUnnumberedBar applies the end of a bar as an earlier build or the lease tells it.
func (s *suspect) applyUnnumberedBar(now, until time.Time) {
	if until.Sub(s.barredUntil) <= unnumberedTolerance {
		return
	}
	left := until.Sub(now)
	length := usualBarTime(left)
	s.barTime = max(s.barTime, length)
	s.barSerial++
	s.barredFrom, s.barredUntil = until.Add(-length), until
}

// usualBarTime is the length of a bar of which that time is left, if it is the shortest possible one.
func usualBarTime(left time.Duration) time.Duration {
	if left <= firstBarTime {
		return firstBarTime
	}
	length := repeatBarTime
	for length < left && length < maxBarTime {
		length *= 2
	}
	return min(length, maxBarTime)
}

// Bar is the bar of a request that is barred now; zero if it is not.
func (t *Tracker) Bar(now time.Time, fingerprint Fingerprint) Bar {
	entry, ok := t.suspects[fingerprint]
	if !ok || !now.Before(entry.barredUntil) {
		return Bar{}
	}
	return Bar{Serial: entry.barSerial, Age: now.Sub(entry.barredFrom), Time: entry.barTime}
}

// BarReport is a report of the request's bar alone.
func (t *Tracker) BarReport(now time.Time, fingerprint Fingerprint) Report {
	return Report{Fingerprint: fingerprint, BarredFor: t.BarRemaining(now, fingerprint), Bar: t.Bar(now, fingerprint)}
}
