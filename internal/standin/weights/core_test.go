package weights

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run ticks the core at its wake times until it is idle. It returns the time after
// start at which each read completed, rounded to milliseconds.
func run(core *Core) map[string]time.Duration {
	done := map[string]time.Duration{}
	for wake := core.NextWake(); !wake.IsZero(); wake = core.NextWake() {
		for _, read := range core.Step(wake, Tick{}) {
			done[read.ID] = wake.Sub(start).Round(time.Millisecond)
		}
	}
	return done
}

func TestReads(t *testing.T) {
	cases := []struct {
		name    string
		options Options
		reads   []Read
		want    map[string]time.Duration
	}{
		{
			"full speed", Options{Concurrency: 2},
			[]Read{{"a", 4 * time.Second}, {"b", 2 * time.Second}},
			map[string]time.Duration{"a": 4 * time.Second, "b": 2 * time.Second},
		},
		{
			"reads beyond the limit share the speed", Options{Concurrency: 1},
			[]Read{{"a", 4 * time.Second}, {"b", 2 * time.Second}},
			// Both run at half speed until b ends at 4 s; a then needs 2 s more alone.
			map[string]time.Duration{"a": 6 * time.Second, "b": 4 * time.Second},
		},
		{
			"the rate limit spaces the starts", Options{ReadsPerSecond: 2},
			[]Read{{"a", time.Second}, {"b", time.Second}, {"c", time.Second}},
			map[string]time.Duration{"a": time.Second, "b": 1500 * time.Millisecond, "c": 2 * time.Second},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			core := New(test.options)
			for _, read := range test.reads {
				core.Step(start, read)
			}
			if diff := cmp.Diff(test.want, run(core)); diff != "" {
				t.Error(diff)
			}
			if stats := core.Stats(); stats.Done != len(test.reads) || stats.Active+stats.Waiting != 0 {
				t.Errorf("stats %+v", stats)
			}
		})
	}
}

func TestCancelledReadGivesItsSpeedToTheOthers(t *testing.T) {
	core := New(Options{Concurrency: 1})
	core.Step(start, Read{"a", 4 * time.Second})
	core.Step(start, Read{"b", 4 * time.Second})
	core.Step(start.Add(2*time.Second), Cancel{"b"})
	want := map[string]time.Duration{"a": 5 * time.Second}
	if diff := cmp.Diff(want, run(core)); diff != "" {
		t.Error(diff)
	}
}

func TestSlowStoreTakesLongerFromThenOn(t *testing.T) {
	core := New(Options{})
	core.Step(start, Read{"a", 4 * time.Second})
	core.Step(start.Add(2*time.Second), Slow{Factor: 3})
	want := map[string]time.Duration{"a": 8 * time.Second}
	if diff := cmp.Diff(want, run(core)); diff != "" {
		t.Error(diff)
	}
}
