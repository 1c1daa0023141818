package sim

import (
	"fmt"
	"time"
)

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

// Scheduler is an event queue with a virtual clock. Events are ordered by time
// and then by the order in which they were scheduled, so that a run depends on
// its inputs alone. A Scheduler must not be used concurrently.
type Scheduler struct {
	now      time.Duration
	sequence uint64
	queue    []event
	executed uint64
	// eventsAtNow counts the events executed at the current time.
	eventsAtNow uint64
}

// maxEventsAtOneTime bounds the events at one virtual time. Exceeding it means
// that an event keeps rescheduling itself without a delay and that the virtual
// time no longer advances.
const maxEventsAtOneTime = 1_000_000

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// NewScheduler returns an empty queue at the time Epoch.
func NewScheduler() *Scheduler {
	return &Scheduler{}
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Time {
	return Epoch.Add(s.now)
}

// Elapsed returns the virtual time since Epoch.
func (s *Scheduler) Elapsed() time.Duration {
	return s.now
}

// Executed returns the number of events that have run.
func (s *Scheduler) Executed() uint64 {
	return s.executed
}

// Pending returns the number of scheduled events.
func (s *Scheduler) Pending() int {
	return len(s.queue)
}

// At schedules the function at a time since Epoch. A time in the past is taken
// as the current time, after all events already scheduled for it.
func (s *Scheduler) At(at time.Duration, run func()) {
	s.sequence++
	s.push(event{at: max(at, s.now), sequence: s.sequence, run: run})
}

// After schedules the function after a delay.
func (s *Scheduler) After(delay time.Duration, run func()) {
	s.At(s.now+max(delay, 0), run)
}

// Every runs the function repeatedly, first after one interval, until it
// returns false.
func (s *Scheduler) Every(interval time.Duration, run func() bool) {
	s.After(interval, func() {
		if run() {
			s.Every(interval, run)
		}
	})
}

// Step runs the next event unless its time is after the limit, and reports
// whether it ran one.
func (s *Scheduler) Step(limit time.Duration) bool {
	if len(s.queue) == 0 || s.queue[0].at > limit {
		return false
	}
	next := s.pop()
	s.countEvent(next.at)
	s.now = next.at
	next.run()
	return true
}

func (s *Scheduler) countEvent(at time.Duration) {
	s.executed++
	if at > s.now {
		s.eventsAtNow = 0
	}
	s.eventsAtNow++
	if s.eventsAtNow > maxEventsAtOneTime {
		panic(fmt.Sprintf("sim: more than %d events at %s", maxEventsAtOneTime, at))
	}
}

// Run runs all events up to the limit and then advances the clock to it.
func (s *Scheduler) Run(limit time.Duration) {
	for s.Step(limit) {
	}
	s.now = max(s.now, limit)
}

// push and pop maintain a binary heap. container/heap is not used because it
// would allocate an interface value for each event.
func (s *Scheduler) push(added event) {
	s.queue = append(s.queue, added)
	index := len(s.queue) - 1
	for index > 0 {
		parent := (index - 1) / 2
		if !s.queue[index].before(s.queue[parent]) {
			return
		}
		s.queue[index], s.queue[parent] = s.queue[parent], s.queue[index]
		index = parent
	}
}

func (s *Scheduler) pop() event {
	first := s.queue[0]
	last := len(s.queue) - 1
	s.queue[0] = s.queue[last]
	s.queue[last] = event{}
	s.queue = s.queue[:last]
	s.siftDown()
	return first
}

func (s *Scheduler) siftDown() {
	index := 0
	for {
		smallest := index
		for child := 2*index + 1; child <= 2*index+2 && child < len(s.queue); child++ {
			if s.queue[child].before(s.queue[smallest]) {
				smallest = child
			}
		}
		if smallest == index {
			return
		}
		s.queue[index], s.queue[smallest] = s.queue[smallest], s.queue[index]
		index = smallest
	}
}
