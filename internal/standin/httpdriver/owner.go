package httpdriver

import (
	"context"
	"time"
)

// eventLoop runs functions sequentially on one goroutine, so that a core needs no
// lock, and ticks the core at its wake times.
type eventLoop struct {
	tasks    chan func(now time.Time)
	stopped  <-chan struct{}
	nextWake func() time.Time
	tick     func(now time.Time)
}

func newEventLoop(ctx context.Context, nextWake func() time.Time, tick func(now time.Time)) *eventLoop {
	created := &eventLoop{
		tasks:    make(chan func(time.Time)),
		stopped:  ctx.Done(),
		nextWake: nextWake,
		tick:     tick,
	}
	go created.run()
	return created
}

func (o *eventLoop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		o.resetTimer(timer)
		select {
		case <-o.stopped:
			return
		case task := <-o.tasks:
			task(time.Now())
		case <-timer.C:
			o.tick(time.Now())
		}
	}
}

func (o *eventLoop) resetTimer(timer *time.Timer) {
	wake := o.nextWake()
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(wake))
}

// do runs the function on the loop's goroutine and returns once it has run, or
// without running it if the loop has stopped.
func (o *eventLoop) do(task func(now time.Time)) {
	ran := make(chan struct{})
	select {
	case o.tasks <- func(now time.Time) { task(now); close(ran) }:
		<-ran
	case <-o.stopped:
	}
}
