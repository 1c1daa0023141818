package waiting

import "time"

const (
	// comeBackTime is when a caller should come back where nothing tells better: the
	// servers were full, or the node stops.
	comeBackTime = 200 * time.Millisecond
	// returnGap is the least time between two callers of one kind that are told to
	// come back: places come free one after the other.
	returnGap = 10 * time.Millisecond
	// longestLine bounds how much later than the first the last of them is told.
	longestLine = 500 * time.Millisecond
	// returnShare is the part of the time left up to which callers wait before they come
	// back; who is told later does not.
	returnShare = 1.0 / 3
)

// RetrySchedule are the times that callers were told to come back at. Callers of one kind
// stand in a line, the urgent ones before the others, each kind of its own. They are
// not safe for concurrent use.
type RetrySchedule struct {
	last map[lineKey]time.Time
}

// lineKey is a line of callers: what they want, and their priority, 0 first.
type lineKey struct {
	wanted   string
	priority int
}

// NewRetrySchedule returns lines in which nobody stands.
func NewRetrySchedule() *RetrySchedule { return &RetrySchedule{last: make(map[lineKey]time.Time)} }

// RetryAfter is when the next caller is to come back, where a place is expected in ready:
// then, or behind the last one that is as urgent or more.
func (l *RetrySchedule) RetryAfter(now time.Time, wanted string, priority int, ready time.Duration) time.Duration {
	at := now.Add(ready)
	latest := at.Add(longestLine)
	for key, last := range l.last {
		if last.Before(now) {
			delete(l.last, key)
			continue
		}
		if next := last.Add(returnGap); key.wanted == wanted && key.priority <= priority && next.After(at) {
			at = next
		}
	}
	if at.After(latest) {
		at = latest
	}
	l.last[lineKey{wanted: wanted, priority: priority}] = at
	return at.Sub(now)
}

// DefaultRetryAfter is when the caller of a request is to come back that nothing better is
// known of: soon enough to be served in the time left.
func (l *RetrySchedule) DefaultRetryAfter(now time.Time, wanted string, priority int, left time.Duration) time.Duration {
	return min(l.RetryAfter(now, wanted, priority, comeBackTime), MaxRetryDelay(left))
}

// MaxRetryDelay is the longest time that a caller with the time left waits before it
// comes back.
func MaxRetryDelay(left time.Duration) time.Duration {
	return max(time.Duration(returnShare*float64(left)), time.Millisecond)
}
