package requestpath

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs events in order of time. Events due at the
// same time run in the order in which they were added.
type clock struct {
	now    time.Time
	events events
	added  uint64
}

type event struct {
	at    time.Time
	order uint64
	do    func()
}

func (c *clock) scheduleAfter(wait time.Duration, do func()) {
	c.scheduleAt(c.now.Add(wait), do)
}

func (c *clock) scheduleAt(at time.Time, do func()) {
	c.added++
	heap.Push(&c.events, event{at: at, order: c.added, do: do})
}

// runUntil runs all events due until the end, then sets the clock to the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		if next.at.After(c.now) {
			c.now = next.at
		}
		next.do()
	}
	c.now = end
}

// timer calls a function at a deadline that may change. If the deadline moves
// later, the scheduled event stays and the timer is rescheduled when it fires.
type timer struct {
	clock *clock
	// deadline returns the current deadline; zero means never.
	deadline func() time.Time
	callback func()
	// scheduledAt is the earliest time for which an event is scheduled.
	scheduledAt time.Time
}

// reset makes sure that an event is scheduled at the deadline or earlier.
func (a *timer) reset() {
	at := a.deadline()
	if at.IsZero() || !a.scheduledAt.IsZero() && !at.Before(a.scheduledAt) {
		return
	}
	a.scheduledAt = at
	a.clock.scheduleAt(at, func() { a.fire(at) })
}

func (a *timer) fire(at time.Time) {
	if !a.scheduledAt.Equal(at) {
		return
	}
	a.scheduledAt = time.Time{}
	if wanted := a.deadline(); !wanted.IsZero() && !wanted.After(a.clock.now) {
		a.callback()
	}
	a.reset()
}

// events is a heap by time, then order. It implements heap.Interface.
type events []event

var _ heap.Interface = (*events)(nil)

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(added any) { *e = append(*e, added.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	next := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return next
}
