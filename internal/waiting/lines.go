package waiting

import "time"

const (
	// defaultRetryAfter is the retry delay without a better estimate: the servers were
	// full or the node is shutting down.
	defaultRetryAfter = 200 * time.Millisecond
	// minRetrySpacing is the minimum time between the retries of two callers of the same
	// target: capacity becomes free one slot at a time.
	minRetrySpacing = 10 * time.Millisecond
	// maxRetrySpread bounds how far minRetrySpacing can delay a retry beyond the time at
	// which capacity is expected.
	maxRetrySpread = 500 * time.Millisecond
	// maxRetryShare is the largest part of its remaining time that a caller waits before a
	// retry. Callers that are told to wait longer don't retry.
	maxRetryShare = 1.0 / 3
)

// RetrySchedule spreads the retries of refused callers over time, so that callers of the same
// target don't all retry at the same instant. Callers of a higher priority retry first.
// It is not safe for concurrent use.
type RetrySchedule struct {
	lastRetryAt map[retryKey]time.Time
}

// retryKey identifies callers that share a sequence of retry times.
type retryKey struct {
	// target names what the callers wait for, such as a model.
	target string
	// priority 0 is the highest.
	priority int
}

// NewRetrySchedule returns an empty schedule.
func NewRetrySchedule() *RetrySchedule {
	return &RetrySchedule{lastRetryAt: make(map[retryKey]time.Time)}
}

// RetryAfter returns the retry delay of the next caller if capacity is expected in readyIn:
// readyIn, or minRetrySpacing after the last scheduled retry of the same or a higher
// priority, whichever is later.
func (s *RetrySchedule) RetryAfter(now time.Time, target string, priority int, readyIn time.Duration) time.Duration {
	retryAt := now.Add(readyIn)
	latest := retryAt.Add(maxRetrySpread)
	for key, last := range s.lastRetryAt {
		if last.Before(now) {
			delete(s.lastRetryAt, key)
			continue
		}
		if next := last.Add(minRetrySpacing); key.target == target && key.priority <= priority && next.After(retryAt) {
			retryAt = next
		}
	}
	if retryAt.After(latest) {
		retryAt = latest
	}
	s.lastRetryAt[retryKey{target: target, priority: priority}] = retryAt
	return retryAt.Sub(now)
}

// DefaultRetryAfter returns the retry delay of a caller if no readiness estimate is known. It
// is short enough to leave time for serving the retry before the deadline.
func (s *RetrySchedule) DefaultRetryAfter(now time.Time, target string, priority int, remaining time.Duration) time.Duration {
	return min(s.RetryAfter(now, target, priority, defaultRetryAfter), MaxRetryDelay(remaining))
}

// MaxRetryDelay returns the longest time that a caller waits before a retry if its deadline
// is remaining away.
func MaxRetryDelay(remaining time.Duration) time.Duration {
	return max(time.Duration(maxRetryShare*float64(remaining)), time.Millisecond)
}
