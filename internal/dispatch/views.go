package dispatch

import "time"

// View is what the leader says of one server: what it holds, what it is
// loading, and the number of orders behind that.
type View struct {
	ServerID string
	// StartedAtMs is that of the start of the server that is meant; 0 where it is not told.
	StartedAtMs int64
	Sequence    int64
	// Held are the adapters of each model that may be sent to.
	Held map[string][]string
	// Loading are the times left until MODEL or MODEL/ADAPTER is there.
	Loading map[string]time.Duration
	// InMemory and OnDisk are models whose weights the server keeps beside those
	// held.
	InMemory []string
	OnDisk   []string
	// Digest is a number that two views have in common which say the same, but
	// for the times left.
	Digest uint64
}

// SetViews takes the view of servers of a leader's term.
func (c *Core) SetViews(now time.Time, term int64, views []View) {
	if term < c.term {
		return
	}
	c.startTerm(term)
	c.pruneEarly(now)
	for i := range views {
		known, ok := c.servers[views[i].ServerID]
		if !ok {
			c.early[views[i].ServerID] = earlyView{view: &views[i], at: now}
			continue
		}
		if known = c.startOf(known, &views[i]); known == nil {
			continue
		}
		if known.view != nil && known.viewTerm == term && known.view.Sequence > views[i].Sequence {
			continue
		}
		known.setView(now, term, &views[i])
		c.index.put(known)
	}
	c.notify()
}

// startOf is the server as the start that a view is of; nil where that start is over. The leader
// may hear of a new start from the server itself, before the store tells of it: what the one
// before held is forgotten then. A start that was born earlier, as the server's clock went back, is
// the present one where the store and the leader say so.
func (c *Core) startOf(known *server, view *View) *server {
	switch {
	case view.StartedAtMs == 0 || view.StartedAtMs == known.info.StartedAtMs:
		return known
	case known.rival != nil && known.rival.StartedAtMs == view.StartedAtMs:
		known.isTold = false
		c.put(*known.rival)
		return c.servers[known.info.ID]
	case view.StartedAtMs < known.info.StartedAtMs:
		return nil
	}
	again := known.info
	again.StartedAtMs, again.Models, again.ColdRemaining, again.ReportsCold = view.StartedAtMs, nil, 0, false
	c.put(again)
	c.servers[again.ID].isTold = true
	return c.servers[again.ID]
}

// SetLeader takes the word of a term's leader: whether its lease has lapsed, and
// when it may order.
func (c *Core) SetLeader(now time.Time, term int64, lapsed bool, orderIn time.Duration) {
	if term < c.term || lapsed {
		return
	}
	c.leaderSeen = now
	c.orderFrom = now.Add(orderIn)
}

const (
	// leaderAge is how long a leader's word is believed.
	leaderAge = 1500 * time.Millisecond
	// takeoverTime is taken until some node orders where no leader is heard.
	takeoverTime = 3 * time.Second
)

// OrdersIn is the time until somebody may order what is wanted.
func (c *Core) OrdersIn(now time.Time) time.Duration {
	if now.Sub(c.leaderSeen) > leaderAge {
		return takeoverTime
	}
	return max(0, c.orderFrom.Sub(now))
}

// ConfirmViews takes the leader's word that the views with the digest still
// hold. It returns false where this node has others.
func (c *Core) ConfirmViews(now time.Time, term int64, digest uint64) bool {
	if term < c.term {
		return true
	}
	c.pruneEarly(now)
	if c.digestOf(term) != digest {
		return false
	}
	for _, s := range c.servers {
		if s.viewTerm == term {
			s.viewSeen = now
			s.hasNewerEntry = false
		}
	}
	return true
}

func (c *Core) digestOf(term int64) uint64 {
	digest := uint64(0)
	for _, s := range c.servers {
		if s.view != nil && s.viewTerm == term {
			digest ^= s.view.Digest
		}
	}
	if term == c.term {
		for _, early := range c.early {
			digest ^= early.view.Digest
		}
	}
	return digest
}

// IsOldTerm reports whether views of a later term came.
func (c *Core) IsOldTerm(term int64) bool { return term < c.term }
