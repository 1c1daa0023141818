package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

const start = 3 * time.Second

func after(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// TestPhases: what is believed of a server after what was told of it.
func TestPhases(t *testing.T) {
	cases := map[string]struct {
		told  func(s *WarmUp)
		at    float64
		start time.Duration
		want  Phase
	}{
		"never seen":                   {func(*WarmUp) {}, 0, start, Warm},
		"first seen":                   {func(s *WarmUp) { s.MarkSeen(begin) }, 2.9, start, Cold},
		"first seen and not told":      {func(s *WarmUp) { s.MarkSeen(begin) }, 3.5, start, Ramp},
		"long seen":                    {func(s *WarmUp) { s.MarkSeen(begin) }, 4.1, start, Warm},
		"where servers are never cold": {func(s *WarmUp) { s.MarkSeen(begin) }, 0, 0, Ramp},
		"told warm":                    {func(s *WarmUp) { s.MarkSeen(begin); s.ApplyEntry(begin, 0, storepos.At(0, 5), start) }, 0.9, start, Ramp},
		"told warm, later":             {func(s *WarmUp) { s.MarkSeen(begin); s.ApplyEntry(begin, 0, storepos.At(0, 5), start) }, 1.1, start, Warm},
		"told cold":                    {func(s *WarmUp) { s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), start) }, 1.9, start, Cold},
		"told cold, the ramp":          {func(s *WarmUp) { s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), start) }, 2.1, start, Ramp},
		"told cold, the end":           {func(s *WarmUp) { s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), start) }, 3.1, start, Warm},
		"an older entry": {func(s *WarmUp) {
			s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), start)
			s.ApplyEntry(begin, 0, storepos.At(0, 4), start)
		}, 1, start, Cold},
		"a newer entry": {func(s *WarmUp) {
			s.ApplyEntry(begin, 2*time.Second, storepos.At(0, 5), start)
			s.ApplyEntry(begin, 0, storepos.At(0, 6), start)
		}, 0.5, start, Ramp},
		"warm, then cold again": {func(s *WarmUp) {
			s.ApplyEntry(begin, 0, storepos.At(0, 5), start)
			s.ApplyEntry(after(9), start, storepos.At(0, 6), start)
		}, 10, start, Cold},
		"suspected": {func(s *WarmUp) {
			s.ApplyEntry(begin, 0, storepos.At(0, 5), start)
			s.MarkPossiblyCold(after(9), storepos.At(0, 7))
		}, 11, start, Cold},
		"suspected, an entry before": {func(s *WarmUp) {
			s.MarkPossiblyCold(after(9), storepos.At(0, 7))
			s.ApplyEntry(after(10), 0, storepos.At(0, 7), start)
		}, 11, start, Cold},
		"suspected, a later entry": {func(s *WarmUp) {
			s.MarkPossiblyCold(after(9), storepos.At(0, 7))
			s.ApplyEntry(after(9), 0, storepos.At(0, 8), start)
		}, 11, start, Warm},
		"suspected, the server's word":   {func(s *WarmUp) { s.MarkPossiblyCold(after(9), storepos.At(0, 7)); s.ApplyResponse(after(9), 0, start) }, 11, start, Warm},
		"suspected, and nothing follows": {func(s *WarmUp) { s.MarkPossiblyCold(after(9), storepos.At(0, 7)) }, 13.1, start, Warm},
		"the server's word": {func(s *WarmUp) {
			s.ApplyEntry(begin, 0, storepos.At(0, 5), start)
			s.ApplyResponse(begin, time.Second, start)
		}, 0.9, start, Cold},
		"below nothing":    {func(s *WarmUp) { s.ApplyEntry(begin, -time.Hour, storepos.At(0, 5), start) }, 0, start, Warm},
		"endless":          {func(s *WarmUp) { s.ApplyEntry(begin, math.MaxInt64, storepos.At(0, 5), start) }, 59, start, Cold},
		"endless, bounded": {func(s *WarmUp) { s.ApplyEntry(begin, math.MaxInt64, storepos.At(0, 5), start) }, 61.1, start, Warm},
	}
	for name, c := range cases {
		var state WarmUp
		c.told(&state)
		if got := state.Phase(after(c.at), c.start); got != c.want {
			t.Errorf("%s: phase %d after %.1f s, want %d", name, got, c.at, c.want)
		}
	}
}

// TestHeldBackServerIsLeftAlone: for as long as told, within bounds, and not beyond the
// word that it is warm.
func TestHeldBackServerIsLeftAlone(t *testing.T) {
	var state WarmUp
	state.ApplyEntry(begin, start, storepos.At(0, 1), start)
	for retryIn, want := range map[time.Duration]time.Duration{
		0: shortestPause, -time.Second: shortestPause, 100 * time.Millisecond: 100 * time.Millisecond, time.Hour: longestPause,
	} {
		state.RecordDenial(begin, retryIn)
		if got := state.RetryAfter(begin, start); got != want {
			t.Errorf("left alone for %v, want %v", got, want)
		}
	}
	state.RecordDenial(begin, time.Second)
	state.ApplyEntry(begin, 0, storepos.At(0, 2), start)
	if got := state.RetryAfter(begin, start); got != 0 {
		t.Errorf("warm, and left alone for %v", got)
	}
}

// TestGrantsStayBelowTheBound: what an old and a new coordinator grant in one window, with the
// lots of most servers, is below it for every figure that a service may name.
func TestGrantsStayBelowTheBound(t *testing.T) {
	for _, bound := range []WarmUpBound{
		{PerSecond: 12, Overage: 1.5, Slack: 5}, {PerSecond: 50, Overage: 1.1}, {PerSecond: 3, Overage: 2, Slack: 10},
		{PerSecond: 12, Overage: 1.5, Slack: 5000}, {PerSecond: 8, Overage: 0.1, Slack: -3},
	} {
		granted := bound.Quota()
		perWindow := granted.PerSecond*window.Seconds() + granted.Burst
		if sum := perWindow + granted.PerSecond*window.Seconds(); sum > coordinatedShare*bound.MaxRequests()+1e-9 || granted.PerSecond <= 0 {
			t.Errorf("%+v: %+v, %.1f of %.1f by two coordinators", bound, granted, sum, bound.MaxRequests())
		}
		if perWindow > 1.25*bound.PerSecond {
			t.Errorf("%+v: %.1f in a window, far above what the server bears", bound, perWindow)
		}
	}
}

// TestBadFiguresLetNothingPass: a rate that is none grants nothing and crashes nothing.
func TestBadFiguresLetNothingPass(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		for _, other := range []float64{1.5, math.NaN(), math.Inf(1), -2} {
			bound := WarmUpBound{PerSecond: rate, Overage: other, Slack: other}
			if granted := bound.Quota(); bound.MaxRequests() != 0 || granted.PerSecond != 0 || granted.Burst != 0 {
				t.Errorf("%+v grants %+v", bound, granted)
			}
			if NewWarmUpFallback("a").Take(begin, "s", bound.MaxRequests(), 1) {
				t.Errorf("%+v: a lot", bound)
			}
		}
	}
	most := WarmUpBound{PerSecond: 12, Overage: math.NaN(), Slack: math.Inf(1)}.MaxRequests()
	if most != 12 {
		t.Errorf("%.0f with an overage and a slack that are none", most)
	}
}

// TestLots: few of the nodes have one for a server, and each uses it once in a window.
func TestLots(t *testing.T) {
	const nodes, servers = 68, 400
	sum, most := 0, 0
	for server := range servers {
		id, drawn := fmt.Sprint("s", server), 0
		for node := range nodes {
			lots := NewWarmUpFallback(fmt.Sprint("10.0.0.", node))
			if !lots.Take(begin, id, bound.MaxRequests(), nodes) {
				continue
			}
			drawn++
			if lots.Take(begin.Add(window-time.Millisecond), id, bound.MaxRequests(), nodes) {
				t.Fatal("a lot was used twice in a window")
			}
			if !lots.Take(begin.Add(time.Hour), id, bound.MaxRequests(), nodes) || lots.Take(begin.Add(time.Hour), id, bound.MaxRequests(), nodes) {
				t.Fatal("a lot was saved up, or lost")
			}
		}
		sum, most = sum+drawn, max(most, drawn)
	}
	if mean := float64(sum) / servers; mean < 0.5 || mean > 0.9 || most > 5 {
		t.Errorf("%.2f lots for a server, %d at the most", mean, most)
	}
}

// TestNewestEntryDecidesInAnyOrder: entries come by the store and by peers, late, twice and
// one before the other; a server is never taken for warm that the newest of them calls cold.
func TestNewestEntryDecidesInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		type word struct {
			revision int64
			until    time.Time
		}
		var words []word
		for revision := range int64(6) {
			until := begin
			if random.IntN(2) == 0 {
				until = begin.Add(2*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
			}
			words = append(words, word{revision: 10 + revision, until: until})
		}
		newest := words[len(words)-1]
		words = append(words, words...)
		random.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
		var state WarmUp
		heardNewest := false
		for i, told := range words {
			now := begin.Add(time.Duration(i+1) * 100 * time.Millisecond)
			state.ApplyEntry(now, max(0, told.until.Sub(now)), storepos.At(0, told.revision), start)
			heardNewest = heardNewest || told == newest
			if isCold := state.Phase(now, start) == Cold; heardNewest && isCold != now.Before(newest.until) {
				t.Fatalf("seed %d: cold %v after %d words, by the newest until %v", seed, isCold, i+1, newest.until.Sub(begin))
			}
		}
	}
}
