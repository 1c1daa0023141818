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
	restricted := item(ticket, 0, 9)
	restricted.Regions = regions
	return restricted
}

func capacityIn(regions fleet.Regions) CapacityChanged {
	restricted := capacity(1)
	restricted.Regions = regions
	return restricted
}

func capacity(free int) CapacityChanged {
	return CapacityChanged{Model: notes, Ready: 1, Slots: 4, Replicas: []Replica{{Name: "e1", FreeSlots: free}}}
}

func loadRefused(retryAfter time.Duration) LoadRefused {
	return LoadRefused{[]fleet.LoadRefusal{{Model: notes, Reason: "no-allotment", RetryAfter: retryAfter}}}
}

// summarize formats releases as +ticket and refusals as -ticket:reason.
func summarize(effects []Effect) []string {
	summary := []string{}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Release:
			summary = append(summary, fmt.Sprintf("+%d", effect.Item.Ticket))
		case Refuse:
			summary = append(summary, fmt.Sprintf("-%d:%s", effect.Item.Ticket, effect.Reason))
		}
	}
	return summary
}

type scheduledStep struct {
	at      float64
	message Message
	want    []string
}

func run(t *testing.T, core *Core, steps []scheduledStep) {
	t.Helper()
	for index, step := range steps {
		got := summarize(core.Step(at(step.at), step.message))
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
		steps   []scheduledStep
	}{
		"priority, then deadline, then arrival": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 9)}, nil},
			{0, Arrive{item(2, 5, 9)}, nil},
			{0, Arrive{item(3, 5, 8)}, nil},
			{0, Arrive{item(4, 5, 8)}, nil},
			{1, capacity(4), []string{"+3", "+4", "+2", "+1"}},
		}},
		"releases are limited to the free slots, the rest follow with the next capacity": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 9)}, nil},
			{0, Arrive{item(2, 0, 9)}, nil},
			{1, capacity(1), []string{"+1"}},
			{1, Arrive{item(3, 9, 9)}, nil},
			{2, capacity(1), []string{"+3"}},
		}},
		"a waiting item is overtaken for a bounded time only": {options: Options{AgingStep: time.Second}, steps: []scheduledStep{
			{0, Arrive{item(1, 0, 90)}, nil},
			{4, Arrive{item(2, 5, 90)}, nil},
			{6, Arrive{item(3, 5, 90)}, nil},
			{7, capacity(3), []string{"+2", "+1", "+3"}},
		}},
		"a full queue sheds the lowest priority first and refuses it": {options: Options{MaxItems: 2}, steps: []scheduledStep{
			{0, Arrive{item(1, 1, 9)}, nil},
			{0, Arrive{item(2, 2, 9)}, nil},
			{0, Arrive{item(3, 1, 9)}, []string{"-3:queue-full"}},
			{0, Arrive{item(4, 3, 9)}, []string{"-1:shed-for-higher-priority"}},
		}},
		"bytes are bounded": {options: Options{MaxBytes: 15}, steps: []scheduledStep{
			{0, Arrive{item(1, 1, 9)}, nil},
			{0, Arrive{item(2, 1, 9)}, []string{"-2:queue-full"}},
		}},
		"refused at the deadline, not later": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 3)}, nil},
			{2.999, Tick{}, nil},
			{3, Tick{}, []string{"-1:deadline-reached"}},
			{4, capacity(1), nil},
		}},
		"a load refusal without a retry time is final": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, LoadRefused{[]fleet.LoadRefusal{{Model: notes, Reason: "no memory"}}}, []string{"-1:model-cannot-be-loaded"}},
		}},
		"items keep waiting after a transient load refusal if their deadline allows it": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{0, Arrive{item(2, 0, 2.5)}, nil},
			{1, loadRefused(2 * time.Second), []string{"-2:model-cannot-be-loaded"}},
			{2, loadRefused(2 * time.Second), nil},
			{3, capacity(1), []string{"+1"}},
		}},
		"repeated load refusals are final": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, loadRefused(2 * time.Second), nil},
			{3.5, loadRefused(2 * time.Second), nil},
			{4, loadRefused(2 * time.Second), []string{"-1:model-cannot-be-loaded"}},
			{5, Arrive{item(2, 0, 30)}, nil},
			{5.2, loadRefused(2 * time.Second), []string{"-2:model-cannot-be-loaded"}},
			{20, Arrive{item(3, 0, 50)}, nil},
			{21, loadRefused(2 * time.Second), nil},
		}},
		"a ready replica resets the series of load refusals": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, loadRefused(time.Second), nil},
			{2, capacity(1), []string{"+1"}},
			{3, CapacityChanged{Model: notes}, nil},
			{4, Arrive{item(2, 0, 30)}, nil},
			{4.5, loadRefused(time.Second), nil},
		}},
		"a load refusal with a long retry time is final": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, loadRefused(5 * time.Second), []string{"-1:model-cannot-be-loaded"}},
		}},
		"the load time after a refusal counts against the deadline": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{10, capacity(1), []string{"+1"}},
			{11, CapacityChanged{Model: notes}, nil},
			{11, Arrive{item(2, 0, 22)}, nil},
			{11, Arrive{item(3, 0, 25)}, nil},
			{12, loadRefused(2 * time.Second), []string{"-2:model-cannot-be-loaded"}},
		}},
		"a load refusal does not affect items that a ready replica can serve": {steps: []scheduledStep{
			{0, capacity(0), nil},
			{0, Arrive{item(1, 0, 30)}, nil},
			{1, LoadRefused{[]fleet.LoadRefusal{{Model: notes}}}, nil},
			{2, capacity(1), []string{"+1"}},
		}},
		"refused on arrival if the model cannot be loaded before the deadline": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 30)}, nil},
			{20, capacity(1), []string{"+1"}},
			{21, CapacityChanged{Model: notes}, nil},
			{22, Arrive{item(2, 0, 27)}, []string{"-2:deadline-cannot-be-met"}},
			{22, Arrive{item(3, 0, 60)}, nil},
			{36, Arrive{item(4, 0, 45)}, nil},
		}},
		"refused on arrival if the queue is too long for the deadline": {steps: []scheduledStep{
			{0, capacity(0), nil},
			{0, Arrive{item(1, 0, 30)}, nil},
			{0, Arrive{item(2, 0, 30)}, nil},
			{0, Arrive{item(3, 5, 30)}, nil},
			{0, Arrive{item(6, 5, 30)}, nil},
			{2, capacity(1), []string{"+3"}},
			{4, capacity(1), []string{"+6"}},
			{4, Arrive{item(7, 5, 30)}, nil},
			{4, Arrive{item(4, 0, 5)}, []string{"-4:deadline-cannot-be-met"}},
			{4, Arrive{item(5, 9, 5)}, nil},
		}},
		"a requeued request keeps its place and is not refused for its estimated wait": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 90)}, nil},
			{7, Arrive{Item{Ticket: 2, Model: notes, Deadline: at(8), ArrivedAt: at(0), Requeued: true}}, nil},
			{7, capacity(1), []string{"+2"}},
		}},
		"a canceled request is not released": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 9)}, nil},
			{1, Cancel{1}, nil},
			{1, capacity(1), nil},
		}},
		"close refuses waiting and new requests": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 9)}, nil},
			{1, Close{}, []string{"-1:node-stopping"}},
			{2, Arrive{item(2, 0, 9)}, []string{"-2:node-stopping"}},
		}},
		"capacity and load refusals apply to their own regions only": {steps: []scheduledStep{
			{0, Arrive{itemIn(1, "north")}, nil},
			{0, Arrive{itemIn(2, "south")}, nil},
			{0, Arrive{itemIn(3, "")}, nil},
			{1, capacity(1), []string{"+3"}},
			{2, capacityIn("south"), []string{"+2"}},
			{3, LoadRefused{[]fleet.LoadRefusal{{Model: notes, Reason: "no-zone-in-regions"}}}, nil},
			{3, LoadRefused{[]fleet.LoadRefusal{{Model: notes, Regions: "north", Reason: "no-zone-in-regions"}}}, []string{"-1:model-cannot-be-loaded"}},
		}},
		"a reopened queue accepts requests": {steps: []scheduledStep{
			{0, Arrive{item(1, 0, 9)}, nil},
			{1, Close{Reason: ReasonEvacuated}, []string{"-1:all-zones-evacuated"}},
			{2, Arrive{item(2, 0, 9)}, []string{"-2:all-zones-evacuated"}},
			{3, Open{}, nil},
			{3, Arrive{item(3, 0, 9)}, nil},
			{4, capacity(1), []string{"+3"}},
		}},
		"an item whose adapter is not loaded does not block others": {steps: []scheduledStep{
			{0, Arrive{Item{Ticket: 1, Model: notes, Adapter: "danish", Priority: 9, Deadline: at(9)}}, nil},
			{0, Arrive{item(2, 0, 9)}, nil},
			{1, capacity(1), []string{"+2"}},
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
	core.Step(at(20), capacity(1))
	core.Step(at(21), CapacityChanged{Model: notes})
	effects := core.Step(at(22), Arrive{item(2, 0, 27)})
	if refuse, isRefuse := effects[0].(Refuse); !isRefuse || refuse.RetryAfter != 20*time.Second {
		t.Fatalf("got %+v", effects)
	}
	want := ReportWants{Wants: []fleet.Want{{Model: notes, Waiting: 1, Arrivals: 1, Deadline: at(42)}}}
	if diff := cmp.Diff(want, effects[1]); diff != "" {
		t.Errorf("a refused request must still be reported as a want for its model: %s", diff)
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
	want(2.1, capacity(9))
	want(2.2, Arrive{item(3, 0, 9)})
	served := fleet.Want{Model: notes, Node: "n", Zone: "a", Arrivals: 1}
	want(3, Tick{}, served)
	want(4, Tick{})
	if wake := core.NextWake(); !wake.IsZero() {
		t.Errorf("NextWake is %v, want zero if nothing is due", wake)
	}
}
