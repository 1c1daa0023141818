package eventstream

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// play passes on the events of runs, each of which goes on behind the last ID, until one is out of order. An
// event is written as ID=TEXT, and without an ID as =TEXT.
func play(steps Steps, runs ...string) (passed []string, err error) {
	var order Order
	for number, run := range runs {
		if number > 0 {
			order.Resume(order.LastID())
		}
		for word := range strings.FieldsSeq(run) {
			id, data, _ := strings.Cut(word, "=")
			text := fmt.Sprintf("id: %s\ndata: %s\n\n", id, data)
			if id == "" {
				text = fmt.Sprintf("data: %s\n\n", data)
			}
			pass, err := order.Next(Parse([]byte(text)), []byte(text), steps)
			if err != nil {
				return passed, err
			}
			if pass {
				passed = append(passed, word)
			}
		}
	}
	if order.IsShort() {
		return passed, errShort
	}
	return passed, nil
}

var errShort = errors.New("the last run is short")

// TestRunsGoOnBehindWhatTheCallerHas guards against events that come twice, out of order or not at all where
// a run goes on with a stream.
func TestRunsGoOnBehindWhatTheCallerHas(t *testing.T) {
	for name, c := range map[string]struct {
		steps Steps
		runs  []string
		want  string
		err   error
	}{
		"just behind":                           {StepsOfOne, []string{"1=a 2=b", "3=c 4=d"}, "1=a 2=b 3=c 4=d", nil},
		"from the first event":                  {StepsOfOne, []string{"1=a 2=b", "1=a 2=b 3=c"}, "1=a 2=b", ErrNotRising},
		"with the last event":                   {StepsOfOne, []string{"1=a 2=b", "2=b 3=c"}, "1=a 2=b", ErrNotRising},
		"without one event":                     {StepsOfOne, []string{"1=a 2=b", "4=d"}, "1=a 2=b", ErrGap},
		"without one, IDs rise by any amount":   {StepsUnknown, []string{"1=a 4=b", "9=c"}, "1=a 4=b 9=c", nil},
		"a gap within a run":                    {StepsOfOne, []string{"1=a 4=b"}, "1=a 4=b", nil},
		"a number that goes back within a run":  {StepsOfOne, []string{"1=a 2=b 1=c"}, "1=a 2=b", ErrNotRising},
		"as numbers, not as texts":              {StepsOfOne, []string{"9=a", "10=b"}, "9=a 10=b", nil},
		"IDs that are no numbers":               {StepsUnknown, []string{"x=a y=b", "z=c"}, "x=a y=b z=c", nil},
		"the last ID that is no number":         {StepsUnknown, []string{"x=a y=b", "y=b z=c"}, "x=a y=b", ErrNotRising},
		"with events that have no ID":           {StepsOfOne, []string{"1=a =b =c", "=b =c 2=d"}, "1=a =b =c 2=d", nil},
		"with some of them, and the next":       {StepsOfOne, []string{"1=a =b =c", "=b 2=d"}, "1=a =b =c", ErrOtherEvents},
		"with other events that have no ID":     {StepsOfOne, []string{"1=a =b", "=x =c"}, "1=a =b", ErrOtherEvents},
		"no event has an ID":                    {StepsUnknown, []string{"=a =b", "=a =b =c"}, "=a =b =c", nil},
		"no event has an ID, three runs":        {StepsUnknown, []string{"=a", "=a =b", "=a =b =c"}, "=a =b =c", nil},
		"a run breaks off within what is known": {StepsUnknown, []string{"=a =b", "=a", "=a =b =c"}, "=a =b =c", nil},
		"a run ends within what is known":       {StepsUnknown, []string{"=a =b", "=a"}, "=a =b", errShort},
		"the first run has brought nothing":     {StepsOfOne, []string{"", "5=e 6=f"}, "5=e 6=f", nil},
		"the run that goes on has nothing more": {StepsOfOne, []string{"1=a 2=b", ""}, "1=a 2=b", nil},
		"a first ID behind events without one":  {StepsOfOne, []string{"=a =b", "=a =b 3=c"}, "=a =b 3=c", nil},
		"an ID in place of events without one":  {StepsOfOne, []string{"=a =b", "3=c"}, "=a =b", ErrOtherEvents},
		"number behind an ID that is no number": {StepsUnknown, []string{"x=a", "1=b"}, "x=a 1=b", nil},
		"number that does not fit into 64 bits": {StepsUnknown, []string{"99999999999999999999=a", "99999999999999999999=a"}, "99999999999999999999=a", ErrNotRising},
	} {
		t.Run(name, func(t *testing.T) {
			passed, err := play(c.steps, c.runs...)
			if got := strings.Join(passed, " "); got != c.want || !errors.Is(err, c.err) {
				t.Errorf("passed on %q, error %v, want %q and %v", got, err, c.want, c.err)
			}
		})
	}
}

// TestCallersThatHaveEventsGetTheNextOnes guards against events that a caller has from an earlier request.
func TestCallersThatHaveEventsGetTheNextOnes(t *testing.T) {
	for id, want := range map[string]error{"3": nil, "2": ErrNotRising, "1": ErrNotRising, "4": ErrGap} {
		var order Order
		order.Resume("2")
		if _, err := order.Next(Event{ID: id, HasFields: true}, nil, StepsOfOne); !errors.Is(err, want) {
			t.Errorf("event %s: %v, want %v", id, err, want)
		}
	}
}

func TestEventsWithoutIDAreRememberedWithinBounds(t *testing.T) {
	var order Order
	text := []byte("data: x\n\n")
	for range maxUnidentified + 1 {
		if !order.CanResume() {
			t.Fatal("too few are remembered")
		}
		if _, err := order.Next(Parse(text), text, StepsUnknown); err != nil {
			t.Fatal(err)
		}
	}
	if order.CanResume() || len(order.unidentified) > maxUnidentified {
		t.Errorf("%d are remembered", len(order.unidentified))
	}
	if _, err := order.Next(Event{ID: "1", HasFields: true}, nil, StepsUnknown); err != nil || !order.CanResume() {
		t.Errorf("an ID does not end that: %v", err)
	}
}

func TestStepsAreLearned(t *testing.T) {
	record := func(ones, twos int) Steps {
		var counter, all StepCounter
		for range ones {
			counter.Record("1", "2")
		}
		for range twos {
			counter.Record("1", "3")
		}
		counter.Record("x", "y")
		counter.Record("", "7")
		all.Add(counter)
		return all.Steps()
	}
	if record(minSteps-1, 0) != StepsUnknown || record(minSteps, 0) != StepsOfOne || record(minSteps, 1) != StepsUnknown || record(200, 2) != StepsOfOne {
		t.Error("steps of one are not told from others")
	}
	counter, run := StepCounter{}, StepCounter{ones: 99}
	for range 1_000_000 {
		counter.Add(run)
	}
	if counter.Add(StepCounter{others: 99}); counter.Steps() != StepsUnknown {
		t.Error("a long history hides that the steps have changed")
	}
}
