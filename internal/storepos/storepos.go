// Package storepos defines positions in the object store's history of changes and their order.
//
// The store numbers its changes by a revision. It may be restored from a backup that is some
// seconds old: then revisions go back and are assigned again, and the store's era rises by one.
// Revisions of different eras are not comparable, so positions are compared only by Compare and
// the methods based on it. Every package that reads from or writes to the store uses them.
//
// It may import the standard library only.
package storepos

import (
	"cmp"
	"fmt"
	"time"
)

// RestoreRewriteTime is how long after a restore from a backup the store's answers may lack what the
// operator and servers had written: they write it again, and the entries of ended servers expire.
const RestoreRewriteTime = 6 * time.Second

const (
	// EarliestEra is the era of a store that numbers its eras from zero and was never restored.
	EarliestEra = 1
	// FirstEra is the era of a store that numbers its eras from one and was never restored.
	FirstEra = 2
)

// EraFromStore converts the era that the store reports: it adds one, as 0 stands for an unknown era.
func EraFromStore(reportedEra int64) int64 { return reportedEra + 1 }

// Position is a position in the store's history of changes. The zero value is before all others.
type Position struct {
	// Era counts how often the store was restored from a backup; 0 if the store does not report it.
	Era int64
	// Revision counts the changes within the era.
	Revision int64
}

// At returns the position of a revision in an era.
func At(era, revision int64) Position { return Position{Era: era, Revision: revision} }

// Compare returns -1, 0 or 1 if p is before, equal to or after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsBefore reports whether p is before other.
func (p Position) IsBefore(other Position) bool { return p.Compare(other) < 0 }

// IsAfter reports whether p is after other.
func (p Position) IsAfter(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether the position is unknown.
func (p Position) IsZero() bool { return p == Position{} }

// WithDefaultEra returns the position with era filled in if its own is unknown, as it is from a
// peer of an older version that does not know eras.
func (p Position) WithDefaultEra(era int64) Position {
	if p.Era == 0 {
		p.Era = era
	}
	return p
}

// String returns ERA/REVISION.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if b.IsAfter(a) {
		return b
	}
	return a
}
