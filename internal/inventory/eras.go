package inventory

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// leavingTime is how long after the store came back from a copy an entry of it, in which a server
// takes work, does not end what the server said of its leaving.
const leavingTime = 30 * time.Second

// eras is what a table keeps over a change of the store's era.
type eras struct {
	// since is when the era of the table's position began to be known here; zero where no
	// other came before.
	since time.Time
	// entered is when it was first heard of.
	entered time.Time
	// settled counts the times in Settles that are over.
	settled int
}

// enter moves the table to a later position, and returns the one that it was complete to.
func (t *Table) enter(now time.Time, at storepos.Position) (complete storepos.Position) {
	complete = t.position
	if at.Era != complete.Era {
		t.eras.entered = now
	}
	if at.Era != complete.Era && !complete.IsZero() {
		t.BeginEra(now)
	}
	t.position = at
	return complete
}

// BeginEra takes that the era of the table's position began at that time.
func (t *Table) BeginEra(at time.Time) { t.eras.since, t.eras.settled = at, 0 }

// EraAge is how long the era of the table's position has been known; ok is false where no other
// came before.
func (t *Table) EraAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(t.eras.since), !t.eras.since.IsZero()
}

// ReloadDue reports, once each, that a time is over in which entries of an earlier era were kept:
// the list is to be read anew.
func (t *Table) ReloadDue(now time.Time) bool {
	times := [...]time.Duration{storepos.RestoreRewriteTime, leavingTime}
	if t.eras.since.IsZero() || t.eras.settled == len(times) || now.Sub(t.eras.since) < times[t.eras.settled] {
		return false
	}
	t.eras.settled++
	return true
}

// rebase takes the table back to the era that the store itself names: a later one was told wrongly.
func (t *Table) rebase(era int64) {
	t.position = storepos.At(era, 0)
	for id, server := range t.servers {
		if server.Position.Era > era {
			server.Position = t.position
			t.servers[id] = server
		}
	}
	t.eras.since = time.Time{}
}

func (t *Table) isWithin(now time.Time, limit time.Duration) bool {
	return !t.eras.since.IsZero() && now.Sub(t.eras.since) < limit
}

// awaitsRewrite reports whether the server may be missing in the store's list only because the
// copy was made before its entry.
func (t *Table) awaitsRewrite(now time.Time, server Server) bool {
	return server.Position.Era < t.position.Era && t.isWithin(now, storepos.RestoreRewriteTime)
}

// EarlierEraCount counts the servers of which an entry of an earlier era is kept.
func (t *Table) EarlierEraCount(now time.Time) int {
	count := 0
	for _, server := range t.servers {
		if server.Position.Era < t.position.Era && t.isWithin(now, leavingTime) {
			count++
		}
	}
	return count
}

// place gives an entry of the store's list its place in the order of what is known. One that may
// be of the copy was written before the era, and what is known from then may be newer. ok is false
// where it must not be used, as it brings back a server that left, or that had ended up to the
// position that the table was complete to.
func (t *Table) place(now time.Time, server Server, complete storepos.Position) (placed Server, ok bool) {
	known, has := t.servers[server.ID]
	isOfEra := complete.Era == server.Position.Era
	if has && known.Position.Era == server.Position.Era || isOfEra && server.Position.IsAfter(complete) {
		return server, true
	}
	if has && (server.Draining && !known.Draining || server.Start().IsLaterThan(known.Start())) {
		// No copy takes these back, so the server may have written them since.
		return server, true
	}
	switch {
	case t.isWithin(now, storepos.RestoreRewriteTime):
		if has {
			server.Position.Era = known.Position.Era
			return server, true
		}
		server.Position.Era = complete.Era
		return server, server.Position.IsAfter(complete)
	case has && known.Draining && !server.Draining && t.isWithin(now, leavingTime):
		return server, false
	default:
		return server, true
	}
}
