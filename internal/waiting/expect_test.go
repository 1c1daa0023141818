package waiting

import (
	"testing"
	"time"
)

func TestExpectations(t *testing.T) {
	cases := []struct {
		name     string
		expected ReadinessEstimate
		want     time.Duration
	}{
		{"an announced load is late by little", ReadinessEstimate{ReadyIn: 2 * time.Second, Announced: true}, 2300 * time.Millisecond},
		{"one that nobody has begun may take half as long again", ReadinessEstimate{ReadyIn: 2 * time.Second}, 3 * time.Second},
		{"what is overdue takes as long again", ReadinessEstimate{Announced: true, Overdue: 700 * time.Millisecond}, 700 * time.Millisecond},
	}
	for _, c := range cases {
		if got := c.expected.WorstCase(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	now := worldBegin
	var watch OverdueTracker
	if first := watch.Estimate(now, 0, true); first.Overdue != 0 {
		t.Errorf("overdue by %v at first", first.Overdue)
	}
	if later := watch.Estimate(now.Add(time.Second), 0, true); later.Overdue != time.Second {
		t.Errorf("overdue by %v after a second", later.Overdue)
	}
	if again := watch.Estimate(now.Add(2*time.Second), time.Second, true); again.Overdue != 0 {
		t.Errorf("overdue by %v though it was announced anew", again.Overdue)
	}
	if later := watch.Estimate(now.Add(5*time.Second), 0, true); later.Overdue != 0 {
		t.Errorf("overdue by %v at first, after it was announced anew", later.Overdue)
	}
}

// TestGuesses: a load that nobody has begun takes what is nearest, and the way there.
func TestGuesses(t *testing.T) {
	times := LoadTimes{Store: 6 * time.Second, Disk: time.Second, Memory: 500 * time.Millisecond}
	for nearest, want := range map[CopyLocation]time.Duration{
		CopyInStore: 7250 * time.Millisecond, CopyOnDisk: 2750 * time.Millisecond, CopyInMemory: 2250 * time.Millisecond,
	} {
		if got := EstimateLoad(time.Second, nearest, times); got != want {
			t.Errorf("from %v: %v, want %v", nearest, got, want)
		}
	}
}
