package relay

import (
	"testing"
	"time"
)

func TestExpectations(t *testing.T) {
	cases := []struct {
		name     string
		expected expectation
		want     time.Duration
	}{
		{"an announced load is late by little", expectation{readyIn: 2 * time.Second, announced: true}, 2300 * time.Millisecond},
		{"one that nobody has begun may take half as long again", expectation{readyIn: 2 * time.Second}, 3 * time.Second},
		{"what is overdue takes as long again", expectation{announced: true, overdue: 700 * time.Millisecond}, 700 * time.Millisecond},
	}
	for _, c := range cases {
		if got := c.expected.atWorst(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	x := &exchange{}
	if first := x.expect(0, true); first.overdue != 0 {
		t.Errorf("overdue by %v at first", first.overdue)
	}
	x.overdueSince = x.overdueSince.Add(-time.Second)
	if later := x.expect(0, true); later.overdue < time.Second {
		t.Errorf("overdue by %v after a second", later.overdue)
	}
	if again := x.expect(time.Second, true); again.overdue != 0 || !x.overdueSince.IsZero() {
		t.Errorf("overdue by %v though it was announced anew", again.overdue)
	}
}
