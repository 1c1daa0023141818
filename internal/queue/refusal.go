package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// maxRefusalWait is how long loads may be refused before the waiting requests
	// are refused, and the longest RetryAfter for which they keep waiting. A fleet
	// that starts or gets a new declaration refuses loads until its allotments are
	// decided.
	maxRefusalWait = 3 * time.Second
	// refusalResetAfter is the time without a refusal after which the next one
	// starts a new series.
	refusalResetAfter = 5 * time.Second
)

// refusals tracks the series of load refusals for one subqueue.
type refusals struct {
	since, last time.Time
}

// record adds a refusal and returns the duration of the series.
func (r *refusals) record(now time.Time) time.Duration {
	if r.since.IsZero() || now.Sub(r.last) > refusalResetAfter {
		r.since = now
	}
	r.last = now
	return now.Sub(r.since)
}

// loadRefused refuses the items that wait for a load, unless the refusal is
// transient and the load can still finish before their deadline. If the model has
// ready replicas, only items that wait for an adapter are affected.
func (c *Core) loadRefused(now time.Time, refused []fleet.LoadRefusal) {
	for _, refusal := range refused {
		sub := c.subqueueFor(Key{refusal.Model, refusal.Regions})
		isTransient := sub.refusals.record(now) < maxRefusalWait &&
			refusal.RetryAfter > 0 && refusal.RetryAfter <= maxRefusalWait
		firstTokenAt := now.Add(refusal.RetryAfter + sub.loadTime.optimistic + sub.firstToken.optimistic)
		for _, item := range slices.Clone(sub.items) {
			if sub.ready > 0 && (item.Adapter == "" || sub.hasAdapter(item.Adapter)) {
				continue
			}
			if isTransient && !firstTokenAt.After(item.Deadline) {
				continue
			}
			c.remove(item.Ticket)
			c.emit(Refuse{Item: item.Item, Reason: ReasonCannotLoad, Detail: refusal.Reason,
				RetryAfter: max(refusal.RetryAfter, minRetryAfter)})
		}
		if len(sub.items) == 0 {
			sub.coldSince = time.Time{}
		}
	}
}
