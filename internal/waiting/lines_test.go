package waiting

import (
	"testing"
	"time"
)

// TestCallersComeBackOneAfterTheOther guards against a burst of retries at one instant, which
// occurs if all refused callers are given the same retry time.
func TestCallersComeBackOneAfterTheOther(t *testing.T) {
	start := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	steps := []struct {
		name     string
		after    time.Duration
		target   string
		priority int
		readyIn  time.Duration
		want     time.Duration
	}{
		{"the first retries when capacity is expected", 0, "m", 1, time.Second, time.Second},
		{"the next one after it", 0, "m", 1, time.Second, time.Second + minRetrySpacing},
		{"a higher priority before both", 0, "m", 0, time.Second, time.Second},
		{"a lower priority after all", 0, "m", 2, time.Second, time.Second + 2*minRetrySpacing},
		{"another target is scheduled separately", 0, "n", 1, time.Second, time.Second},
		{"capacity expected later gives a later retry", 0, "m", 1, 2 * time.Second, 2 * time.Second},
		{"retry times in the past don't count", 3 * time.Second, "m", 2, time.Second, time.Second},
	}
	schedule := NewRetrySchedule()
	for _, step := range steps {
		if got := schedule.RetryAfter(start.Add(step.after), step.target, step.priority, step.readyIn); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
	for range 1000 {
		schedule.RetryAfter(start, "many", 0, time.Second)
	}
	if got := schedule.RetryAfter(start, "many", 0, time.Second); got != time.Second+maxRetrySpread {
		t.Errorf("last of many callers: %v, want %v", got, time.Second+maxRetrySpread)
	}
	schedule.RetryAfter(start.Add(time.Hour), "many", 0, time.Second)
	if got := len(schedule.lastRetryAt); got != 1 {
		t.Errorf("%d entries kept, want one", got)
	}
}

// TestCallersComeBackWhileThereIsTime: callers near their deadline get a shorter retry delay.
func TestCallersComeBackWhileThereIsTime(t *testing.T) {
	start := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	schedule := NewRetrySchedule()
	for _, c := range []struct{ remaining, want time.Duration }{
		{time.Minute, defaultRetryAfter}, {300 * time.Millisecond, 100 * time.Millisecond}, {0, time.Millisecond}, {-time.Second, time.Millisecond},
	} {
		if got := schedule.DefaultRetryAfter(start, c.remaining.String(), 0, c.remaining); got != c.want {
			t.Errorf("%v until the deadline: %v, want %v", c.remaining, got, c.want)
		}
	}
}
