package admission

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// DenyReason is why a request may not be sent to a server.
type DenyReason string

const (
	// DenyNone means that the request may be sent.
	DenyNone DenyReason = ""
	// DenyDraining means that the server is shutting down and takes no new work.
	DenyDraining DenyReason = "draining"
	// DenyBackoff means that the server asked this node to send nothing for some time.
	DenyBackoff DenyReason = "backoff"
	// DenyHalfOpen means that a probe is in flight that shows whether the server takes work again.
	DenyHalfOpen DenyReason = "half_open"
	// DenyRateLimit means that a request was recently denied under the server's rate limit.
	DenyRateLimit DenyReason = "rate_limit"
)

// Decision says whether a request may be sent to a server now.
type Decision struct {
	Reason DenyReason
	// RetryAfter is when to ask again; 0 if the request may be sent now, or never.
	RetryAfter time.Duration
}

// Admits reports whether the request may be sent.
func (d Decision) Admits() bool { return d.Reason == DenyNone }

const (
	// ProbeTimeout is how long other requests wait for the response to the probe of a half-open
	// server. A server that refuses a request does so within a few milliseconds.
	ProbeTimeout = 300 * time.Millisecond
	// limitRefreshInterval is how long after the last report an unchanged rate limit is reported as
	// new again, so that peers do not drop it.
	limitRefreshInterval = 2 * time.Second
	// minHold and maxHold bound how long a rate-limited server is skipped after it was denied a
	// request.
	minHold = 10 * time.Millisecond
	maxHold = 250 * time.Millisecond
)

// Server decides what may be sent to one start of a server, from what the server told this node and
// its peers. The zero value is a server that announced nothing.
type Server struct {
	draining bool
	// backoffUntil is the end of the backoff that the server requested from this node, and
	// peerBackoffUntil the end of the latest one it requested from another node.
	backoffUntil, peerBackoffUntil time.Time
	// isHalfOpen is set from a backoff until the server has answered a request again. probe is the
	// one request that is sent first, on its own.
	isHalfOpen bool
	probe      *Probe
	limit      RateLimit
	// limitReportedAt is when the rate limit was last reported as new.
	limitReportedAt time.Time
	// holds are in force after denied requests to a rate-limited or brittle server, by what was denied.
	holds [kindCount]hold
}

// Kind tells requests apart that a rate-limited server's coordinator grants in a different order.
type Kind int

const (
	// KindNew is a request that begins.
	KindNew Kind = iota
	// KindGoingOn is one that goes on with a stream, which is granted before new ones.
	KindGoingOn
	kindCount
)

// hold skips a server.
type hold struct {
	// until is when the server is no longer skipped, and nextGrantAt when a request may be granted again.
	until, nextGrantAt time.Time
}

// Probe is the request that shows whether a half-open server takes work again.
type Probe struct{ started time.Time }

// ReceiveHint applies a hint that the server sent to this node in a response. isNew is false if
// peers need not be told.
func (s *Server) ReceiveHint(now time.Time, hint inventory.Hint) (isNew bool) {
	if hint.Backoff > 0 {
		s.isHalfOpen, s.probe = true, nil
	}
	isNew = s.applyHint(now, hint, &s.backoffUntil)
	return s.observeLimit(Observation{Limit: hint.Limit, SentAt: hint.SentAt, ReceivedAt: now}) || isNew
}

// ReceivePeerHint applies a hint that the server sent to a peer. Draining holds for all nodes. A
// backoff was requested from that peer alone, and only indicates here that the server is in
// trouble.
func (s *Server) ReceivePeerHint(now time.Time, hint inventory.Hint) (isNew bool) {
	return s.applyHint(now, hint, &s.peerBackoffUntil)
}

// applyHint applies a hint. until is the end of the backoff that the hint may extend.
func (s *Server) applyHint(now time.Time, hint inventory.Hint, until *time.Time) (isNew bool) {
	isNew = hint.Draining && !s.draining || hint.Backoff > 0 && !now.Before(*until)
	s.draining = s.draining || hint.Draining
	if hint.Backoff > 0 {
		*until = later(*until, now.Add(hint.Backoff))
	}
	return isNew
}

// ReceivePeerLimit applies a peer's observation of the server's rate limit. The limit is shared by
// all nodes.
func (s *Server) ReceivePeerLimit(observation Observation) (isNew bool) {
	if !s.observeLimit(observation) {
		return false
	}
	if !observation.Limit.IsSet() {
		// A response that was in flight for a long time may look newer than it is. A single probe
		// request shows whether the limit has really ended.
		s.isHalfOpen, s.probe = true, nil
	}
	return true
}

// observeLimit applies what a response said about the rate limit. It is new if the limit changed,
// or if it was last reported long ago: peers drop a limit that nobody reports any more.
func (s *Server) observeLimit(observation Observation) (isNew bool) {
	if s.limit.Observe(observation) {
		s.holds = [kindCount]hold{}
		s.limitReportedAt = observation.ReceivedAt
		return true
	}
	if !observation.Limit.IsSet() || observation.ReceivedAt.Sub(s.limitReportedAt) <= limitRefreshInterval {
		return false
	}
	s.limitReportedAt = observation.ReceivedAt
	return true
}

// IsDraining reports whether the server told any node that it is shutting down.
func (s *Server) IsDraining() bool { return s != nil && s.draining }

// Backoff returns how much longer the server wants nothing from this node; 0 if it takes work.
func (s *Server) Backoff(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	return max(0, s.backoffUntil.Sub(now))
}

// HasPeerBackoff reports whether a backoff that the server requested from another node is in force.
func (s *Server) HasPeerBackoff(now time.Time) bool {
	return s != nil && now.Before(s.peerBackoffUntil)
}

// LongestBackoff returns the longest remaining backoff of any node, including this one.
func (s *Server) LongestBackoff(now time.Time) time.Duration {
	return max(s.Backoff(now), s.peerBackoffUntil.Sub(now))
}

// Limit returns the server's rate limit; the zero value if it never announced one.
func (s *Server) Limit() RateLimit {
	if s == nil {
		return RateLimit{}
	}
	return s.limit
}

// IsRateLimited reports whether a rate limit is in force.
func (s *Server) IsRateLimited() bool { return s != nil && s.limit.limit.IsSet() }

// Check decides whether a caller's request of the kind may be sent.
func (s *Server) Check(now time.Time, kind Kind) Decision {
	if s == nil {
		return Decision{}
	}
	return s.check(now, kind)
}

func (s *Server) check(now time.Time, kind Kind) Decision {
	held := s.holds[kind]
	switch {
	case s.draining:
		return Decision{Reason: DenyDraining}
	case now.Before(s.backoffUntil):
		return Decision{Reason: DenyBackoff, RetryAfter: s.backoffUntil.Sub(now)}
	case s.hasProbeInFlight(now):
		return Decision{Reason: DenyHalfOpen, RetryAfter: ProbeTimeout - now.Sub(s.probe.started)}
	case now.Before(held.until):
		return Decision{Reason: DenyRateLimit, RetryAfter: max(held.until.Sub(now), held.nextGrantAt.Sub(now))}
	default:
		return Decision{}
	}
}

// CheckInternalCall decides whether a call of the system itself may be sent. Draining servers still
// answer those.
func (s *Server) CheckInternalCall(now time.Time) Decision {
	if remaining := s.Backoff(now); remaining > 0 {
		return Decision{Reason: DenyBackoff, RetryAfter: remaining}
	}
	return Decision{}
}

// RecordDenial records that a request to a rate-limited or brittle server was denied and may be granted after
// retryAfter. Until then, within minHold and maxHold, the server is skipped: for all requests if it is
// brittle, else for those of the kind.
func (s *Server) RecordDenial(now time.Time, retryAfter time.Duration, kind Kind, isBrittle bool) {
	if s == nil || !s.IsRateLimited() && !isBrittle {
		return
	}
	denied := hold{until: now.Add(min(max(retryAfter, minHold), maxHold)), nextGrantAt: now.Add(retryAfter)}
	for held := range s.holds {
		if isBrittle || Kind(held) == kind {
			s.holds[held] = denied
		}
	}
}

// hasProbeInFlight reports whether a probe was sent that has neither been answered nor timed out.
func (s *Server) hasProbeInFlight(now time.Time) bool {
	return s.isHalfOpen && s.probe != nil && now.Sub(s.probe.started) < ProbeTimeout
}

// StartProbe makes a request the probe of a half-open server. It returns nil if the server is not
// half-open.
func (s *Server) StartProbe(now time.Time) *Probe {
	if s == nil || !s.isHalfOpen {
		return nil
	}
	s.probe = &Probe{started: now}
	return s.probe
}

// EndProbe records that the response to a probe began, or that the probe ended without one. A
// server that requested another backoff in that response stays half-open.
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
