package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

const coldTime = 3 * time.Second

func afterSeconds(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// TestPhases checks the phase of a server after reports about its cold time: by store entries in
// and out of order, by responses, and after it was suspected to be cold.
func TestPhases(t *testing.T) {
	cases := map[string]struct {
		apply    func(s *WarmUp)
		at       float64
		coldTime time.Duration
		want     Phase
	}{
		"never seen":                    {func(*WarmUp) {}, 0, coldTime, Warm},
		"first seen":                    {func(s *WarmUp) { s.MarkSeen(begin) }, 2.9, coldTime, Cold},
		"first seen, no report":         {func(s *WarmUp) { s.MarkSeen(begin) }, 3.5, coldTime, Ramp},
		"seen long ago":                 {func(s *WarmUp) { s.MarkSeen(begin) }, 4.1, coldTime, Warm},
		"where servers are never cold":  {func(s *WarmUp) { s.MarkSeen(begin) }, 0, 0, Ramp},
		"reported warm":                 {func(s *WarmUp) { s.MarkSeen(begin); s.ApplyEntry(begin, 0, storepos.At(0, 5), coldTime) }, 0.9, coldTime, Ramp},
		"reported warm, later":          {func(s *WarmUp) { s.MarkSeen(begin); s.ApplyEntry(begin, 0, storepos.At(0, 5), coldTime) }, 1.1, coldTime, Warm},
		"reported cold":                 {func(s *WarmUp) { s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), coldTime) }, 1.9, coldTime, Cold},
		"reported cold, ramp":           {func(s *WarmUp) { s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), coldTime) }, 2.1, coldTime, Ramp},
		"reported cold, after the ramp": {func(s *WarmUp) { s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), coldTime) }, 3.1, coldTime, Warm},
		"an older entry": {func(s *WarmUp) {
			s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), coldTime)
			s.ApplyEntry(begin, 0, storepos.At(0, 4), coldTime)
		}, 1, coldTime, Cold},
		"a newer entry": {func(s *WarmUp) {
			s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), coldTime)
			s.ApplyEntry(begin, 0, storepos.At(0, 6), coldTime)
		}, 0.5, coldTime, Ramp},
		"warm, then cold again": {func(s *WarmUp) {
			s.ApplyEntry(begin, 0, storepos.At(0, 5), coldTime)
			s.ApplyEntry(afterSeconds(9), coldTime, storepos.At(0, 6), coldTime)
		}, 10, coldTime, Cold},
		"suspected": {func(s *WarmUp) {
			s.ApplyEntry(begin, 0, storepos.At(0, 5), coldTime)
			s.MarkPossiblyCold(afterSeconds(9), storepos.At(0, 7))
		}, 11, coldTime, Cold},
		"suspected, an older entry": {func(s *WarmUp) {
			s.MarkPossiblyCold(afterSeconds(9), storepos.At(0, 7))
			s.ApplyEntry(afterSeconds(10), 0, storepos.At(0, 7), coldTime)
		}, 11, coldTime, Cold},
		"suspected, a later entry": {func(s *WarmUp) {
			s.MarkPossiblyCold(afterSeconds(9), storepos.At(0, 7))
			s.ApplyEntry(afterSeconds(9), 0, storepos.At(0, 8), coldTime)
		}, 11, coldTime, Warm},
		"suspected, then a response": {func(s *WarmUp) {
			s.MarkPossiblyCold(afterSeconds(9), storepos.At(0, 7))
			s.ApplyResponse(afterSeconds(9), 0, coldTime)
		}, 11, coldTime, Warm},
		"suspected, no report": {func(s *WarmUp) { s.MarkPossiblyCold(afterSeconds(9), storepos.At(0, 7)) }, 13.1, coldTime, Warm},
		"reported by a response": {func(s *WarmUp) {
			s.ApplyEntry(begin, 0, storepos.At(0, 5), coldTime)
			s.ApplyResponse(begin, time.Second, coldTime)
		}, 0.9, coldTime, Cold},
		"negative cold time":          {func(s *WarmUp) { s.ApplyEntry(begin, -time.Hour, storepos.At(0, 5), coldTime) }, 0, coldTime, Warm},
		"unlimited cold time":         {func(s *WarmUp) { s.ApplyEntry(begin, math.MaxInt64, storepos.At(0, 5), coldTime) }, 59, coldTime, Cold},
		"unlimited cold time, capped": {func(s *WarmUp) { s.ApplyEntry(begin, math.MaxInt64, storepos.At(0, 5), coldTime) }, 61.1, coldTime, Warm},
	}
	for name, c := range cases {
		var state WarmUp
		c.apply(&state)
		if got := state.Phase(afterSeconds(c.at), c.coldTime); got != c.want {
			t.Errorf("%s: phase %d after %.1f s, want %d", name, got, c.at, c.want)
		}
	}
}

// TestHeldBackServerIsLeftAlone checks that a server is skipped for as long as the denial said,
// within minPause and maxPause, and no longer once it is reported warm.
func TestHeldBackServerIsLeftAlone(t *testing.T) {
	var state WarmUp
	state.ApplyEntry(begin, coldTime, storepos.At(0, 1), coldTime)
	for retryAfter, want := range map[time.Duration]time.Duration{
		0: minPause, -time.Second: minPause, 100 * time.Millisecond: 100 * time.Millisecond, time.Hour: maxPause,
	} {
		state.RecordDenial(begin, retryAfter)
		if got := state.RetryAfter(begin, coldTime); got != want {
			t.Errorf("skipped for %v after a denial, want %v", got, want)
		}
	}
	state.RecordDenial(begin, time.Second)
	state.ApplyEntry(begin, 0, storepos.At(0, 2), coldTime)
	if got := state.RetryAfter(begin, coldTime); got != 0 {
		t.Errorf("a warm server is skipped for %v", got)
	}
}

// TestGrantsStayBelowTheBound checks, for various settings of a service, that what an old and a new
// coordinator grant in one window stays within the coordinated share of the bound.
func TestGrantsStayBelowTheBound(t *testing.T) {
	for _, bound := range []WarmUpBound{
		{PerSecond: 12, Overage: 1.5, Slack: 5}, {PerSecond: 50, Overage: 1.1}, {PerSecond: 3, Overage: 2, Slack: 10},
		{PerSecond: 12, Overage: 1.5, Slack: 5000}, {PerSecond: 8, Overage: 0.1, Slack: -3},
	} {
		granted := bound.Quota()
		perWindow := granted.PerSecond*warmUpWindow.Seconds() + granted.Burst
		if sum := perWindow + granted.PerSecond*warmUpWindow.Seconds(); sum > coordinatedShare*bound.MaxRequests()+1e-9 || granted.PerSecond <= 0 {
			t.Errorf("%+v: quota %+v: two coordinators grant %.1f of %.1f", bound, granted, sum, bound.MaxRequests())
		}
		if perWindow > 1.25*bound.PerSecond {
			t.Errorf("%+v: %.1f grants in a window, far above the server's rate", bound, perWindow)
		}
	}
}

// TestBadFiguresLetNothingPass checks that a rate which is not positive and finite grants nothing
// and does not panic.
func TestBadFiguresLetNothingPass(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		for _, other := range []float64{1.5, math.NaN(), math.Inf(1), -2} {
			bound := WarmUpBound{PerSecond: rate, Overage: other, Slack: other}
			if granted := bound.Quota(); bound.MaxRequests() != 0 || granted.PerSecond != 0 || granted.Burst != 0 {
				t.Errorf("%+v grants %+v", bound, granted)
			}
			if NewWarmUpFallback("a").Take(begin, "s", bound.MaxRequests(), 1) {
				t.Errorf("%+v: the fallback allows a request", bound)
			}
		}
	}
	maxRequests := WarmUpBound{PerSecond: 12, Overage: math.NaN(), Slack: math.Inf(1)}.MaxRequests()
	if maxRequests != 12 {
		t.Errorf("%.0f requests with an invalid overage and slack, want 12", maxRequests)
	}
}

// TestFallbackAllowance checks that only a few nodes are selected for a server, and that each uses
// its allowance once per window.
func TestFallbackAllowance(t *testing.T) {
	const nodes, servers = 68, 400
	sum, maxSelected := 0, 0
	for server := range servers {
		id, selected := fmt.Sprint("s", server), 0
		for node := range nodes {
			fallback := NewWarmUpFallback(fmt.Sprint("10.0.0.", node))
			if !fallback.Take(begin, id, bound.MaxRequests(), nodes) {
				continue
			}
			selected++
			if fallback.Take(begin.Add(warmUpWindow-time.Millisecond), id, bound.MaxRequests(), nodes) {
				t.Fatal("an allowance was used twice in a window")
			}
			if !fallback.Take(begin.Add(time.Hour), id, bound.MaxRequests(), nodes) || fallback.Take(begin.Add(time.Hour), id, bound.MaxRequests(), nodes) {
				t.Fatal("an allowance accumulated, or was lost")
			}
		}
		sum, maxSelected = sum+selected, max(maxSelected, selected)
	}
	if mean := float64(sum) / servers; mean < 0.5 || mean > 0.9 || maxSelected > 5 {
		t.Errorf("%.2f nodes selected per server, at most %d", mean, maxSelected)
	}
}

// TestNewestEntryDecidesInAnyOrder applies entries late, twice and out of order, as they arrive
// from the store and from peers. Once the newest entry has arrived, it alone decides whether the
// server is cold.
func TestNewestEntryDecidesInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		type entry struct {
			revision int64
			until    time.Time
		}
		var entries []entry
		for revision := range int64(6) {
			until := begin
			if random.IntN(2) == 0 {
				until = begin.Add(2*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
			}
			entries = append(entries, entry{revision: 10 + revision, until: until})
		}
		newest := entries[len(entries)-1]
		entries = append(entries, entries...)
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		var state WarmUp
		seenNewest := false
		for i, applied := range entries {
			now := begin.Add(time.Duration(i+1) * 100 * time.Millisecond)
			state.ApplyEntry(now, max(0, applied.until.Sub(now)), storepos.At(0, applied.revision), coldTime)
			seenNewest = seenNewest || applied == newest
			if isCold := state.Phase(now, coldTime) == Cold; seenNewest && isCold != now.Before(newest.until) {
				t.Fatalf("seed %d: cold %v after %d entries, the newest says cold until %v", seed, isCold, i+1, newest.until.Sub(begin))
			}
		}
	}
}
