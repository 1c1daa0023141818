package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLinkEndsAtItsLatestWake: the bound of the second token may come long
// before that of the first.
func TestLinkEndsAtItsLatestWake(t *testing.T) {
	tests := map[string]struct {
		wakes []time.Duration
		want  time.Duration
	}{
		"sooner than at the start": {[]time.Duration{10 * time.Second}, 10 * time.Second},
		"moved on":                 {[]time.Duration{10 * time.Second, 11 * time.Second, 40 * time.Second}, 40 * time.Second},
		"moved on and back":        {[]time.Duration{40 * time.Second, 20 * time.Second}, 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				link := newLink(t.Context(), 1, begun.Add(30*time.Second), time.Now)
				defer link.close()
				for _, wake := range test.wakes {
					link.setWake(begun.Add(wake))
				}
				<-link.ctx.Done()
				if got := time.Since(begun); got != test.want || !link.late.Load() {
					t.Errorf("ended after %v, late %t, want %v", got, link.late.Load(), test.want)
				}
			})
		})
	}
}
