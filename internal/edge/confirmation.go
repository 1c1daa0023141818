package edge

import (
	"sync"
	"time"
)

// confirmation records when some node's call to the store last confirmed one kind of data known
// here. Nodes exchange its age, so that a few nodes query the store on behalf of all. It is safe
// for concurrent use.
type confirmation struct {
	// applyWithin is the time within which a change must be in force at every node; 0 means the
	// node's Options.ApplyWithin.
	applyWithin time.Duration
	mu          sync.Mutex
	confirmedAt time.Time
}

// confirm records that the known data was the store's newest at the given time.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// age returns the time since the last confirmation. known is false if there was none.
func (c *confirmation) age(now time.Time) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, now.Sub(c.confirmedAt)), !c.confirmedAt.IsZero()
}

// encodedAge returns the age as sent in datagrams: milliseconds plus one, or 0 if unknown.
func (c *confirmation) encodedAge(now time.Time) uint32 {
	age, known := c.age(now)
	if !known {
		return 0
	}
	return encodeAge(age)
}

// encodeAge encodes a known age as milliseconds plus one.
func encodeAge(age time.Duration) uint32 { return uint32(min(age, maxWireAge).Milliseconds()) + 1 }

// maxWireAge bounds the encoded age; nodes do not rely on data that old.
const maxWireAge = time.Hour

// receiveAge applies the age sent by a peer that has the same data as this node.
func (c *confirmation) receiveAge(now time.Time, encoded uint32) {
	if encoded > 0 {
		c.confirm(now.Add(-time.Duration(encoded-1) * time.Millisecond))
	}
}

// Fractions of the time within which a change must be in force at every node
// (confirmation.applyWithin). A node relies on its data while it was confirmed within
// confirmedFraction. After that it queries the store itself: immediately if it is among the
// first in rank, otherwise up to takeoverFraction later, so that the first node's answer serves
// all.
const (
	confirmedFraction = 0.55
	takeoverFraction  = 0.2
	// watchFraction is how long a watch waits. When it times out, it confirms that nothing
	// changed.
	watchFraction = 0.35
	// minTakeoverNodes is the minimum number of nodes over which takeoverFraction is spread.
	minTakeoverNodes = 16
)

func (n *Node) fractionOfBound(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.options.ApplyWithin))
}

// shouldQueryStore reports whether this node queries the store itself: the leader, the
// sentinels, any node whose data has gone unconfirmed for too long, and a node that has just
// started and has a caller waiting.
func (n *Node) shouldQueryStore(now time.Time, confirmed *confirmation) bool {
	if term, _ := n.leader.leadership(); term != 0 {
		return true
	}
	age, ok := confirmed.age(now)
	if !ok && n.callerWaiting.Load() {
		return true
	}
	if now.Sub(n.started) < n.firstRead {
		return false
	}
	if n.peers.isSentinel() && now.Sub(n.started) >= sentinelDelay {
		return true
	}
	if !ok {
		age = now.Sub(n.started)
		return age >= n.firstRead+n.takeoverDelay(now)
	}
	// A longer apply bound extends the waiting time in proportion.
	factor := float64(n.applyBound(confirmed)) / float64(n.options.ApplyWithin)
	return age > time.Duration(factor*float64(n.fractionOfBound(confirmedFraction)+n.takeoverDelay(now)))
}

// applyBound returns the time within which a change of this kind must be in force.
func (n *Node) applyBound(confirmed *confirmation) time.Duration {
	if confirmed.applyWithin > 0 {
		return confirmed.applyWithin
	}
	return n.options.ApplyWithin
}

// takeoverDelay returns how much later than the first nodes this one takes over.
func (n *Node) takeoverDelay(now time.Time) time.Duration {
	rank, nodes := n.peers.rank(now)
	return time.Duration(float64(rank) / float64(max(nodes, minTakeoverNodes)) * float64(n.fractionOfBound(takeoverFraction)))
}

// sentinelDelay is how long a starting node listens before it acts as a sentinel. At first it
// knows too few nodes to determine its rank, and in a fleet that starts at once every node would
// consider itself one of the first.
const sentinelDelay = 2500 * time.Millisecond

// bootstrapReadSpread is the time over which nodes that start together for the first time spread
// their first read of the store; the first to read informs the others. A node that starts later
// finds peers that have all data, and waits restartReadSpread at most.
const (
	bootstrapReadSpread = 2 * time.Second
	restartReadSpread   = 300 * time.Millisecond
)
