package admission

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Phase says how requests to a server are limited.
type Phase int

const (
	// Warm servers take any number of requests.
	Warm Phase = iota
	// Cold servers take only granted requests.
	Cold
	// Ramp is the short time after a server was cold, in which waiting requests are released
	// gradually.
	Ramp
)

const (
	// rampDuration is the length of the ramp. The longest queue of waiting callers takes about as
	// long.
	rampDuration = time.Second
	// MaxColdTime caps the cold time that an entry or a response may report.
	MaxColdTime = time.Minute
	// minPause and maxPause bound how long a node skips a server after a denied request. A shorter
	// pause asks in vain, a longer one misses the end of the cold time.
	minPause = 10 * time.Millisecond
	maxPause = 250 * time.Millisecond
)

// WarmUp is what a node knows about the cold time of one server. The zero value is a server that
// was never seen.
type WarmUp struct {
	seenAt time.Time
	// isReported is set once an entry or a response said how long the server is cold. reportedUntil
	// is the end of that time; zero if the server was never cold.
	isReported    bool
	reportedUntil time.Time
	// position is the position of the entry that said so.
	position storepos.Position
	// suspectedAt is when the server may have turned cold without the entries up to suspectedUpTo
	// showing it; zero if that is not suspected.
	suspectedAt   time.Time
	suspectedUpTo storepos.Position
	// pausedUntil is until when the server is skipped after a denied request.
	pausedUntil time.Time
}

// MarkSeen records that the server is known. Until a report says otherwise, it counts as cold for
// as long as servers are after a start.
func (s *WarmUp) MarkSeen(now time.Time) {
	if s.seenAt.IsZero() {
		s.seenAt = now
	}
}

// ApplyEntry applies a store entry that says how much longer the server is cold. coldTime is how
// long servers are cold after a start. It returns false if the entry is not newer than what is
// known.
func (s *WarmUp) ApplyEntry(now time.Time, remaining time.Duration, position storepos.Position, coldTime time.Duration) bool {
	if s.isReported && position.IsBefore(s.position) || !s.suspectedAt.IsZero() && !position.IsAfter(s.suspectedUpTo) {
		return false
	}
	s.position = position
	s.setRemaining(now, remaining, coldTime)
	return true
}

// ApplyResponse applies a cold time that the server itself reported in a response.
func (s *WarmUp) ApplyResponse(now time.Time, remaining, coldTime time.Duration) {
	s.setRemaining(now, remaining, coldTime)
}

func (s *WarmUp) setRemaining(now time.Time, remaining, coldTime time.Duration) {
	wasCold := s.Phase(now, coldTime) == Cold
	s.isReported, s.suspectedAt, s.suspectedUpTo = true, time.Time{}, storepos.Position{}
	switch {
	case remaining > 0:
		s.reportedUntil = now.Add(min(remaining, MaxColdTime))
	case wasCold:
		s.reportedUntil = now
		s.pausedUntil = time.Time{}
	}
}

// MarkPossiblyCold records that the server may have turned cold without the entries up to the
// position showing it. It then counts as cold for as long as servers are after a start, or until a
// later entry says otherwise.
func (s *WarmUp) MarkPossiblyCold(now time.Time, upTo storepos.Position) {
	s.suspectedAt = now
	s.suspectedUpTo = storepos.Later(s.suspectedUpTo, upTo)
}

// Phase returns how requests to the server are limited. coldTime is how long servers are cold after
// a start.
func (s *WarmUp) Phase(now time.Time, coldTime time.Duration) Phase {
	until := s.coldUntil(coldTime)
	switch {
	case until.IsZero():
		return Warm
	case now.Before(until):
		return Cold
	case now.Before(until.Add(rampDuration)):
		return Ramp
	default:
		return Warm
	}
}

// coldUntil returns the latest end of all cold times that were reported or are assumed; zero if
// there is none.
func (s *WarmUp) coldUntil(coldTime time.Duration) time.Time {
	until := s.reportedUntil
	if !s.isReported && !s.seenAt.IsZero() {
		until = later(until, s.seenAt.Add(coldTime))
	}
	if !s.suspectedAt.IsZero() {
		until = later(until, s.suspectedAt.Add(coldTime))
	}
	return until
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ColdRemaining returns how much longer the server is cold, and whether that was reported rather
// than assumed.
func (s *WarmUp) ColdRemaining(now time.Time, coldTime time.Duration) (remaining time.Duration, reported bool) {
	return max(0, s.coldUntil(coldTime).Sub(now)), s.isReported && s.suspectedAt.IsZero()
}

// RecordDenial records that a request was denied and may be granted after retryAfter.
func (s *WarmUp) RecordDenial(now time.Time, retryAfter time.Duration) {
	s.pausedUntil = now.Add(min(max(retryAfter, minPause), maxPause))
}

// RetryAfter returns how much longer the server is skipped.
func (s *WarmUp) RetryAfter(now time.Time, coldTime time.Duration) time.Duration {
	if s.Phase(now, coldTime) == Warm {
		return 0
	}
	return max(0, s.pausedUntil.Sub(now))
}
