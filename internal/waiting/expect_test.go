package waiting

import (
	"testing"
	"time"
)

func TestExpectations(t *testing.T) {
	cases := []struct {
		name     string
		estimate ReadinessEstimate
		want     time.Duration
	}{
		{"an announced load has a small error", ReadinessEstimate{ReadyIn: 2 * time.Second, Announced: true}, 2300 * time.Millisecond},
		{"an unannounced load may take half as long again", ReadinessEstimate{ReadyIn: 2 * time.Second}, 3 * time.Second},
		{"an overdue load takes as long again", ReadinessEstimate{Announced: true, Overdue: 700 * time.Millisecond}, 700 * time.Millisecond},
	}
	for _, c := range cases {
		if got := c.estimate.WorstCase(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	now := simStart
	var tracker OverdueTracker
	if first := tracker.Estimate(now, 0, true); first.Overdue != 0 {
		t.Errorf("overdue by %v when first due, want 0", first.Overdue)
	}
	if later := tracker.Estimate(now.Add(time.Second), 0, true); later.Overdue != time.Second {
		t.Errorf("overdue by %v after a second, want 1s", later.Overdue)
	}
	if rescheduled := tracker.Estimate(now.Add(2*time.Second), time.Second, true); rescheduled.Overdue != 0 {
		t.Errorf("overdue by %v after a new announcement, want 0", rescheduled.Overdue)
	}
	if later := tracker.Estimate(now.Add(5*time.Second), 0, true); later.Overdue != 0 {
		t.Errorf("overdue by %v when first due after a new announcement, want 0", later.Overdue)
	}
}

// TestGuesses: the estimate for an unannounced load is the load time from the nearest copy plus
// the time to order the load and to evict another model.
func TestGuesses(t *testing.T) {
	times := LoadTimes{Store: 6 * time.Second, Disk: time.Second, Memory: 500 * time.Millisecond}
	for nearest, want := range map[CopyLocation]time.Duration{
		CopyInStore: 7250 * time.Millisecond, CopyOnDisk: 2750 * time.Millisecond, CopyInMemory: 2250 * time.Millisecond,
	} {
		if got := EstimateLoad(time.Second, nearest, times); got != want {
			t.Errorf("nearest copy %v: estimate %v, want %v", nearest, got, want)
		}
	}
}
