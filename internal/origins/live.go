package origins

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// liveRetention is how long a start is remembered after it was last seen alive. Longer than that it would
// serve only connections that are older.
const liveRetention = 10 * time.Minute

// LiveStarts remembers, for each server, a time through which one start of it was alive. A connection ends
// at one process, so one report settles which start answers on every connection that was open by then.
// It is safe for concurrent use.
type LiveStarts struct {
	mu    sync.Mutex
	known map[string]liveStart
}

// liveStart is a start that was alive from the one time to the other.
type liveStart struct {
	startedAtMs int64
	from, until time.Time
}

// NewLiveStarts returns a LiveStarts that has seen no server.
func NewLiveStarts() *LiveStarts { return &LiveStarts{known: make(map[string]liveStart)} }

// Record remembers that the start was alive from the one time to the other. What was seen of another
// start of the server is dropped, unless that was seen later.
func (l *LiveStarts) Record(server inventory.Start, from, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.known[server.ID]
	switch {
	case !ok || known.startedAtMs != server.StartedAtMs && !until.Before(known.until):
		l.known[server.ID] = liveStart{startedAtMs: server.StartedAtMs, from: from, until: until}
	case known.startedAtMs == server.StartedAtMs:
		l.known[server.ID] = liveStart{startedAtMs: server.StartedAtMs, from: earlier(known.from, from), until: later(known.until, until)}
	}
}

// Answers reports whether it is certain that the start is the one which answers on a connection: one that
// was opened at openedAt, and whose request of sentAt was answered.
func (l *LiveStarts) Answers(server inventory.Start, openedAt, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.known[server.ID]
	return ok && known.startedAtMs == server.StartedAtMs && !openedAt.After(known.until) && !sentAt.Before(known.from)
}

// AliveAt returns the last time at which the start was seen alive; zero if it was not, or another start
// was seen since.
func (l *LiveStarts) AliveAt(server inventory.Start) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.known[server.ID]; ok && known.startedAtMs == server.StartedAtMs {
		return known.until
	}
	return time.Time{}
}

// Sweep drops starts that were not seen for long.
func (l *LiveStarts) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, known := range l.known {
		if now.Sub(known.until) > liveRetention {
			delete(l.known, id)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
