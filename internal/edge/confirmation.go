package edge

import (
	"sync"
	"time"
)

// confirmation is when some node's call to the store last confirmed what this
// node knows of one kind. Nodes tell each other its age, so that what two or three
// of them ask of the store does for all. It is safe for concurrent use.
type confirmation struct {
	// applyWithin is the time applyWithin which a change must be in force at every node; 0 is
	// the node's Options.ApplyWithin.
	applyWithin time.Duration
	mu          sync.Mutex
	confirmedAt time.Time
}

// confirm takes that what this node knows was the store's newest at that time.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// age is the time since; known is false where nothing was ever confirmed.
func (c *confirmation) age(now time.Time) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, now.Sub(c.confirmedAt)), !c.confirmedAt.IsZero()
}

// encodedAge is the age as datagrams tell it: milliseconds and one more, 0 where it is
// not known.
func (c *confirmation) encodedAge(now time.Time) uint32 {
	age, known := c.age(now)
	if !known {
		return 0
	}
	return encodeAge(age)
}

// encodeAge is a known age as messages tell it: milliseconds and one more.
func encodeAge(age time.Duration) uint32 { return uint32(min(age, maxWireAge).Milliseconds()) + 1 }

// maxWireAge bounds the age that is told; nobody goes by one so old.
const maxWireAge = time.Hour

// receiveAge takes the age that a peer tells, which knows the same as this node.
func (c *confirmation) receiveAge(now time.Time, encoded uint32) {
	if encoded > 0 {
		c.confirm(now.Add(-time.Duration(encoded-1) * time.Millisecond))
	}
}

// Shares of the time within which a change must be in force at every node
// (confirmation.within). A node acts on its own knowledge while it was confirmed
// within confirmedFraction; then it asks the store itself, at once if it is among the
// first and up to takeoverFraction later if not: the first one's answer does for all.
const (
	confirmedFraction = 0.55
	takeoverFraction  = 0.2
	// watchFraction is how long a watch waits: its end confirms that nothing changed.
	watchFraction = 0.35
	// minTakeoverNodes is the number of nodes over which takeoverShare is spread at
	// the least.
	minTakeoverNodes = 16
)

func (n *Node) fractionOfBound(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.options.ApplyWithin))
}

// shouldQueryStore reports whether this node asks the store itself: the leader and
// the sentinels do, any node to which nobody has confirmed for too long what it
// knows, and one that has just started where a caller waits.
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
	// What has more time is left alone in proportion.
	factor := float64(n.applyBound(confirmed)) / float64(n.options.ApplyWithin)
	return age > time.Duration(factor*float64(n.fractionOfBound(confirmedFraction)+n.takeoverDelay(now)))
}

// applyBound is the time within which a change of the kind must be in force.
func (n *Node) applyBound(confirmed *confirmation) time.Duration {
	if confirmed.applyWithin > 0 {
		return confirmed.applyWithin
	}
	return n.options.ApplyWithin
}

// takeoverDelay is how long after the first ones this node steps in.
func (n *Node) takeoverDelay(now time.Time) time.Duration {
	rank, nodes := n.peers.rank(now)
	return time.Duration(float64(rank) / float64(max(nodes, minTakeoverNodes)) * float64(n.fractionOfBound(takeoverFraction)))
}

// sentinelDelay is how long a node listens before it watches the store for others:
// at its start it knows too few of them to tell that it is among the first, and
// all nodes of a fleet that starts took themselves for that.
const sentinelDelay = 2500 * time.Millisecond

// bootstrapReadSpread is the time over which nodes that start together for the first
// time read the store: who reads first tells the others. A node that starts later
// finds peers that know all, and waits restartReadSpread at the most.
const (
	bootstrapReadSpread = 2 * time.Second
	restartReadSpread   = 300 * time.Millisecond
)
