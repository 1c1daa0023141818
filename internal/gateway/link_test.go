package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLinkEndsAtItsLatestWake checks deadlines that move either way: that of the second
// token may be long before that of the first.
func TestLinkEndsAtItsLatestWake(t *testing.T) {
	tests := map[string]struct {
		wakes []time.Duration
		want  time.Duration
	}{
		"before the first deadline": {[]time.Duration{10 * time.Second}, 10 * time.Second},
		"moved later":               {[]time.Duration{10 * time.Second, 11 * time.Second, 40 * time.Second}, 40 * time.Second},
		"moved later and back":      {[]time.Duration{40 * time.Second, 20 * time.Second}, 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				connection := newConnection(t.Context(), 1, start.Add(30*time.Second), time.Now)
				defer connection.close()
				for _, wake := range test.wakes {
					connection.setDeadline(start.Add(wake))
				}
				<-connection.ctx.Done()
				if got := time.Since(start); got != test.want || !connection.timedOut.Load() {
					t.Errorf("ended after %v, late %t, want %v", got, connection.timedOut.Load(), test.want)
				}
			})
		})
	}
}
