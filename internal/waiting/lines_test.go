package waiting

import (
	"testing"
	"time"
)

// TestCallersComeBackOneAfterTheOther: all were told the same time, and came back at
// the same instant.
func TestCallersComeBackOneAfterTheOther(t *testing.T) {
	begin := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	steps := []struct {
		name     string
		after    time.Duration
		wanted   string
		priority int
		ready    time.Duration
		want     time.Duration
	}{
		{"the first comes when a place is expected", 0, "m", 1, time.Second, time.Second},
		{"the next behind it", 0, "m", 1, time.Second, time.Second + returnGap},
		{"a more urgent one before both", 0, "m", 0, time.Second, time.Second},
		{"a less urgent one behind all", 0, "m", 2, time.Second, time.Second + 2*returnGap},
		{"who wants something else is in another line", 0, "n", 1, time.Second, time.Second},
		{"a place that comes later is later", 0, "m", 1, 2 * time.Second, 2 * time.Second},
		{"who was told a time that is past stands in no line", 3 * time.Second, "m", 2, time.Second, time.Second},
	}
	line := NewRetrySchedule()
	for _, step := range steps {
		if got := line.RetryAfter(begin.Add(step.after), step.wanted, step.priority, step.ready); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
	for range 1000 {
		line.RetryAfter(begin, "many", 0, time.Second)
	}
	if got := line.RetryAfter(begin, "many", 0, time.Second); got != time.Second+longestLine {
		t.Errorf("the last of many is told %v, want %v", got, time.Second+longestLine)
	}
	line.RetryAfter(begin.Add(time.Hour), "many", 0, time.Second)
	if got := len(line.last); got != 1 {
		t.Errorf("%d lines are kept, want one", got)
	}
}

// TestCallersComeBackWhileThereIsTime: who has little left is told to come back sooner.
func TestCallersComeBackWhileThereIsTime(t *testing.T) {
	begin := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	lines := NewRetrySchedule()
	for _, c := range []struct{ left, want time.Duration }{
		{time.Minute, comeBackTime}, {300 * time.Millisecond, 100 * time.Millisecond}, {0, time.Millisecond}, {-time.Second, time.Millisecond},
	} {
		if got := lines.DefaultRetryAfter(begin, c.left.String(), 0, c.left); got != c.want {
			t.Errorf("with %v left: %v, want %v", c.left, got, c.want)
		}
	}
}
