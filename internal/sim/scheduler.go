package sim

import (
	"fmt"
	"time"
)

// Epoch is the virtual time at which each simulation starts.
var Epoch = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

// Scheduler is one event queue on a virtual clock. Events run in the order of
// (time, sequence of scheduling), so a run depends on its inputs alone. It is
// used by one goroutine.
type Scheduler struct {
	now      time.Duration
	sequence uint64
	queue    []event
	executed uint64
	// instant counts the events at the present time.
	instant uint64
}

// instantLimit bounds the events at one virtual time. More of them mean that
// the time stands still: something wakes itself again and again.
const instantLimit = 1_000_000

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

// Now is the virtual time.
func (s *Scheduler) Now() time.Time {
	return Epoch.Add(s.now)
}

// Elapsed is the virtual time since Epoch.
func (s *Scheduler) Elapsed() time.Duration {
	return s.now
}

// Executed counts the events that ran.
func (s *Scheduler) Executed() uint64 {
	return s.executed
}

// Pending counts the events that wait.
func (s *Scheduler) Pending() int {
	return len(s.queue)
}

// At schedules the function at a time since Epoch; a time in the past means
// now, after everything that is already scheduled for now.
func (s *Scheduler) At(at time.Duration, run func()) {
	s.sequence++
	s.push(event{at: max(at, s.now), sequence: s.sequence, run: run})
}

// After schedules the function after a delay.
func (s *Scheduler) After(delay time.Duration, run func()) {
	s.At(s.now+max(delay, 0), run)
}

// Every runs the function at each multiple of the interval from now on, for as
// long as it returns true.
func (s *Scheduler) Every(interval time.Duration, run func() bool) {
	s.After(interval, func() {
		if run() {
			s.Every(interval, run)
		}
	})
}

// Step runs the next event unless it lies after the limit, and reports whether
// it did.
func (s *Scheduler) Step(limit time.Duration) bool {
	if len(s.queue) == 0 || s.queue[0].at > limit {
		return false
	}
	next := s.pop()
	s.count(next.at)
	s.now = next.at
	next.run()
	return true
}

func (s *Scheduler) count(at time.Duration) {
	s.executed++
	if at > s.now {
		s.instant = 0
	}
	s.instant++
	if s.instant > instantLimit {
		panic(fmt.Sprintf("sim: more than %d events at %s", instantLimit, at))
	}
}

// Run runs all events up to the limit and leaves the clock there.
func (s *Scheduler) Run(limit time.Duration) {
	for s.Step(limit) {
	}
	s.now = max(s.now, limit)
}

// push and pop keep a binary heap; container/heap would box each event.
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
