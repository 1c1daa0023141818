package sim

import "time"

// Waker maintains one timer for a core's NextWake. A request for a time that is
// not earlier than the pending one schedules no event.
type Waker struct {
	process    *Process
	wake       func()
	pending    time.Time
	boot       uint64
	generation uint64
}

// NewWaker returns a waker that calls the function in the process.
func NewWaker(process *Process, wake func()) *Waker {
	return &Waker{process: process, wake: wake}
}

// Set requests a wake at the local time; the zero time requests none. A timer
// that fires earlier than the core now needs is harmless: the core is stepped
// and its NextWake is read again.
func (w *Waker) Set(local time.Time) {
	if local.IsZero() {
		return
	}
	sameBoot := w.boot == w.process.Boot()
	if sameBoot && !w.pending.IsZero() && !local.Before(w.pending) {
		return
	}
	w.pending, w.boot = local, w.process.Boot()
	w.generation++
	generation := w.generation
	w.process.Timer(local, func() {
		if generation != w.generation {
			return
		}
		w.pending = time.Time{}
		w.wake()
	})
}
