package inventory

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// drainRetention is how long after the store was restored from a copy an entry from that copy, in
// which a server takes work, does not override the server's report that it is draining. An announced
// end is overridden once the store was written again.
const drainRetention = 30 * time.Second

// eraState is what a table keeps across a change of the store's era.
type eraState struct {
	// startedAt is when the era of the table's position became known here; zero if there was no
	// earlier era.
	startedAt time.Time
	// firstSeenAt is when that era was first reported to the table.
	firstSeenAt time.Time
	// elapsedDeadlines counts the deadlines that ReloadDue has reported.
	elapsedDeadlines int
	// prior is what is known from before the era.
	prior priorState
}

// advance moves the table to a later position, and returns the position up to which it was complete
// before.
func (t *Table) advance(now time.Time, position storepos.Position) (previous storepos.Position) {
	previous = t.position
	if position.Era != previous.Era {
		t.eraState.firstSeenAt = now
		t.enterEra(previous)
	}
	if position.Era != previous.Era && !previous.IsZero() {
		t.BeginEra(now)
	}
	t.position = position
	return previous
}

// BeginEra records that the era of the table's position began at that time.
func (t *Table) BeginEra(at time.Time) { t.eraState.startedAt, t.eraState.elapsedDeadlines = at, 0 }

// EraAge returns how long the era of the table's position has been known; ok is false if there was
// no earlier era.
func (t *Table) EraAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(t.eraState.startedAt), !t.eraState.startedAt.IsZero()
}

// ReloadDue reports, once for each deadline, that a time has passed during which entries of an
// earlier era were kept. The list must then be read again.
func (t *Table) ReloadDue(now time.Time) bool {
	t.forgetListed(now)
	deadlines := [...]time.Duration{storepos.RestoreRewriteTime, drainRetention}
	if t.eraState.startedAt.IsZero() || t.eraState.elapsedDeadlines == len(deadlines) || now.Sub(t.eraState.startedAt) < deadlines[t.eraState.elapsedDeadlines] {
		return false
	}
	t.eraState.elapsedDeadlines++
	return true
}

// rebase moves the table back to the era that the store itself reports, after a later era was
// reported wrongly.
func (t *Table) rebase(era int64) {
	t.position = storepos.At(era, 0)
	t.enterEra(storepos.Position{})
	for id, server := range t.servers {
		if server.Position.Era > era {
			server.Position = t.position
			t.servers[id] = server
		}
	}
	t.eraState.startedAt = time.Time{}
}

// isEraYoungerThan reports whether the era began less than limit ago and another came before it.
func (t *Table) isEraYoungerThan(now time.Time, limit time.Duration) bool {
	return !t.eraState.startedAt.IsZero() && now.Sub(t.eraState.startedAt) < limit
}

// awaitsRewrite reports whether the server may be missing from the store's list only because the
// copy was made before its entry was written.
func (t *Table) awaitsRewrite(now time.Time, server Server) bool {
	return server.Position.Era < t.position.Era && !t.isListed(server.ID) && t.isEraYoungerThan(now, storepos.RestoreRewriteTime)
}

// EarlierEraCount returns the number of servers whose kept entry is of an earlier era.
func (t *Table) EarlierEraCount(now time.Time) int {
	count := 0
	for _, server := range t.servers {
		if server.Position.Era < t.position.Era && t.isEraYoungerThan(now, drainRetention) {
			count++
		}
	}
	return count
}

// reconcile places an entry of the store's list in the order of what is known. An entry that may
// come from the restored copy was written before the era began, and what is known from that time
// may be newer. ok is false if the entry must not be used because it would bring back a server that
// was draining, or one that had ended before the position up to which the table was complete.
func (t *Table) reconcile(now time.Time, server Server, previous storepos.Position) (reconciled Server, ok bool) {
	known, has := t.servers[server.ID]
	isPreviousEra := previous.Era == server.Position.Era
	if t.isWrittenInEra(server) || has && known.Position.Era == server.Position.Era || isPreviousEra && server.Position.IsAfter(previous) {
		return server, true
	}
	if has && (server.Draining && !known.Draining || server.Start().IsLaterThan(known.Start())) {
		// Restoring an older copy cannot cause these changes, so the server may have written them
		// since.
		return server, true
	}
	switch {
	case t.isEraYoungerThan(now, storepos.RestoreRewriteTime):
		if has {
			server.Position.Era = known.Position.Era
			return server, true
		}
		server.Position.Era = previous.Era
		return server, server.Position.IsAfter(previous)
	case has && known.Draining && !known.Ended && !server.Draining && t.isEraYoungerThan(now, drainRetention):
		return server, false
	default:
		return server, true
	}
}
