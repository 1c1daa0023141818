package httpdriver

import (
	"context"
	"time"
)

// owner runs functions one after another on one goroutine, and ticks a core
// when its wake time has come, so that the core needs no lock.
type owner struct {
	inbox    chan func(now time.Time)
	stopped  <-chan struct{}
	nextWake func() time.Time
	tick     func(now time.Time)
}

func newOwner(ctx context.Context, nextWake func() time.Time, tick func(now time.Time)) *owner {
	created := &owner{
		inbox:    make(chan func(time.Time)),
		stopped:  ctx.Done(),
		nextWake: nextWake,
		tick:     tick,
	}
	go created.loop()
	return created
}

func (o *owner) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		o.arm(timer)
		select {
		case <-o.stopped:
			return
		case run := <-o.inbox:
			run(time.Now())
		case <-timer.C:
			o.tick(time.Now())
		}
	}
}

func (o *owner) arm(timer *time.Timer) {
	wake := o.nextWake()
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(wake))
}

// do runs the function on the owner's goroutine and returns once it has run,
// or at once if the owner has stopped.
func (o *owner) do(run func(now time.Time)) {
	ran := make(chan struct{})
	select {
	case o.inbox <- func(now time.Time) { run(now); close(ran) }:
		<-ran
	case <-o.stopped:
	}
}
