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
		"names that start again":                {StepsUnknown, []string{"x=a y=b", "x=a y=b z=c"}, "x=a y=b", ErrNotRising},
		"numbered names":                        {StepsOfOne, []string{"e-9=a", "e-10=b"}, "e-9=a e-10=b", nil},
		"numbered names that start again":       {StepsOfOne, []string{"e-1=a e-2=b e-3=c", "e-2=b"}, "e-1=a e-2=b e-3=c", ErrNotRising},
		"numbered names without one event":      {StepsOfOne, []string{"e-1=a e-2=b", "e-4=d"}, "e-1=a e-2=b", ErrGap},
		"leading zeros":                         {StepsOfOne, []string{"08=a 9=b", "010=c"}, "08=a 9=b 010=c", nil},
		"leading zeros, with the last event":    {StepsOfOne, []string{"00=a 01=b", "1=b"}, "00=a 01=b", ErrNotRising},
		"steps of ten":                          {10, []string{"10=a 20=b", "30=c"}, "10=a 20=b 30=c", nil},
		"steps of ten without one event":        {10, []string{"10=a 20=b", "40=c"}, "10=a 20=b", ErrGap},
		"steps of ten, a smaller one":           {10, []string{"10=a 20=b", "24=c"}, "10=a 20=b 24=c", nil},
		"over 64 bits":                          {StepsOfOne, []string{"99999999999999999999=a", "100000000000000000000=b"}, "99999999999999999999=a 100000000000000000000=b", nil},
		"over 64 bits, starting again":          {StepsOfOne, []string{"99999999999999999998=a 99999999999999999999=b", "99999999999999999998=a"}, "99999999999999999998=a 99999999999999999999=b", ErrNotRising},
		"over 64 bits, without one event":       {StepsOfOne, []string{"99999999999999999999=a", "100000000000000000001=b"}, "99999999999999999999=a", ErrGap},
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

// TestStepsAreLearned guards against runs that leave events out, since nothing is known of their IDs, and against
// refusing those whose IDs rise by different amounts.
func TestStepsAreLearned(t *testing.T) {
	record := func(counts map[string]int) Steps {
		var counter, all StepCounter
		for id, count := range counts {
			for range count {
				counter.Record("1", id)
			}
		}
		counter.Record("x", "y")
		counter.Record("", "7")
		all.Add(counter)
		return all.Steps()
	}
	for name, c := range map[string]struct {
		counts map[string]int
		want   Steps
	}{
		"too few":           {map[string]int{"2": minSteps - 1}, StepsUnknown},
		"enough":            {map[string]int{"2": minSteps}, StepsOfOne},
		"another one":       {map[string]int{"2": minSteps, "3": 1}, StepsUnknown},
		"two of many":       {map[string]int{"2": 200, "3": 2}, StepsOfOne},
		"steps of ten":      {map[string]int{"11": minSteps}, 10},
		"as many sizes":     {map[string]int{"2": 2, "3": 2, "4": 2, "5": 2, "6": 2, "7": 2}, StepsUnknown},
		"steps of any size": {map[string]int{"2": 32, "3": 32, "4": 32, "5": 32, "6": 32, "7": 32}, StepsUnknown},
	} {
		if got := record(c.counts); got != c.want {
			t.Errorf("%s: steps of %d, want %d", name, got, c.want)
		}
	}
	counted := func(id string) (run StepCounter) {
		for range 99 {
			run.Record("1", id)
		}
		return run
	}
	var counter StepCounter
	for range 100_000 {
		counter.Add(counted("2"))
	}
	if counter.Add(counted("6")); counter.Steps() != StepsUnknown {
		t.Error("a long history hides that the steps have changed")
	}
	for range 1000 {
		counter.Add(counted("6"))
	}
	if counter.Steps() != 5 {
		t.Errorf("steps of %d after long, want 5", counter.Steps())
	}
}

// TestLongIDsCostNoArithmetic guards against servers whose IDs are as long as events may be.
func TestLongIDsCostNoArithmetic(t *testing.T) {
	long := strings.Repeat("9", 1<<20)
	if step := stepBetween(long[:len(long)-1]+"8", long); step != 0 {
		t.Errorf("a step of %d", step)
	}
	var order Order
	order.Resume(long)
	if _, err := order.Next(Event{ID: "1" + long, HasFields: true}, nil, StepsOfOne); err != nil {
		t.Error(err)
	}
	if _, err := order.Next(Event{ID: long, HasFields: true}, nil, StepsOfOne); !errors.Is(err, ErrNotRising) {
		t.Errorf("%v, want %v", err, ErrNotRising)
	}
}

// FuzzOrder plays two runs of arbitrary events: IDs that can be compared rise from one event that is passed on to the
// next, over the joint as well.
func FuzzOrder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\ndata: b\n\n"), []byte("data: b\n\nid: 2\n\n"), uint8(1))
	f.Add([]byte("id: e-9\n\nid: e-10\n\n"), []byte("id: e-9\n\n"), uint8(0))
	f.Add([]byte("id: 99999999999999999999\n\n"), []byte("id: 100000000000000000000\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, first, second []byte, steps uint8) {
		var order Order
		last := ""
		for _, run := range [][]byte{first, second} {
			order.Resume(order.LastID())
			events, _ := split(string(run))
			for _, text := range events {
				event := Parse([]byte(text))
				pass, err := order.Next(event, []byte(text), Steps(steps))
				if err != nil {
					break
				}
				if !pass || event.ID == "" {
					continue
				}
				if compared, ok := compareIDs(last, event.ID); ok && compared >= 0 {
					t.Errorf("%q is passed on behind %q", event.ID, last)
				}
				last = event.ID
			}
		}
		if order.LastID() != last {
			t.Errorf("the last ID is %q, want %q", order.LastID(), last)
		}
	})
}
