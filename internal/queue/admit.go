package queue

import (
	"cmp"
	"slices"
	"time"
)

// minRetryAfter keeps callers from retrying immediately.
const minRetryAfter = time.Second

func (c *Core) arrive(now time.Time, item Item) {
	sub := c.subqueueFor(item.key())
	if !item.Requeued {
		sub.arrivals++
		c.hasUnreportedArrivals = true
	}
	if item.ArrivedAt.IsZero() {
		item.ArrivedAt = now
	}
	if c.closedWith != nil {
		c.refuse(item, c.closedWith.Reason, c.closedWith.RetryAfter)
		return
	}
	if !item.Deadline.After(now) {
		c.refuse(item, ReasonDeadlineExceeded, 0)
		return
	}
	queued := &queuedItem{Item: item, coldStart: sub.ready == 0, rank: c.rank(item)}
	if optimistic, expected := sub.estimateWait(now, queued, c.options.AgingStep); !item.Requeued && now.Add(optimistic).After(item.Deadline) {
		c.refuseUnreachable(now, sub, item, expected)
		return
	}
	if !c.makeRoom(queued) {
		c.refuse(item, ReasonFull, 0)
		return
	}
	c.insert(sub, queued)
	if !item.Requeued {
		sub.arrivalRates.record(now, item.Priority)
	}
	if queued.coldStart && sub.coldSince.IsZero() {
		sub.coldSince = now
	}
	c.release(now, sub)
	if c.byTicket[item.Ticket] != nil && (c.nextReport.IsZero() || len(sub.items) == 1) {
		c.nextReport = now
	}
}

func (c *Core) rank(item Item) int64 {
	if c.options.Defects.NoAging {
		return -int64(item.Priority)
	}
	return item.ArrivedAt.UnixNano()/int64(c.options.AgingStep) - int64(item.Priority)
}

// refuseUnreachable refuses a request that cannot meet its deadline. If the model
// has no ready replica, the request is still reported as a want; otherwise a model
// that loads slowly would never be loaded.
func (c *Core) refuseUnreachable(now time.Time, sub *subqueue, item Item, expectedWait time.Duration) {
	c.refuse(item, ReasonDeadlineUnreachable, expectedWait)
	if sub.ready > 0 {
		return
	}
	if sub.unreachable == 0 || item.Priority > sub.unreachablePriority {
		sub.unreachablePriority = item.Priority
	}
	sub.unreachable++
	sub.unreachableDeadline = now.Add(expectedWait)
	if c.nextReport.IsZero() {
		c.nextReport = now
	}
}

// estimateWait estimates the time until the item's first token. Few requests are
// faster than the optimistic estimate.
func (s *subqueue) estimateWait(now time.Time, queued *queuedItem, agingStep time.Duration) (optimistic, expected time.Duration) {
	optimistic, expected = s.firstToken.optimistic, s.firstToken.mean
	if s.ready == 0 {
		var loading time.Duration
		if !s.coldSince.IsZero() {
			loading = now.Sub(s.coldSince)
		}
		optimistic += max(0, s.loadTime.optimistic-loading)
		expected += max(0, s.loadTime.mean-loading)
		return optimistic, expected
	}
	ahead, _ := slices.BinarySearchFunc(s.items, queued, compareQueued)
	s.arrivalRates.update(now)
	interval := max(s.releaseInterval.mean, s.serviceTime.mean/time.Duration(max(1, s.slots)))
	optimistic += s.arrivalRates.withOvertaking(time.Duration(ahead)*s.releaseInterval.optimistic, s.releaseInterval.optimistic, agingStep, queued.Priority)
	expected += s.arrivalRates.withOvertaking(time.Duration(ahead)*interval, interval, agingStep, queued.Priority)
	return optimistic, expected
}

// makeRoom sheds items of a lower priority until the new item fits. It reports
// whether the item fits.
func (c *Core) makeRoom(queued *queuedItem) bool {
	if queued.Bytes > c.options.MaxBytes {
		return false
	}
	for len(c.byTicket) >= c.options.MaxItems || c.bytes+queued.Bytes > c.options.MaxBytes {
		victim := c.lowestPriority()
		if victim == nil || victim.Priority >= queued.Priority {
			return false
		}
		c.remove(victim.Ticket)
		if !c.options.Defects.DropShed {
			c.refuse(victim.Item, ReasonShed, 0)
		}
	}
	return true
}

// lowestPriority returns the item of the lowest priority, among several the one
// that would be released last.
func (c *Core) lowestPriority() *queuedItem {
	var lowest *queuedItem
	for _, key := range c.order {
		for _, item := range c.subqueues[key].items {
			if lowest == nil || item.Priority < lowest.Priority ||
				item.Priority == lowest.Priority && compareQueued(item, lowest) > 0 {
				lowest = item
			}
		}
	}
	return lowest
}

// expire refuses all items whose deadline has been reached.
func (c *Core) expire(now time.Time) {
	if c.options.Defects.ForgetDeadlines {
		return
	}
	for len(c.deadlines) > 0 && !c.deadlines[0].Deadline.After(now) {
		item := c.deadlines[0].Item
		c.remove(item.Ticket)
		c.refuse(item, ReasonDeadlineExceeded, 0)
	}
}

func (c *Core) close(message Close) {
	message.Reason = cmp.Or(message.Reason, ReasonStopping)
	c.closedWith = &message
	for _, key := range c.order {
		for _, item := range slices.Clone(c.subqueues[key].items) {
			c.remove(item.Ticket)
			c.refuse(item.Item, message.Reason, message.RetryAfter)
		}
	}
}
