package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// startState is what bounds the sends to one start of a server. It outlasts the server's entry: an
// old list may bring that back.
type startState struct {
	start   inventory.Start
	bounds  admission.Server
	heardAt time.Time
}

const (
	// startsKept is how long the state of a start is kept without an entry: a server that drains
	// serves on for seconds, and a store that was away for minutes may bring its entry back.
	startsKept = 10 * time.Minute
	// maxStarts bounds the starts without an entry that are kept. Twice as many servers as a node
	// is planned to know could not leave within startsKept.
	maxStarts = 4096
	// peerBackoffCost is added for a server that asked another node to leave it alone: it turns away
	// what comes, as a rule, and so goes after all that do not.
	peerBackoffCost = time.Second
)

// ReceiveHint takes what one start of a server told this node with an answer; it changes nothing for
// another start. News is false where that is nothing to be passed on.
func (c *Core) ReceiveHint(now time.Time, start inventory.Start, hint inventory.Hint) (news bool) {
	if hint.IsEmpty() && !c.namedLimit(start) {
		return false
	}
	return c.noteNews(c.stateOf(now, start).bounds.ReceiveHint(now, hint))
}

// ReceivePeerHint takes what a peer says that one start of a server told it.
func (c *Core) ReceivePeerHint(now time.Time, start inventory.Start, hint inventory.Hint) (news bool) {
	if hint.IsEmpty() {
		return false
	}
	return c.noteNews(c.stateOf(now, start).bounds.ReceivePeerHint(now, hint))
}

// ReceivePeerLimit takes what a peer says that one start of a server told it of its rate limit.
func (c *Core) ReceivePeerLimit(now time.Time, start inventory.Start, limit admission.Observation) (news bool) {
	if !limit.Limit.IsSet() && !c.namedLimit(start) {
		return false
	}
	return c.noteNews(c.stateOf(now, start).bounds.ReceivePeerLimit(limit))
}

// noteNews lets what waits ask again where something is news.
func (c *Core) noteNews(news bool) bool {
	if news {
		c.notify()
	}
	return news
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// stateOf is the state of a start, which is kept from now on.
func (c *Core) stateOf(now time.Time, start inventory.Start) *startState {
	state, ok := c.starts[start]
	if !ok {
		c.pruneStarts(now)
		state = &startState{start: start}
		c.starts[start] = state
		if known, isListed := c.servers[start.ID]; isListed && known.info.Start() == start {
			known.bounds = &state.bounds
		}
	}
	state.heardAt = now
	return state
}

// boundsOf are the bounds of a start; nil where it told nothing.
func (c *Core) boundsOf(start inventory.Start) *admission.Server {
	if state, ok := c.starts[start]; ok {
		return &state.bounds
	}
	return nil
}

// isListed reports whether an entry of the start stands.
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
		if now.Sub(state.heardAt) > startsKept {
			delete(c.starts, start)
			continue
		}
		unlisted = append(unlisted, state)
	}
	if len(unlisted) < maxStarts {
		return
	}
	oldest := slices.MinFunc(unlisted, func(a, b *startState) int {
		return cmp.Or(a.heardAt.Compare(b.heardAt), cmp.Compare(a.start.ID, b.start.ID))
	})
	delete(c.starts, oldest.start)
}

// MayCall reports whether a call of the system itself may go to the start of a server now.
func (c *Core) MayCall(now time.Time, start inventory.Start) bool {
	return c.boundsOf(start).CheckInternalCall(now).Admits()
}

// EndedUnexpectedly reports whether nobody had said that the server of a flight would end, which
// has ended: that start of it was to take work.
func (c *Core) EndedUnexpectedly(flight *Attempt) bool {
	known, ok := c.servers[flight.start.ID]
	return ok && !flight.server.isGoing() && !known.closed
}

// Start is the start of the server that the request was sent to.
func (f *Attempt) Start() inventory.Start { return f.start }

// Age is the time since the request was sent to its server.
func (f *Attempt) Age(now time.Time) time.Duration { return now.Sub(f.started) }

// BackoffEndsIn tells when requests for what is wanted may go to a server again that wants nothing for
// now, and whether another one, which takes work, might load it meanwhile; ok is false where none
// backs off.
func (c *Core) BackoffEndsIn(now time.Time, wanted Requirements) (left time.Duration, elsewhere, ok bool) {
	for _, s := range c.listed(wanted.Service, wanted.Model) {
		backoff := s.bounds.Backoff(now)
		if backoff == 0 || s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions) || !s.bears(now, wanted) {
			continue
		}
		if !ok || backoff < left {
			left, ok = backoff, true
		}
	}
	if !ok {
		return 0, false, false
	}
	elsewhere = slices.ContainsFunc(c.byService[wanted.Service], func(s *server) bool {
		return s.takesWork() && c.isIn(s, wanted.Regions) && s.bounds.Backoff(now) == 0
	})
	return left, elsewhere, true
}

// bears reports whether the server has what is wanted, or the model that a wanted adapter is of.
func (s *server) bears(now time.Time, wanted Requirements) bool {
	return s.offers(now, wanted) || wanted.Adapter != "" && s.has(now, wanted.Model, "")
}

// leastAway is the backoff from which on a server counts as away for those who place models: less
// than that is over before a copy is loaded elsewhere, from another server's disk or memory.
const leastAway = time.Second

// UnavailableStarts are the starts of servers that said that they drain, that want nothing from this node or
// others for so long, or take so little, that what they hold is better loaded elsewhere.
func (c *Core) UnavailableStarts(now time.Time) []inventory.Start {
	var away []inventory.Start
	for start, state := range c.starts {
		if state.bounds.IsDraining() || state.bounds.LongestBackoff(now) >= leastAway || c.isShortOfRate(now, state) {
			away = append(away, start)
		}
	}
	return away
}
