package origins

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// Starts knows when the current starts of servers became known here, and so tells whether an origin is
// certain: a server may have started again under its ID, at another software version, shortly before
// this was known, and an origin that was recorded then may name the version of the start before. It is
// not safe for concurrent use.
type Starts struct {
	settleTime time.Duration
	known      map[string]knownStart
}

type knownStart struct {
	startedAtMs     int64
	softwareVersion string
	knownAt         time.Time
	// isFirst is set if no earlier start of the server was known here, so that the start may be older
	// than knownAt.
	isFirst bool
	// goneAt is when the server's entry was removed; zero while it has one.
	goneAt time.Time
}

// NewStarts returns a Starts that knows no server. settleTime is how long it takes at most until a
// start is known.
func NewStarts(settleTime time.Duration) *Starts {
	return &Starts{settleTime: settleTime, known: make(map[string]knownStart)}
}

// Observe records that a server's entry names the start and software version.
func (s *Starts) Observe(now time.Time, server inventory.Start, softwareVersion string) {
	known, ok := s.known[server.ID]
	if !ok || known.startedAtMs != server.StartedAtMs {
		known = knownStart{startedAtMs: server.StartedAtMs, knownAt: now, isFirst: !ok}
	}
	known.softwareVersion, known.goneAt = softwareVersion, time.Time{}
	s.known[server.ID] = known
}

// ObserveGone records that a server's entry was removed.
func (s *Starts) ObserveGone(now time.Time, serverID string) {
	if known, ok := s.known[serverID]; ok {
		known.goneAt = now
		s.known[serverID] = known
	}
}

// Sweep drops servers that have been gone for as long as any origin is kept.
func (s *Starts) Sweep(now time.Time) {
	for id, known := range s.known {
		if !known.goneAt.IsZero() && now.Sub(known.goneAt) > MaxLifetime {
			delete(s.known, id)
		}
	}
}

// Review returns the entry, without its software version if another start of its server may have
// written the first events.
func (s *Starts) Review(entry Entry) Entry {
	current, ok := s.known[entry.Server.ID]
	switch {
	case !ok || entry.Server.ID == "" || entry.IsCertain:
	case current.startedAtMs == entry.Server.StartedAtMs || current.softwareVersion == entry.Origin.SoftwareVersion:
	case current.isFirst || entry.RecordedAt.After(current.knownAt.Add(-s.settleTime)):
		entry.Origin.SoftwareVersion = ""
	}
	return entry
}
