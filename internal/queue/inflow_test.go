package queue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestThoseThatWillBeOvertakenAreRefusedAtOnce: one request per second is released
// and one of a higher priority arrives, so that a request of a lower priority with
// a near deadline cannot be reached in time.
func TestThoseThatWillBeOvertakenAreRefusedAtOnce(t *testing.T) {
	core := New(Options{})
	core.Step(at(0), capacity(0))
	core.Step(at(0), Arrive{item(1, 5, 100)})
	nextTicket := Ticket(2)
	for second := 1.0; second <= 10; second++ {
		core.Step(at(second-0.5), Arrive{item(nextTicket, 5, second+100)})
		nextTicket++
		core.Step(at(second), capacity(1))
	}
	tests := map[string]struct {
		item Item
		want []string
	}{
		"lower priority, near deadline": {item(100, 0, 13), []string{"-100:deadline-cannot-be-met"}},
		"same priority, near deadline":  {item(101, 5, 13), []string{}},
		"lower priority, far deadline":  {item(102, 0, 100), []string{}},
	}
	for name, test := range tests {
		got := summarize(core.Step(at(10), Arrive{test.item}))
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		core.Step(at(10), Cancel{test.item.Ticket})
	}
}

func TestInflowFollowsAndFades(t *testing.T) {
	var rates arrivalRates
	for tenth := range 100 {
		rates.record(epoch.Add(time.Duration(tenth)*100*time.Millisecond), 1)
	}
	rates.update(at(10))
	loaded := rates.withOvertaking(time.Second, 10*time.Millisecond, DefaultAgingStep, 0)
	if loaded < 1050*time.Millisecond || loaded > 1120*time.Millisecond {
		t.Errorf("a wait of 1s becomes %v if overtaking arrivals are a tenth of the release rate", loaded)
	}
	if unchanged := rates.withOvertaking(time.Second, 10*time.Millisecond, DefaultAgingStep, 1); unchanged != time.Second {
		t.Errorf("a wait of 1s becomes %v, but the same priority does not overtake", unchanged)
	}
	rates.update(at(70))
	if faded := rates.withOvertaking(time.Second, 10*time.Millisecond, DefaultAgingStep, 0); faded > 1001*time.Millisecond {
		t.Errorf("a wait of 1s becomes %v after a minute without arrivals", faded)
	}
}
