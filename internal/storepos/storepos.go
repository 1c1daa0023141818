// Package storepos gives what the object store tells a place in one order.
//
// The store counts its changes by a revision. It may come back from a copy that is some seconds
// old: then revisions go back and are given out again, and its era rises by one. Revisions of two
// eras say nothing of each other, so places are compared by Compare and the methods behind it alone.
//
// It may import the standard library only.
package storepos

import (
	"cmp"
	"fmt"
	"time"
)

// RestoreRewriteTime is how long after the store came back from a copy its answers may lack what the
// operator and servers had written: they write it again, and the entries of servers that ended lapse.
const RestoreRewriteTime = 6 * time.Second

// FirstEra is the era of a store that counts from one and never came back from a copy.
const FirstEra = 2

// EraFromStore is the era of a store that names the number: one more, as 0 is one that is not told.
func EraFromStore(named int64) int64 { return named + 1 }

// Position is a place in the order of the store's changes. The zero value is before all others.
type Position struct {
	// Era counts how often the store came back from a copy; 0 where the store does not tell it.
	Era int64
	// Revision counts the changes within the era.
	Revision int64
}

// At is the position of a revision in an era.
func At(era, revision int64) Position { return Position{Era: era, Revision: revision} }

// Compare returns -1, 0 or 1 as p comes before other, is the same, or comes after it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsBefore reports whether p comes before other.
func (p Position) IsBefore(other Position) bool { return p.Compare(other) < 0 }

// IsAfter reports whether p comes after other.
func (p Position) IsAfter(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether nothing was told.
func (p Position) IsZero() bool { return p == Position{} }

// WithDefaultEra is the position with the era in place of one that is not told, as by a peer of a build that
// knows no eras.
func (p Position) WithDefaultEra(era int64) Position {
	if p.Era == 0 {
		p.Era = era
	}
	return p
}

// String is ERA/REVISION.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if b.IsAfter(a) {
		return b
	}
	return a
}
