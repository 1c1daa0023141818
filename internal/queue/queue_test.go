package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

var (
	epoch = time.Unix(1_000_000_000, 0)
	notes = fleet.ModelVersion{Model: "notes", Version: "v1"}
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func item(ticket Ticket, priority int, deadline float64) Item {
	return Item{Ticket: ticket, Model: notes, Priority: priority, Deadline: at(deadline), Bytes: 10}
}

func itemIn(ticket Ticket, regions fleet.Regions) Item {
	bound := item(ticket, 0, 9)
	bound.Regions = regions
	return bound
}

func roomIn(regions fleet.Regions) CapacityChanged {
	bound := room(1)
	bound.Regions = regions
	return bound
}

func room(free int) CapacityChanged {
	return CapacityChanged{Model: notes, Ready: 1, Slots: 4, Replicas: []Replica{{Name: "e1", FreeSlots: free}}}
}

func refusedFor(wait time.Duration) LoadRefused {
	return LoadRefused{[]fleet.LoadRefusal{{Model: notes, Reason: "no-allotment", RetryAfter: wait}}}
}

// brief shows releases as +ticket and refusals as -ticket:reason.
func brief(effects []Effect) []string {
	shown := []string{}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Release:
			shown = append(shown, fmt.Sprintf("+%d", effect.Item.Ticket))
		case Refuse:
			shown = append(shown, fmt.Sprintf("-%d:%s", effect.Item.Ticket, effect.Reason))
		}
	}
	return shown
}

type scheduled struct {
	at      float64
	message Message
	want    []string
}

func run(t *testing.T, core *Core, steps []scheduled) {
	t.Helper()
	for index, step := range steps {
		got := brief(core.Step(at(step.at), step.message))
		if step.want == nil {
			step.want = []string{}
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Fatalf("step %d at %v: %s", index, step.at, diff)
		}
	}
}

func TestOrderAndBounds(t *testing.T) {
	tests := map[string]struct {
		options Options
		steps   []scheduled
	}{
		"priority, then deadline, then arrival": {steps: []scheduled{
			{0, Arrive{item(1, 0, 9)}, nil},
			{0, Arrive{item(2, 5, 9)}, nil},
			{0, Arrive{item(3, 5, 8)}, nil},
			{0, Arrive{item(4, 5, 8)}, nil},
			{1, room(4), []string{"+3", "+4", "+2", "+1"}},
		}},
		"release only up to the room, the rest at the next": {steps: []scheduled{
			{0, Arrive{item(1, 0, 9)}, nil},
			{0, Arrive{item(2, 0, 9)}, nil},
			{1, room(1), []string{"+1"}},
			{1, Arrive{item(3, 9, 9)}, nil},
			{2, room(1), []string{"+3"}},
		}},
		"an item that waits is overtaken for a bounded time only": {options: Options{AgingStep: time.Second}, steps: []scheduled{
			{0, Arrive{item(1, 0, 90)}, nil},
			{4, Arrive{item(2, 5, 90)}, nil},
			{6, Arrive{item(3, 5, 90)}, nil},
			{7, room(3), []string{"+2", "+1", "+3"}},
		}},
		"full: lowest priority goes first and is told": {options: Options{MaxItems: 2}, steps: []scheduled{
			{0, Arrive{item(1, 1, 9)}, nil},
			{0, Arrive{item(2, 2, 9)}, nil},
			{0, Arrive{item(3, 1, 9)}, []string{"-3:queue-full"}},
			{0, Arrive{item(4, 3, 9)}, []string{"-1:shed-for-higher-priority"}},
		}},
		"bytes are bounded": {options: Options{MaxBytes: 15}, steps: []scheduled{
			{0, Arrive{item(1, 1, 9)}, nil},
			{0, Arrive{item(2, 1, 9)}, []string{"-2:queue-full"}},
		}},
		"refused at the deadline, not after": {steps: []scheduled{
			{0, Arrive{item(1, 0, 3)}, nil},
			{2.999, Tick{}, nil},
			{3, Tick{}, []string{"-1:deadline-reached"}},
			{4, room(1), nil},
		}},
		"a refusal of the load is final at once": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, LoadRefused{[]fleet.LoadRefusal{{Model: notes, Reason: "no memory"}}}, []string{"-1:model-cannot-be-loaded"}},
		}},
		"a refusal that may soon be over is waited for, as the deadline allows": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{0, Arrive{item(2, 0, 2.5)}, nil},
			{1, refusedFor(2 * time.Second), []string{"-2:model-cannot-be-loaded"}},
			{2, refusedFor(2 * time.Second), nil},
			{3, room(1), []string{"+1"}},
		}},
		"a refusal that is repeated is final": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, refusedFor(2 * time.Second), nil},
			{3.5, refusedFor(2 * time.Second), nil},
			{4, refusedFor(2 * time.Second), []string{"-1:model-cannot-be-loaded"}},
			{5, Arrive{item(2, 0, 30)}, nil},
			{5.2, refusedFor(2 * time.Second), []string{"-2:model-cannot-be-loaded"}},
			{20, Arrive{item(3, 0, 50)}, nil},
			{21, refusedFor(2 * time.Second), nil},
		}},
		"a refusal begins anew once a replica was ready": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, refusedFor(time.Second), nil},
			{2, room(1), []string{"+1"}},
			{3, CapacityChanged{Model: notes}, nil},
			{4, Arrive{item(2, 0, 30)}, nil},
			{4.5, refusedFor(time.Second), nil},
		}},
		"a refusal for longer than it would be waited for is final at once": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, refusedFor(5 * time.Second), []string{"-1:model-cannot-be-loaded"}},
		}},
		"the load that follows a refusal counts against the deadline": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{10, room(1), []string{"+1"}},
			{11, CapacityChanged{Model: notes}, nil},
			{11, Arrive{item(2, 0, 22)}, nil},
			{11, Arrive{item(3, 0, 25)}, nil},
			{12, refusedFor(2 * time.Second), []string{"-2:model-cannot-be-loaded"}},
		}},
		"a refusal of the load leaves what a ready replica serves": {steps: []scheduled{
			{0, room(0), nil},
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, LoadRefused{[]fleet.LoadRefusal{{Model: notes}}}, nil},
			{2, room(1), []string{"+1"}},
		}},
		"what cannot be loaded before its deadline is refused at once": {steps: []scheduled{
			{0, Arrive{item(1, 0, 30)}, nil},
			{20, room(1), []string{"+1"}},
			{21, CapacityChanged{Model: notes}, nil},
			{22, Arrive{item(2, 0, 27)}, []string{"-2:deadline-cannot-be-met"}},
			{22, Arrive{item(3, 0, 60)}, nil},
			{36, Arrive{item(4, 0, 45)}, nil},
		}},
		"what cannot be reached in the queue is refused at once": {steps: []scheduled{
			{0, room(0), nil},
			{0, Arrive{item(1, 0, 30)}, nil},
			{0, Arrive{item(2, 0, 30)}, nil},
			{0, Arrive{item(3, 5, 30)}, nil},
			{0, Arrive{item(6, 5, 30)}, nil},
			{2, room(1), []string{"+3"}},
			{4, room(1), []string{"+6"}},
			{4, Arrive{item(7, 5, 30)}, nil},
			{4, Arrive{item(4, 0, 5)}, []string{"-4:deadline-cannot-be-met"}},
			{4, Arrive{item(5, 9, 5)}, nil},
		}},
		"a request put back keeps its place and is not estimated": {steps: []scheduled{
			{0, Arrive{item(1, 0, 90)}, nil},
			{7, Arrive{Item{Ticket: 2, Model: notes, Deadline: at(8), ArrivedAt: at(0), Requeued: true}}, nil},
			{7, room(1), []string{"+2"}},
		}},
		"the caller went away": {steps: []scheduled{
			{0, Arrive{item(1, 0, 9)}, nil},
			{1, Cancel{1}, nil},
			{1, room(1), nil},
		}},
		"close refuses all at once": {steps: []scheduled{
			{0, Arrive{item(1, 0, 9)}, nil},
			{1, Close{}, []string{"-1:node-stopping"}},
			{2, Arrive{item(2, 0, 9)}, []string{"-2:node-stopping"}},
		}},
		"room in other regions is no room": {steps: []scheduled{
			{0, Arrive{itemIn(1, "north")}, nil},
			{0, Arrive{itemIn(2, "south")}, nil},
			{0, Arrive{itemIn(3, "")}, nil},
			{1, room(1), []string{"+3"}},
			{2, roomIn("south"), []string{"+2"}},
			{3, LoadRefused{[]fleet.LoadRefusal{{Model: notes, Reason: "no-zone-in-regions"}}}, nil},
			{3, LoadRefused{[]fleet.LoadRefusal{{Model: notes, Regions: "north", Reason: "no-zone-in-regions"}}}, []string{"-1:model-cannot-be-loaded"}},
		}},
		"a queue that is opened again takes requests": {steps: []scheduled{
			{0, Arrive{item(1, 0, 9)}, nil},
			{1, Close{Reason: ReasonEvacuated}, []string{"-1:all-zones-evacuated"}},
			{2, Arrive{item(2, 0, 9)}, []string{"-2:all-zones-evacuated"}},
			{3, Open{}, nil},
			{3, Arrive{item(3, 0, 9)}, nil},
			{4, room(1), []string{"+3"}},
		}},
		"an adapter that no replica holds blocks nobody": {steps: []scheduled{
			{0, Arrive{Item{Ticket: 1, Model: notes, Adapter: "danish", Priority: 9, Deadline: at(9)}}, nil},
			{0, Arrive{item(2, 0, 9)}, nil},
			{1, room(1), []string{"+2"}},
			{2, CapacityChanged{Model: notes, Ready: 1, Replicas: []Replica{{Name: "e1", FreeSlots: 1, Adapters: []fleet.AdapterName{"danish"}}}}, []string{"+1"}},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { run(t, New(test.options), test.steps) })
	}
}

func TestRetryAfterIsTheLikelyWait(t *testing.T) {
	core := New(Options{})
	core.Step(at(0), Arrive{item(1, 0, 60)})
	core.Step(at(20), room(1))
	core.Step(at(21), CapacityChanged{Model: notes})
	effects := core.Step(at(22), Arrive{item(2, 0, 27)})
	if refuse, isRefuse := effects[0].(Refuse); !isRefuse || refuse.RetryAfter != 20*time.Second {
		t.Fatalf("got %+v", effects)
	}
	want := ReportWants{Wants: []fleet.Want{{Model: notes, Waiting: 1, Arrivals: 1, Deadline: at(42)}}}
	if diff := cmp.Diff(want, effects[1]); diff != "" {
		t.Errorf("a model that loads slowly must be wanted all the same: %s", diff)
	}
}

func TestWantsAtOnceThenEachInterval(t *testing.T) {
	core := New(Options{Node: "n", Zone: "a"})
	want := func(seconds float64, message Message, wants ...fleet.Want) {
		t.Helper()
		var got []fleet.Want
		for _, effect := range core.Step(at(seconds), message) {
			if report, isReport := effect.(ReportWants); isReport {
				got = append(got, report.Wants...)
			}
		}
		if diff := cmp.Diff(wants, got); diff != "" {
			t.Fatalf("at %v: %s", seconds, diff)
		}
	}
	one := fleet.Want{Model: notes, Node: "n", Zone: "a", Waiting: 1, Priority: 2, Deadline: at(9), Arrivals: 1}
	want(0, Arrive{item(1, 2, 9)}, one)
	want(0.5, Arrive{item(2, 3, 8)})
	two := fleet.Want{Model: notes, Node: "n", Zone: "a", Waiting: 2, Priority: 3, Deadline: at(8), Arrivals: 1}
	want(1, Tick{}, two)
	two.Arrivals = 0
	want(2, Tick{}, two)
	want(2.1, room(9))
	want(2.2, Arrive{item(3, 0, 9)})
	served := fleet.Want{Model: notes, Node: "n", Zone: "a", Arrivals: 1}
	want(3, Tick{}, served)
	want(4, Tick{})
	if wake := core.NextWake(); !wake.IsZero() {
		t.Errorf("nothing is left to do, yet the wake is %v", wake)
	}
}
