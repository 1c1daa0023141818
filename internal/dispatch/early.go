package dispatch

import "time"

// earlyView is the leader's view of a server that this node does not know yet: it watches
// the store, and others hear of servers from each other. Dropped, it would be missing when
// the server is known, and be asked for again and again until then.
type earlyView struct {
	view *View
	at   time.Time
}

// earlyKept is how long such a view is kept: by then the server is known, or its name was
// the last word of one that went.
const earlyKept = 5 * time.Second

// startTerm takes the term of a leader. Views of servers that are not known are of the
// term before.
func (c *Core) startTerm(term int64) {
	if term != c.term {
		clear(c.early)
	}
	c.term = term
}

// takeEarly uses the view that came ahead of the server.
func (c *Core) takeEarly(serverID string) {
	early, ok := c.early[serverID]
	if !ok {
		return
	}
	delete(c.early, serverID)
	if s := c.servers[serverID]; early.view.StartedAtMs == 0 || early.view.StartedAtMs == s.info.StartedAtMs {
		s.setView(early.at, c.term, early.view)
		c.index.put(s)
	}
}

func (c *Core) pruneEarly(now time.Time) {
	for id, early := range c.early {
		if now.Sub(early.at) > earlyKept {
			delete(c.early, id)
		}
	}
}

// setView puts the leader's view in force, which came at the time at.
func (s *server) setView(at time.Time, term int64, view *View) {
	s.view = view
	s.hasNewerEntry = false
	s.viewAt = at
	s.viewSeen = at
	s.viewTerm = term
}
