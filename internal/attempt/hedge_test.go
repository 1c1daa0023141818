package attempt

import (
	"testing"
	"time"
)

func TestHedge(t *testing.T) {
	const after = time.Second
	hedged := []step{
		{Assigned{"e1"}, "open e1 #1 from 0"},
		{Tick{}, "hedge without [e1]"},
	}
	bothSent := append(hedged[:2:2], step{HedgeAssigned{"e2"}, "open e2 #2 from 0"})
	tests := map[string]struct {
		change func(*Options)
		steps  []step
	}{
		"the second is faster": {nil, append(bothSent[:3:3],
			step{chunk(2, 2, 0), "cancel e1 #1; drop 1 blamed true; 0"},
			step{chunk(1, 1, 0), ""},
			step{finishChunk(2, 2, 1), ""},
			step{Ended{2, true}, "finish ok  after 1"})},
		"the first is faster after all": {nil, append(bothSent[:3:3],
			step{chunk(1, 1, 0), "cancel e2 #2; drop 2 blamed false; 0"},
			step{chunk(2, 2, 0), ""},
			step{finishChunk(1, 1, 1), ""},
			step{Ended{1, true}, "finish ok  after 1"})},
		"the first responds before a second is assigned": {nil, append(hedged[:2:2],
			step{chunk(1, 1, 0), "0"},
			step{HedgeAssigned{"e2"}, ""})},
		"the same back end is not hedged to": {nil, append(hedged[:2:2],
			step{HedgeAssigned{"e1"}, ""})},
		"the first fails, the second continues": {nil, append(bothSent[:3:3],
			step{Failure{Connection: 1, Evidence: MaybeSent}, "cancel e1 #1; drop 1 blamed true"},
			step{chunk(2, 2, 0), "0"})},
		"the second was never sent": {nil, append(bothSent[:3:3],
			step{Failure{Connection: 2, Evidence: NeverSent}, "drop 2 blamed true"},
			step{chunk(1, 1, 0), "0"})},
		"both fail": {nil, append(bothSent[:3:3],
			step{Failure{Connection: 2, Evidence: MaybeSent}, "cancel e2 #2; drop 2 blamed true"},
			step{Failure{Connection: 1, Evidence: ErrorStatus}, "reassign without [e1]"},
			step{Assigned{"e3"}, "open e3 #3 from 0"})},
		"the caller disconnects": {nil, append(bothSent[:3:3],
			step{CallerGone{}, "cancel e2 #2; drop 2 blamed false; cancel e1 #1; finish unknown caller-gone after 0"})},
		"disabled": {func(o *Options) { o.HedgeAfter = 0 }, []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{Tick{}, ""}}},
		"not repeatable": {func(o *Options) { o.Repeatable = false }, []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{Tick{}, ""}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			options := streamOptions()
			options.HedgeAfter = after
			if test.change != nil {
				test.change(&options)
			}
			core := New(options)
			now := epoch
			for index, step := range test.steps {
				if _, tick := step.message.(Tick); tick {
					now = now.Add(after)
				}
				if got := describe(core.Step(now, step.message)); got != step.want {
					t.Fatalf("step %d: %q, want %q", index, got, step.want)
				}
			}
		})
	}
}

// A deadline that falls on the hedge delay ends the request, and a retry is not hedged again.
func TestHedgeOnceAndBeforeTheDeadline(t *testing.T) {
	options := streamOptions()
	options.HedgeAfter = time.Second
	core := New(options)
	core.Step(epoch, Assigned{"e1"})
	if wake := core.NextWake(); !wake.Equal(epoch.Add(time.Second)) {
		t.Fatalf("wakes at %v, want the hedge delay", wake)
	}
	core.Step(epoch.Add(time.Second), Tick{})
	core.Step(epoch.Add(time.Second), Failure{Connection: 1, Evidence: ErrorStatus})
	if wake := core.NextWake(); !wake.Equal(options.Deadline) {
		t.Errorf("the search for another back end ends at %v, want the deadline", wake)
	}
	core.Step(epoch.Add(2*time.Second), Assigned{"e2"})
	if wake := core.NextWake(); !wake.Equal(options.Deadline) {
		t.Errorf("a retry wakes at %v, want the deadline", wake)
	}

	quick := New(options)
	quick.Step(epoch, Assigned{"e1"})
	quick.Step(epoch, chunk(1, 1, 0))
	if wake := quick.NextWake(); !wake.Equal(epoch.Add(DefaultStallTimeout)) {
		t.Errorf("wakes at %v after the first token, want the stall timeout", wake)
	}

	options.HedgeAfter = time.Minute
	late := New(options)
	late.Step(epoch, Assigned{"e1"})
	if got := describe(late.Step(options.Deadline, Tick{})); got != "cancel e1 #1; finish unknown deadline-reached after 0" {
		t.Errorf("at the deadline: got %q", got)
	}
}
