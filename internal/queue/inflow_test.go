package queue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestThoseThatWillBeOvertakenAreRefusedAtOnce: one request a second is
// released, and as many of a higher priority come in.
func TestThoseThatWillBeOvertakenAreRefusedAtOnce(t *testing.T) {
	core := New(Options{})
	core.Step(at(0), room(0))
	core.Step(at(0), Arrive{item(1, 5, 100)})
	ticket := Ticket(2)
	for second := 1.0; second <= 10; second++ {
		core.Step(at(second-0.5), Arrive{item(ticket, 5, second+100)})
		ticket++
		core.Step(at(second), room(1))
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
		got := brief(core.Step(at(10), Arrive{test.item}))
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		core.Step(at(10), Cancel{test.item.Ticket})
	}
}

func TestInflowFollowsAndFades(t *testing.T) {
	var in inflow
	for tenth := range 100 {
		in.note(epoch.Add(time.Duration(tenth)*100*time.Millisecond), 1)
	}
	in.roll(at(10))
	full := in.withOvertaking(time.Second, 10*time.Millisecond, DefaultAgingStep, 0)
	if full < 1050*time.Millisecond || full > 1120*time.Millisecond {
		t.Errorf("a wait of 1 s becomes %v with a tenth of the pace overtaking", full)
	}
	if same := in.withOvertaking(time.Second, 10*time.Millisecond, DefaultAgingStep, 1); same != time.Second {
		t.Errorf("the same priority does not overtake, but a wait of 1 s becomes %v", same)
	}
	in.roll(at(70))
	if faded := in.withOvertaking(time.Second, 10*time.Millisecond, DefaultAgingStep, 0); faded > 1001*time.Millisecond {
		t.Errorf("after a minute without arrivals a wait of 1 s becomes %v", faded)
	}
}
