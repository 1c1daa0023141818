package dispatch

import "time"

// pendingView is the leader's view of a server that has no entry here yet. The leader watches the
// store, while other nodes learn of servers from each other. If such a view were dropped, it would
// be missing once the entry arrives, and be requested again and again until then.
type pendingView struct {
	view *View
	at   time.Time
}

// pendingViewTTL is how long a view without an entry is kept: by then the entry has arrived, or the
// view was the last one of a server that is gone.
const pendingViewTTL = 5 * time.Second

// setTerm sets the leader's term. A new term discards the pending views of the previous one.
func (c *Core) setTerm(term int64) {
	if term != c.term {
		clear(c.pendingViews)
	}
	c.term = term
}

// applyPendingView applies the view that arrived before the server's entry.
func (c *Core) applyPendingView(serverID string) {
	pending, ok := c.pendingViews[serverID]
	if !ok {
		return
	}
	delete(c.pendingViews, serverID)
	if s := c.servers[serverID]; pending.view.StartedAtMs == 0 || pending.view.StartedAtMs == s.info.StartedAtMs {
		s.setView(pending.at, c.term, pending.view)
		c.index.put(s)
	}
}

func (c *Core) prunePendingViews(now time.Time) {
	for id, pending := range c.pendingViews {
		if now.Sub(pending.at) > pendingViewTTL {
			delete(c.pendingViews, id)
		}
	}
}

// setView sets the leader's view, which arrived at the time at.
func (s *server) setView(at time.Time, term int64, view *View) {
	s.view = view
	s.hasNewerEntry = false
	s.viewAt = at
	s.viewConfirmedAt = at
	s.viewTerm = term
}
