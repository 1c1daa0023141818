package admission

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// DenyReason is what keeps a request from a server.
type DenyReason string

const (
	// DenyNone lets it go.
	DenyNone DenyReason = ""
	// DenyDraining servers go away and take no new work.
	DenyDraining DenyReason = "draining"
	// DenyBackoff servers asked this node to leave them alone for a time.
	DenyBackoff DenyReason = "backoff"
	// DenyHalfOpen servers have one request under way that shows whether they take work again.
	DenyHalfOpen DenyReason = "half_open"
	// DenyRateLimit servers did not grant a request of their rate limit lately.
	DenyRateLimit DenyReason = "rate_limit"
)

// Decision is whether a request may go to a server now, else when.
type Decision struct {
	Reason DenyReason
	// RetryAfter is when it may be asked again; 0 where it may go, or never may.
	RetryAfter time.Duration
}

// Admits reports whether the request may go.
func (d Decision) Admits() bool { return d.Reason == DenyNone }

const (
	// ProbeTimeout is how long others wait for the answer of the request that probes a half-open
	// server: one that turns it away does so within a few milliseconds.
	ProbeTimeout = 300 * time.Millisecond
	// limitRenewal is by how much later a rate limit has to be heard to be news though it is the same.
	limitRenewal = 2 * time.Second
	// shortestHold and longestHold bound for how long a limited server is left alone that did not
	// grant a request.
	shortestHold = 10 * time.Millisecond
	longestHold  = 250 * time.Millisecond
)

// Server is what bounds the sends to one start of a server, by what its answers told this node and
// others. The zero value is a server that told nothing.
type Server struct {
	draining bool
	// backoffUntil is when the time ends for which the server wants nothing from this node, and
	// peerBackoffUntil the same of some other node.
	backoffUntil, peerBackoffUntil time.Time
	// isHalfOpen is set from a backoff on until the server has answered a request again, and probe is
	// the one that goes first, alone.
	isHalfOpen bool
	probe      *Probe
	limit      RateLimit
	// limitNewsAt is when the limit was heard as it was news last.
	limitNewsAt time.Time
	// heldUntil is until when a limited server is left alone, as a request was not granted, and grantAt
	// when one may be.
	heldUntil, grantAt time.Time
}

// Probe is a request that shows whether a half-open server takes work again.
type Probe struct{ started time.Time }

// ReceiveHint takes what the server told this node with an answer. News is false where that is
// nothing to be passed on.
func (s *Server) ReceiveHint(now time.Time, hint inventory.Hint) (news bool) {
	if hint.Backoff > 0 {
		s.isHalfOpen, s.probe = true, nil
	}
	news = s.receive(now, hint, &s.backoffUntil)
	return s.observe(Observation{Limit: hint.Limit, SentAt: hint.SentAt, ReceivedAt: now}) || news
}

// ReceivePeerHint takes what a peer says that the server told it. That it drains holds for all; a
// backoff was asked of that peer alone, and tells here that the server is in trouble.
func (s *Server) ReceivePeerHint(now time.Time, hint inventory.Hint) (news bool) {
	return s.receive(now, hint, &s.peerBackoffUntil)
}

// receive takes a hint; until is when the backoff ends that it is about.
func (s *Server) receive(now time.Time, hint inventory.Hint, until *time.Time) (news bool) {
	news = hint.Draining && !s.draining || hint.Backoff > 0 && !now.Before(*until)
	s.draining = s.draining || hint.Draining
	if hint.Backoff > 0 {
		*until = later(*until, now.Add(hint.Backoff))
	}
	return news
}

// ReceivePeerLimit takes what a peer says that the server told it of its rate limit, which is for all
// nodes together.
func (s *Server) ReceivePeerLimit(limit Observation) (news bool) {
	if !s.observe(limit) {
		return false
	}
	if !limit.Limit.IsSet() {
		// What was long under way may look newer than it is: one request shows whether the limit
		// has ended.
		s.isHalfOpen, s.probe = true, nil
	}
	return true
}

// observe takes what an answer said of the rate limit. It is news where the limit changed, or was
// heard last long ago: others let go of one that nobody hears any more.
func (s *Server) observe(told Observation) (news bool) {
	if s.limit.Observe(told) {
		s.heldUntil, s.grantAt = time.Time{}, time.Time{}
		s.limitNewsAt = told.ReceivedAt
		return true
	}
	if !told.Limit.IsSet() || told.ReceivedAt.Sub(s.limitNewsAt) <= limitRenewal {
		return false
	}
	s.limitNewsAt = told.ReceivedAt
	return true
}

// IsDraining reports whether the server told some node that it goes away.
func (s *Server) IsDraining() bool { return s != nil && s.draining }

// Backoff is for how long the server wants nothing from this node; 0 where it takes work.
func (s *Server) Backoff(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	return max(0, s.backoffUntil.Sub(now))
}

// HasPeerBackoff reports whether the server asked another node to leave it alone.
func (s *Server) HasPeerBackoff(now time.Time) bool {
	return s != nil && now.Before(s.peerBackoffUntil)
}

// LongestBackoff is for how long the server wants nothing from some node, this one included.
func (s *Server) LongestBackoff(now time.Time) time.Duration {
	return max(s.Backoff(now), s.peerBackoffUntil.Sub(now))
}

// Limit is the rate limit of the server; the zero value where it never named one.
func (s *Server) Limit() RateLimit {
	if s == nil {
		return RateLimit{}
	}
	return s.limit
}

// IsRateLimited reports whether a rate limit is in force.
func (s *Server) IsRateLimited() bool { return s != nil && s.limit.limit.IsSet() }

// Check decides on a request of a caller.
func (s *Server) Check(now time.Time) Decision {
	if s == nil {
		return Decision{}
	}
	return s.check(now)
}

func (s *Server) check(now time.Time) Decision {
	switch {
	case s.draining:
		return Decision{Reason: DenyDraining}
	case now.Before(s.backoffUntil):
		return Decision{Reason: DenyBackoff, RetryAfter: s.backoffUntil.Sub(now)}
	case s.isProbed(now):
		return Decision{Reason: DenyHalfOpen, RetryAfter: ProbeTimeout - now.Sub(s.probe.started)}
	case s.IsRateLimited() && now.Before(s.heldUntil):
		return Decision{Reason: DenyRateLimit, RetryAfter: max(s.heldUntil.Sub(now), s.grantAt.Sub(now))}
	default:
		return Decision{}
	}
}

// CheckInternalCall decides on a call of the system itself: servers that drain go on to answer those.
func (s *Server) CheckInternalCall(now time.Time) Decision {
	if left := s.Backoff(now); left > 0 {
		return Decision{Reason: DenyBackoff, RetryAfter: left}
	}
	return Decision{}
}

// RecordDenial leaves a limited server alone that did not grant a request, and may after retryIn.
func (s *Server) RecordDenial(now time.Time, retryIn time.Duration) {
	if s.IsRateLimited() {
		s.heldUntil = now.Add(min(max(retryIn, shortestHold), longestHold))
		s.grantAt = now.Add(retryIn)
	}
}

// isProbed reports whether a request is under way that probes the server.
func (s *Server) isProbed(now time.Time) bool {
	return s.isHalfOpen && s.probe != nil && now.Sub(s.probe.started) < ProbeTimeout
}

// StartProbe makes a request the one that goes first to a half-open server; nil where the server is
// not half-open.
func (s *Server) StartProbe(now time.Time) *Probe {
	if s == nil || !s.isHalfOpen {
		return nil
	}
	s.probe = &Probe{started: now}
	return s.probe
}

// EndProbe takes that the answer to a probe began, or that it ended without one. A server that asked
// for another backoff with it stays half-open.
func (s *Server) EndProbe(now time.Time, probe *Probe, answered bool) (ended bool) {
	if s == nil || probe == nil || s.probe != probe {
		return false
	}
	s.probe = nil
	if answered && s.Backoff(now) == 0 {
		s.isHalfOpen = false
	}
	return true
}
