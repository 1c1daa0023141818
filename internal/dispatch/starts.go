package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// startState is the admission state of one start of a server. It outlives the server's entry, since
// an outdated list may bring the entry back.
type startState struct {
	start          inventory.Start
	admissionState admission.Server
	lastHeardAt    time.Time
}

const (
	// startStateTTL is how long the state of a start is kept without an entry: a draining server
	// continues to serve for seconds, and a store that was down for minutes may bring its entry
	// back.
	startStateTTL = 10 * time.Minute
	// maxStarts bounds the starts without an entry that are kept. Not even twice the servers that a
	// node is designed for could leave within startStateTTL.
	maxStarts = 4096
	// peerBackoffCost is added to the cost of a server that asked another node for a backoff: it
	// usually rejects requests, so all other servers are preferred.
	peerBackoffCost = time.Second
)

// ReceiveHint applies a hint in a response of one start of a server; other starts are not affected.
// changed is false if there is nothing to pass on to peers.
func (c *Core) ReceiveHint(now time.Time, start inventory.Start, hint inventory.Hint) (changed bool) {
	if hint.IsEmpty() && !c.everRateLimited(start) {
		return false
	}
	return c.notifyIfChanged(c.stateOf(now, start).admissionState.ReceiveHint(now, hint))
}

// ReceivePeerHint applies a hint that a peer received from one start of a server.
func (c *Core) ReceivePeerHint(now time.Time, start inventory.Start, hint inventory.Hint) (changed bool) {
	if hint.IsEmpty() {
		return false
	}
	return c.notifyIfChanged(c.stateOf(now, start).admissionState.ReceivePeerHint(now, hint))
}

// ReceivePeerLimit applies a rate limit that a peer received from one start of a server.
func (c *Core) ReceivePeerLimit(now time.Time, start inventory.Start, limit admission.Observation) (changed bool) {
	if !limit.Limit.IsSet() && !c.everRateLimited(start) {
		return false
	}
	return c.notifyIfChanged(c.stateOf(now, start).admissionState.ReceivePeerLimit(limit))
}

// notifyIfChanged wakes waiting requests if something changed.
func (c *Core) notifyIfChanged(changed bool) bool {
	if changed {
		c.notify()
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// stateOf returns the state of a start, and creates it if needed.
func (c *Core) stateOf(now time.Time, start inventory.Start) *startState {
	state, ok := c.starts[start]
	if !ok {
		c.pruneStarts(now)
		state = &startState{start: start}
		c.starts[start] = state
		if known, isListed := c.servers[start.ID]; isListed && known.info.Start() == start {
			known.admissionState = &state.admissionState
		}
	}
	state.lastHeardAt = now
	return state
}

// admissionOf returns the admission state of a start; nil if the start never sent a hint.
func (c *Core) admissionOf(start inventory.Start) *admission.Server {
	if state, ok := c.starts[start]; ok {
		return &state.admissionState
	}
	return nil
}

// isListed reports whether there is an entry of the start.
func (c *Core) isListed(start inventory.Start) bool {
	known, ok := c.servers[start.ID]
	return ok && known.info.Start() == start
}

// pruneStarts makes room for one more start without an entry.
func (c *Core) pruneStarts(now time.Time) {
	var unlisted []*startState
	for start, state := range c.starts {
		if c.isListed(start) {
			continue
		}
		if now.Sub(state.lastHeardAt) > startStateTTL {
			delete(c.starts, start)
			continue
		}
		unlisted = append(unlisted, state)
	}
	if len(unlisted) < maxStarts {
		return
	}
	oldest := slices.MinFunc(unlisted, func(a, b *startState) int {
		return cmp.Or(a.lastHeardAt.Compare(b.lastHeardAt), cmp.Compare(a.start.ID, b.start.ID))
	})
	delete(c.starts, oldest.start)
}

// MayCall reports whether an internal call may be sent to the start of a server now.
func (c *Core) MayCall(now time.Time, start inventory.Start) bool {
	return c.admissionOf(start).CheckInternalCall(now).Admits()
}

// EndedUnexpectedly reports whether the server of an attempt, which has ended, ended without
// notice: this start of it was neither draining nor evacuated.
func (c *Core) EndedUnexpectedly(attempt *Attempt) bool {
	known, ok := c.servers[attempt.start.ID]
	return ok && !attempt.server.isDraining() && !known.isZoneEvacuated
}

// Start returns the start of the server to which the request was sent.
func (a *Attempt) Start() inventory.Start { return a.start }

// Age returns the time since the request was sent to its server.
func (a *Attempt) Age(now time.Time) time.Duration { return now.Sub(a.started) }

// BackoffEndsIn returns the time until a server that meets the requirements and is backing off
// takes requests again. elsewhere reports whether another available server could load the model
// meanwhile. ok is false if no such server is backing off.
func (c *Core) BackoffEndsIn(now time.Time, requirements Requirements) (left time.Duration, elsewhere, ok bool) {
	for _, s := range c.serversFor(requirements.Service, requirements.Model) {
		backoff := s.admissionState.Backoff(now)
		if backoff == 0 || !c.mayServe(now, s, requirements) || !s.hasModelOrBase(now, requirements) {
			continue
		}
		if !ok || backoff < left {
			left, ok = backoff, true
		}
	}
	if !ok {
		return 0, false, false
	}
	elsewhere = slices.ContainsFunc(c.byService[requirements.Service], func(s *server) bool {
		return c.mayServe(now, s, requirements) && s.admissionState.Backoff(now) == 0
	})
	return left, elsewhere, true
}

// hasModelOrBase reports whether the server meets the requirements, or holds the base model of the
// required adapter.
func (s *server) hasModelOrBase(now time.Time, requirements Requirements) bool {
	return s.canServe(now, requirements) || requirements.Adapter != "" && s.hasModel(now, requirements.Model, "")
}

// minUnavailableBackoff is the backoff from which a server counts as unavailable for model
// placement: a shorter one ends before a copy can be loaded elsewhere, from the disk or memory of
// another server.
const minUnavailableBackoff = time.Second

// UnavailableStarts returns the starts of servers whose models are better loaded elsewhere: they
// are draining, have a long backoff for this node or others, or a low rate limit.
func (c *Core) UnavailableStarts(now time.Time) []inventory.Start {
	var unavailable []inventory.Start
	for start, state := range c.starts {
		if state.admissionState.IsDraining() || state.admissionState.LongestBackoff(now) >= minUnavailableBackoff || c.hasLowRateLimit(now, state) {
			unavailable = append(unavailable, start)
		}
	}
	return unavailable
}
