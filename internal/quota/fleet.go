package quota

import "time"

const (
	// shrinkDelay is how long a node that hears from most of the fleet keeps the earlier,
	// larger size: silent nodes may be partitioned and grant quotas themselves. Until
	// then a fleet that lost nodes for good grants only the remaining nodes' fraction.
	shrinkDelay = 10 * time.Minute
	// minorityShrinkDelay is the same for a node that hears from half of the fleet or
	// less. It covers the longest loss of connection to be expected between regions.
	minorityShrinkDelay = time.Hour
)

// FleetSize is one node's estimate of the number of nodes. A node that loses contact with
// others does not take the remaining ones for the whole fleet.
type FleetSize struct {
	size int
	// knownAt is when this size was last confirmed.
	knownAt time.Time
}

// RaiseTo raises the size to one that was recorded elsewhere, such as by the lease holder.
func (f *FleetSize) RaiseTo(now time.Time, size int) {
	if size > f.size {
		f.size, f.knownAt = size, now
	}
}

// Observe updates the size from the number of nodes seen within the last half minute (known)
// and within the last second or two (fresh), including this one. It returns the number of
// nodes to divide quotas by, and the fraction of them that are fresh.
func (f *FleetSize) Observe(now time.Time, known, fresh int) (nodes int, reach float64) {
	known = max(1, known, fresh)
	age := now.Sub(f.knownAt)
	if known >= f.size || (2*fresh > f.size && age > shrinkDelay) || age > minorityShrinkDelay {
		f.size, f.knownAt = known, now
	}
	return f.size, float64(fresh) / float64(f.size)
}
