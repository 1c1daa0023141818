package requestpath

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times, those of one time in the
// order in which they were added.
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

func (c *clock) after(wait time.Duration, do func()) {
	c.at(c.now.Add(wait), do)
}

func (c *clock) at(at time.Time, do func()) {
	c.added++
	heap.Push(&c.events, event{at: at, order: c.added, do: do})
}

// runUntil runs all that is due, then sets the clock to the end.
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

// alarm calls a function at a time that may be set anew. A time that moves on
// costs nothing until the former one has come.
type alarm struct {
	clock *clock
	// want reads the time that is wanted now; zero is never.
	want func() time.Time
	ring func()
	// set is the earliest time for which an event is there.
	set time.Time
}

// arm makes sure that an event comes at the wanted time or before.
func (a *alarm) arm() {
	at := a.want()
	if at.IsZero() || !a.set.IsZero() && !at.Before(a.set) {
		return
	}
	a.set = at
	a.clock.at(at, func() { a.fire(at) })
}

func (a *alarm) fire(at time.Time) {
	if !a.set.Equal(at) {
		return
	}
	a.set = time.Time{}
	if wanted := a.want(); !wanted.IsZero() && !wanted.After(a.clock.now) {
		a.ring()
	}
	a.arm()
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
	taken := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return taken
}
