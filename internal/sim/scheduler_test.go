package sim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

func TestSchedulerRunsByTimeThenSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delays := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 200).Draw(t, "delays")
		scheduler := NewScheduler()
		var ran []int
		for index, delay := range delays {
			scheduler.After(time.Duration(delay), func() { ran = append(ran, index) })
		}
		scheduler.Run(time.Hour)
		want := make([]int, len(delays))
		for index := range want {
			want[index] = index
		}
		slices.SortStableFunc(want, func(a, b int) int { return delays[a] - delays[b] })
		if difference := cmp.Diff(want, ran); difference != "" {
			t.Fatalf("order (-want +got):\n%s", difference)
		}
	})
}

func TestSchedulerStopsAtTheLimit(t *testing.T) {
	scheduler := NewScheduler()
	var ran []time.Duration
	scheduler.Every(time.Second, func() bool {
		ran = append(ran, scheduler.Elapsed())
		return len(ran) < 10
	})
	scheduler.Run(3500 * time.Millisecond)
	want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}
	if difference := cmp.Diff(want, ran); difference != "" {
		t.Errorf("ran (-want +got):\n%s", difference)
	}
	if scheduler.Elapsed() != 3500*time.Millisecond {
		t.Errorf("elapsed = %s", scheduler.Elapsed())
	}
	scheduler.Run(time.Hour)
	if len(ran) != 10 || scheduler.Pending() != 0 {
		t.Errorf("ran %d times, %d pending; want 10 and 0", len(ran), scheduler.Pending())
	}
}

func TestStreamsDoNotShiftEachOther(t *testing.T) {
	one, other := NewStreams(7), NewStreams(7)
	other.Stream("extra").Uint64()
	draw := func(stream *rand.Rand) []uint64 {
		return []uint64{stream.Uint64(), stream.Uint64(), stream.Uint64()}
	}
	first := draw(one.Stream("link"))
	if difference := cmp.Diff(first, draw(other.Stream("link"))); difference != "" {
		t.Errorf("same name, same seed (-want +got):\n%s", difference)
	}
	if slices.Equal(first, draw(other.Stream("other link"))) || slices.Equal(first, draw(NewStreams(8).Stream("link"))) {
		t.Error("another name or another seed gave the same draws")
	}
}

func TestClockInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := Clock{
			Offset:   time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "offset")),
			DriftPPM: rapid.Int64Range(-300_000, 300_000).Draw(t, "drift"),
		}
		elapsed := time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "elapsed"))
		local := clock.Local(elapsed)
		earliest := clock.Elapsed(local)
		if clock.Local(earliest).Before(local) {
			t.Fatalf("timer at %s shows %s, before %s", earliest, clock.Local(earliest), local)
		}
		if earliest > elapsed {
			t.Fatalf("timer at %s, but the clock showed the time at %s already", earliest, elapsed)
		}
		if earliest > 0 && !clock.Local(earliest-1).Before(local) {
			t.Fatalf("timer at %s is not the earliest", earliest)
		}
	})
}
