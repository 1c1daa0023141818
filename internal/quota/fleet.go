package quota

import "time"

const (
	// shrinkAfter is how long a node that hears from most of the fleet takes it to be
	// as large as it was: who is silent may be cut off, and give quotas too. Until
	// then a fleet that lost nodes for good gives the part that is left.
	shrinkAfter = 10 * time.Minute
	// rememberFor is the same for a node that hears from half of it or less: as long
	// as regions lose each other at times.
	rememberFor = time.Hour
)

// FleetSize is the size of the fleet, as one node can tell it. A node that loses sight of
// others does not take what is left for the whole fleet.
type FleetSize struct {
	size int
	// at is when as many were last known.
	at time.Time
}

// RaiseTo takes a size that was kept elsewhere, as by the holder of the lease.
func (f *FleetSize) RaiseTo(now time.Time, size int) {
	if size > f.size {
		f.size, f.at = size, now
	}
}

// Observe takes how many nodes were known within the last half minute and heard from
// within the last second or two, this one included. It returns the number to share
// quotas by, and the part of it that is heard from.
func (f *FleetSize) Observe(now time.Time, counted, fresh int) (nodes int, reach float64) {
	counted = max(1, counted, fresh)
	held := now.Sub(f.at)
	if counted >= f.size || (2*fresh > f.size && held > shrinkAfter) || held > rememberFor {
		f.size, f.at = counted, now
	}
	return f.size, float64(fresh) / float64(f.size)
}
