package queue

import (
	"cmp"
	"slices"
	"time"
)

// minRetryAfter keeps callers from asking again at once.
const minRetryAfter = time.Second

func (c *Core) arrive(now time.Time, item Item) {
	line := c.line(item.line())
	if !item.Requeued {
		line.arrivals++
		c.arrived = true
	}
	if item.ArrivedAt.IsZero() {
		item.ArrivedAt = now
	}
	if c.closed != nil {
		c.refuse(item, c.closed.Reason, c.closed.RetryAfter)
		return
	}
	if !item.Deadline.After(now) {
		c.refuse(item, ReasonDeadlineExceeded, 0)
		return
	}
	entry := &waiting{Item: item, cold: line.ready == 0, rank: c.rank(item)}
	if low, likely := line.expectedWait(now, entry, c.options.AgingStep); !item.Requeued && now.Add(low).After(item.Deadline) {
		c.miss(now, line, item, likely)
		return
	}
	if !c.makeRoom(entry) {
		c.refuse(item, ReasonFull, 0)
		return
	}
	c.insert(line, entry)
	if !item.Requeued {
		line.inflow.note(now, item.Priority)
	}
	if entry.cold && line.coldFrom.IsZero() {
		line.coldFrom = now
	}
	c.release(now, line)
	if c.byTicket[item.Ticket] != nil && (c.nextWant.IsZero() || len(line.items) == 1) {
		c.nextWant = now
	}
}

func (c *Core) rank(item Item) int64 {
	if c.options.Defects.NoAging {
		return -int64(item.Priority)
	}
	return item.ArrivedAt.UnixNano()/int64(c.options.AgingStep) - int64(item.Priority)
}

// miss refuses at once what cannot make its deadline. The wish for the model
// is reported all the same, or a model that loads slowly would never be loaded.
func (c *Core) miss(now time.Time, line *line, item Item, likely time.Duration) {
	c.refuse(item, ReasonDeadlineUnreachable, likely)
	if line.ready > 0 {
		return
	}
	if line.missed == 0 || item.Priority > line.missedPriority {
		line.missedPriority = item.Priority
	}
	line.missed++
	line.missedDeadline = now.Add(likely)
	if c.nextWant.IsZero() {
		c.nextWant = now
	}
}

// expectedWait estimates the time until the entry's first token: a low one
// that only luck beats, and a likely one.
func (l *line) expectedWait(now time.Time, entry *waiting, agingStep time.Duration) (low, likely time.Duration) {
	low, likely = l.firstToken.low, l.firstToken.value
	if l.ready == 0 {
		var loading time.Duration
		if !l.coldFrom.IsZero() {
			loading = now.Sub(l.coldFrom)
		}
		low += max(0, l.load.low-loading)
		likely += max(0, l.load.value-loading)
		return low, likely
	}
	ahead, _ := slices.BinarySearchFunc(l.items, entry, compareWaiting)
	l.inflow.roll(now)
	pace := max(l.pace.value, l.service.value/time.Duration(max(1, l.slots)))
	low += l.inflow.withOvertaking(time.Duration(ahead)*l.pace.low, l.pace.low, agingStep, entry.Priority)
	likely += l.inflow.withOvertaking(time.Duration(ahead)*pace, pace, agingStep, entry.Priority)
	return low, likely
}

// makeRoom sheds items of a lower priority until the new one fits.
func (c *Core) makeRoom(entry *waiting) bool {
	if entry.Bytes > c.options.MaxBytes {
		return false
	}
	for len(c.byTicket) >= c.options.MaxItems || c.bytes+entry.Bytes > c.options.MaxBytes {
		victim := c.lowest()
		if victim == nil || victim.Priority >= entry.Priority {
			return false
		}
		c.remove(victim.Ticket)
		if !c.options.Defects.DropShed {
			c.refuse(victim.Item, ReasonShed, 0)
		}
	}
	return true
}

// lowest returns the item of the lowest priority, among equals the last.
func (c *Core) lowest() *waiting {
	var lowest *waiting
	for _, key := range c.order {
		for _, item := range c.lines[key].items {
			if lowest == nil || item.Priority < lowest.Priority ||
				item.Priority == lowest.Priority && compareWaiting(item, lowest) > 0 {
				lowest = item
			}
		}
	}
	return lowest
}

// expire refuses all whose deadline has come.
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

func (c *Core) close(closed Close) {
	closed.Reason = cmp.Or(closed.Reason, ReasonStopping)
	c.closed = &closed
	for _, key := range c.order {
		for _, item := range slices.Clone(c.lines[key].items) {
			c.remove(item.Ticket)
			c.refuse(item.Item, closed.Reason, closed.RetryAfter)
		}
	}
}
