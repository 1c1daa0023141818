package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// minRetryAfter keeps callers from asking again at once.
const minRetryAfter = time.Second

func (c *Core) arrive(now time.Time, item Item) {
	line := c.line(item.Model)
	if !item.Again {
		line.arrivals++
	}
	if item.Since.IsZero() {
		item.Since = now
	}
	if c.closed {
		c.emit(Refuse{Item: item, Reason: ReasonClosed, RetryAfter: c.closing})
		return
	}
	if !item.Deadline.After(now) {
		c.emit(Refuse{Item: item, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
		return
	}
	entry := &waiting{Item: item, cold: len(line.replicas) == 0}
	entry.rank = item.Since.UnixNano()/int64(c.options.AgingStep) - int64(item.Priority)
	if !c.makeRoom(entry) {
		c.emit(Refuse{Item: item, Reason: ReasonFull, RetryAfter: minRetryAfter})
		return
	}
	if wait := line.expectedWait(now); !item.Again && now.Add(wait).After(item.Deadline) {
		c.emit(Refuse{Item: item, Reason: ReasonTooLate, RetryAfter: max(wait, minRetryAfter)})
		return
	}
	at, _ := slices.BinarySearchFunc(line.items, entry, compareWaiting)
	line.items = slices.Insert(line.items, at, entry)
	c.byTicket[item.Ticket] = entry
	c.bytes += item.Bytes
	if entry.cold && line.coldFrom.IsZero() {
		line.coldFrom = now
	}
	c.release(now, line)
	if c.byTicket[item.Ticket] != nil && c.nextWant.IsZero() {
		c.nextWant = now
	}
}

// expectedWait estimates when one more request would be released.
func (l *line) expectedWait(now time.Time) time.Duration {
	var wait time.Duration
	if len(l.replicas) == 0 {
		if l.coldFrom.IsZero() {
			wait = l.load.value
		} else {
			wait = max(0, l.load.value-now.Sub(l.coldFrom))
		}
	}
	slots := max(1, l.slots)
	return wait + time.Duration(len(l.items)/slots)*l.service.value
}

func compareWaiting(a, b *waiting) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Ticket, b.Ticket),
	)
}

// makeRoom sheds items of a lower priority until the new one fits.
func (c *Core) makeRoom(entry *waiting) bool {
	for len(c.byTicket) >= c.options.MaxItems || c.bytes+entry.Bytes > c.options.MaxBytes {
		victim := c.lowest()
		if victim == nil || victim.Priority >= entry.Priority {
			return false
		}
		c.remove(victim.Ticket)
		c.emit(Refuse{Item: victim.Item, Reason: ReasonShed, RetryAfter: minRetryAfter})
	}
	return true
}

// lowest returns the item of the lowest priority, among equals the last.
func (c *Core) lowest() *waiting {
	var lowest *waiting
	for _, model := range c.order {
		for _, item := range c.lines[model].items {
			if lowest == nil || item.Priority < lowest.Priority ||
				item.Priority == lowest.Priority && compareWaiting(item, lowest) > 0 {
				lowest = item
			}
		}
	}
	return lowest
}

func (c *Core) remove(ticket Ticket) {
	entry, found := c.byTicket[ticket]
	if !found {
		return
	}
	delete(c.byTicket, ticket)
	c.bytes -= entry.Bytes
	line := c.lines[entry.Model]
	at, found := slices.BinarySearchFunc(line.items, entry, compareWaiting)
	if found {
		line.items = slices.Delete(line.items, at, at+1)
	}
}

// expire refuses all whose deadline has come.
func (c *Core) expire(now time.Time) {
	for _, model := range c.order {
		for _, item := range slices.Clone(c.lines[model].items) {
			if !item.Deadline.After(now) {
				c.remove(item.Ticket)
				c.emit(Refuse{Item: item.Item, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
			}
		}
	}
}

func (c *Core) loadRefused(refusals []fleet.LoadRefusal) {
	for _, refusal := range refusals {
		line := c.line(refusal.Model)
		if len(line.replicas) > 0 {
			continue
		}
		for _, item := range slices.Clone(line.items) {
			c.remove(item.Ticket)
			c.emit(Refuse{Item: item.Item, Reason: ReasonCannotLoad, Detail: refusal.Reason,
				RetryAfter: max(refusal.RetryAfter, minRetryAfter)})
		}
		line.coldFrom = time.Time{}
	}
}

func (c *Core) close(retryAfter time.Duration) {
	c.closed = true
	c.closing = retryAfter
	for _, model := range c.order {
		for _, item := range slices.Clone(c.lines[model].items) {
			c.remove(item.Ticket)
			c.emit(Refuse{Item: item.Item, Reason: ReasonClosed, RetryAfter: retryAfter})
		}
	}
}
