package dispatch

import "time"

// View is the leader's view of one server: the models it holds and is loading, and the sequence
// number of the orders behind that.
type View struct {
	ServerID string
	// StartedAtMs identifies the start of the server that the view is about; 0 if unknown.
	StartedAtMs int64
	Sequence    int64
	// Datagram numbers the leader's datagrams in its term; 0 for views that did not come in one. What a server
	// holds also changes without an order.
	Datagram uint64
	// Held are the adapters that may be used, by model.
	Held map[string][]string
	// Loading are the remaining load times, by MODEL or MODEL/ADAPTER.
	Loading map[string]time.Duration
	// InMemory and OnDisk are the models whose weights the server keeps besides those that it
	// holds.
	InMemory []string
	OnDisk   []string
	// Digest is equal for views that differ in nothing but the remaining load times.
	Digest uint64
}

// isNewerThan reports whether the view was published after another one of the same server and term.
func (v *View) isNewerThan(other *View) bool {
	if v.Datagram != 0 && other.Datagram != 0 {
		return v.Datagram > other.Datagram
	}
	return v.Sequence >= other.Sequence
}

// SetViews applies views of servers from the leader of a term.
func (c *Core) SetViews(now time.Time, term int64, views []View) {
	if term < c.term {
		return
	}
	c.setTerm(term)
	c.prunePendingViews(now)
	for i := range views {
		known, ok := c.servers[views[i].ServerID]
		if !ok {
			if pending, isPending := c.pendingViews[views[i].ServerID]; !isPending || views[i].isNewerThan(pending.view) {
				c.pendingViews[views[i].ServerID] = pendingView{view: &views[i], at: now}
			}
			continue
		}
		if known = c.serverForStart(known, &views[i]); known == nil {
			continue
		}
		if known.view != nil && known.viewTerm == term && !views[i].isNewerThan(known.view) {
			continue
		}
		known.setView(now, term, &views[i])
		c.index.put(known)
	}
	c.notify()
}

// Views calls yield with the latest view of each server and when it arrived, until yield returns false.
// Views of servers without an entry are included for a while.
func (c *Core) Views(yield func(view View, receivedAt time.Time) bool) {
	for _, s := range c.servers {
		if s.view != nil && !yield(*s.view, s.viewAt) {
			return
		}
	}
	for _, pending := range c.pendingViews {
		if !yield(*pending.view, pending.at) {
			return
		}
	}
}

// serverForStart returns the server for the start that a view is about; nil if that start is over.
// The leader may learn of a new start from the server itself before the store has its entry; the
// models of the previous start are then discarded. If the server's clock went back, its new start
// has an earlier start time; it is accepted if both the store and the leader name it.
func (c *Core) serverForStart(known *server, view *View) *server {
	switch {
	case view.StartedAtMs == 0 || view.StartedAtMs == known.info.StartedAtMs:
		return known
	case known.conflictingEntry != nil && known.conflictingEntry.StartedAtMs == view.StartedAtMs:
		known.isFromViewOnly = false
		c.putEntry(*known.conflictingEntry)
		return c.servers[known.info.ID]
	case view.StartedAtMs < known.info.StartedAtMs:
		return nil
	}
	restarted := known.info
	restarted.StartedAtMs, restarted.Models, restarted.ColdRemaining, restarted.ReportsCold = view.StartedAtMs, nil, 0, false
	restarted.SoftwareVersion = ""
	c.putEntry(restarted)
	c.servers[restarted.ID].isFromViewOnly = true
	return c.servers[restarted.ID]
}

// SetLeader applies the status of a term's leader: whether its lease has lapsed, and when it may
// issue orders.
func (c *Core) SetLeader(now time.Time, term int64, lapsed bool, ordersIn time.Duration) {
	if term < c.term || lapsed {
		return
	}
	c.leaderSeenAt = now
	c.ordersFrom = now.Add(ordersIn)
}

const (
	// leaderMaxAge is how long a leader's status is used.
	leaderMaxAge = 1500 * time.Millisecond
	// takeoverTime is the assumed time until some node issues orders, if no leader is heard.
	takeoverTime = 3 * time.Second
)

// OrdersIn returns the time until a leader may issue orders.
func (c *Core) OrdersIn(now time.Time) time.Duration {
	if now.Sub(c.leaderSeenAt) > leaderMaxAge {
		return takeoverTime
	}
	return max(0, c.ordersFrom.Sub(now))
}

// ConfirmViews applies the leader's confirmation of the views with this digest. It returns false if
// this node has different views.
func (c *Core) ConfirmViews(now time.Time, term int64, digest uint64) bool {
	if term < c.term {
		return true
	}
	c.prunePendingViews(now)
	if c.viewsDigest(term) != digest {
		return false
	}
	for _, s := range c.servers {
		if s.viewTerm == term {
			s.viewConfirmedAt = now
			s.hasNewerEntry = false
		}
	}
	return true
}

func (c *Core) viewsDigest(term int64) uint64 {
	digest := uint64(0)
	for _, s := range c.servers {
		if s.view != nil && s.viewTerm == term {
			digest ^= s.view.Digest
		}
	}
	if term == c.term {
		for _, pending := range c.pendingViews {
			digest ^= pending.view.Digest
		}
	}
	return digest
}

// IsOldTerm reports whether views of a later term have arrived.
func (c *Core) IsOldTerm(term int64) bool { return term < c.term }
