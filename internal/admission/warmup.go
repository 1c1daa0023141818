package admission

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Phase is how a server is to be treated.
type Phase int

const (
	// Warm servers take whatever comes.
	Warm Phase = iota
	// Cold servers take what is granted.
	Cold
	// Ramp is the moment after a server was cold: what waited for it is let go bit by bit.
	Ramp
)

const (
	// rampTime is the length of the ramp: the line of callers that is kept waiting at
	// the most is about as long.
	rampTime = time.Second
	// MaxColdTime bounds what is believed of a cold time.
	MaxColdTime = time.Minute
	// shortestPause and longestPause bound for how long a node leaves a server alone that
	// did not grant a request: a short one asks in vain, a long one misses the end.
	shortestPause = 10 * time.Millisecond
	longestPause  = 250 * time.Millisecond
)

// WarmUp is what a node believes of one server. The zero value is one that was never seen.
type WarmUp struct {
	seenAt time.Time
	// isTold is set once an entry or an answer said how long the server is cold, and until is
	// that moment; zero where it never was cold.
	isTold bool
	until  time.Time
	// position is that of the entry which said so.
	position storepos.Position
	// suspectedAt is when the server may have turned cold, and entries up to
	// suspectedUpTo do not know it yet; zero where it was not.
	suspectedAt   time.Time
	suspectedUpTo storepos.Position
	// closedUntil is until when the server is left alone.
	closedUntil time.Time
}

// MarkSeen takes that the server is known. Until it is told otherwise it is cold for as long as
// servers are after a start.
func (s *WarmUp) MarkSeen(now time.Time) {
	if s.seenAt.IsZero() {
		s.seenAt = now
	}
}

// ApplyEntry takes an entry's word, of the position, that the server is cold for the time left. It
// reports whether that is newer than what was known.
func (s *WarmUp) ApplyEntry(now time.Time, left time.Duration, at storepos.Position, start time.Duration) bool {
	if s.isTold && at.IsBefore(s.position) || !s.suspectedAt.IsZero() && !at.IsAfter(s.suspectedUpTo) {
		return false
	}
	s.position = at
	s.set(now, left, start)
	return true
}

// ApplyResponse takes the word of the server itself.
func (s *WarmUp) ApplyResponse(now time.Time, left, start time.Duration) { s.set(now, left, start) }

func (s *WarmUp) set(now time.Time, left, start time.Duration) {
	wasCold := s.Phase(now, start) == Cold
	s.isTold, s.suspectedAt, s.suspectedUpTo = true, time.Time{}, storepos.Position{}
	switch {
	case left > 0:
		s.until = now.Add(min(left, MaxColdTime))
	case wasCold:
		s.until = now
		s.closedUntil = time.Time{}
	}
}

// MarkPossiblyCold takes that the server may have turned cold, which entries up to the position
// do not say. It is cold then until a later one says otherwise, for as long as servers are
// after a start.
func (s *WarmUp) MarkPossiblyCold(now time.Time, upTo storepos.Position) {
	s.suspectedAt = now
	s.suspectedUpTo = storepos.Later(s.suspectedUpTo, upTo)
}

// Phase is how the server is to be treated, where servers are cold for the time start
// after they started.
func (s *WarmUp) Phase(now time.Time, start time.Duration) Phase {
	until := s.coldUntil(start)
	switch {
	case until.IsZero():
		return Warm
	case now.Before(until):
		return Cold
	case now.Before(until.Add(rampTime)):
		return Ramp
	default:
		return Warm
	}
}

// coldUntil is the last moment of all that was told or is taken; zero where there is none.
func (s *WarmUp) coldUntil(start time.Duration) time.Time {
	until := s.until
	if !s.isTold && !s.seenAt.IsZero() {
		until = later(until, s.seenAt.Add(start))
	}
	if !s.suspectedAt.IsZero() {
		until = later(until, s.suspectedAt.Add(start))
	}
	return until
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ColdRemaining is for how long the server is cold yet, and whether that was told and not guessed.
func (s *WarmUp) ColdRemaining(now time.Time, start time.Duration) (left time.Duration, told bool) {
	return max(0, s.coldUntil(start).Sub(now)), s.isTold && s.suspectedAt.IsZero()
}

// RecordDenial takes that a request was not granted, and may be after retryIn.
func (s *WarmUp) RecordDenial(now time.Time, retryIn time.Duration) {
	s.closedUntil = now.Add(min(max(retryIn, shortestPause), longestPause))
}

// RetryAfter is for how long the server is left alone.
func (s *WarmUp) RetryAfter(now time.Time, start time.Duration) time.Duration {
	if s.Phase(now, start) == Warm {
		return 0
	}
	return max(0, s.closedUntil.Sub(now))
}
