package sim

import "time"

// Waker keeps one timer for a core's NextWake. Asking again for a time that is
// not earlier than the pending one costs no event.
type Waker struct {
	process *Process
	wake    func()
	pending time.Time
	boot    uint64
	serial  uint64
}

// NewWaker returns a waker that calls the function in the process.
func NewWaker(process *Process, wake func()) *Waker {
	return &Waker{process: process, wake: wake}
}

// Set asks for a wake at the local time; zero asks for none. A timer that
// comes too early for the core's present wish is harmless: the core is stepped
// and asked again.
func (w *Waker) Set(local time.Time) {
	if local.IsZero() {
		return
	}
	sameBoot := w.boot == w.process.Boot()
	if sameBoot && !w.pending.IsZero() && !local.Before(w.pending) {
		return
	}
	w.pending, w.boot = local, w.process.Boot()
	w.serial++
	serial := w.serial
	w.process.Timer(local, func() {
		if serial != w.serial {
			return
		}
		w.pending = time.Time{}
		w.wake()
	})
}
