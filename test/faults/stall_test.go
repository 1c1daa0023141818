package faults

import (
	"sync"
	"testing"
	"time"
)

const (
	// stallInterval is the interval at which a stallMonitor notices that time passes, and minStall the
	// shortest gap that it reports.
	stallInterval = 50 * time.Millisecond
	minStall      = 500 * time.Millisecond
)

// watchStalls logs each time at which the test's own process did not run, until the returned function
// is called: a node that logged nothing at that time may have had no processor either.
func watchStalls(t testing.TB) (stop func()) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		last := time.Now()
		ticker := time.NewTicker(stallInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				if gap := now.Sub(last); gap > minStall {
					t.Logf("the test did not run for %v until %s", gap, now.Format("15:04:05.000"))
				}
				last = now
			}
		}
	})
	return func() { close(done); watching.Wait() }
}
