package gossip

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

func TestWordsAreToldAFewTimes(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	words := NewHints()
	leaves := HintItem{Start: inventory.Start{ID: "a", StartedAtMs: 7}, Hint: inventory.Hint{Draining: true}}
	rests := HintItem{Start: inventory.Start{ID: "b"}, Hint: inventory.Hint{Backoff: 3 * time.Second}}
	cases := []struct {
		name string
		item HintItem
		at   time.Duration
		want bool
	}{
		{"a server leaves", leaves, 0, true},
		{"it says so again", leaves, time.Second, false},
		{"another start of it leaves", HintItem{Start: inventory.Start{ID: "a", StartedAtMs: 8}, Hint: leaves.Hint}, time.Second, true},
		{"one rests", rests, 0, true},
		{"the echo of it, a little later", rests, 300 * time.Millisecond, false},
		{"its next rest", rests, 3 * time.Second, true},
		{"nothing", HintItem{Start: inventory.Start{ID: "c"}}, 0, false},
	}
	for _, c := range cases {
		if got := words.Learn(now.Add(c.at), c.item); got != c.want {
			t.Errorf("%s: news %v, want %v", c.name, got, c.want)
		}
	}
	now = now.Add(4 * time.Second)
	want := []HintItem{leaves, {Start: inventory.Start{ID: "a", StartedAtMs: 8}, Hint: leaves.Hint}, {Start: rests.Start, Hint: inventory.Hint{Backoff: 2 * time.Second}}}
	if diff := cmp.Diff(want, words.TakeDue(now)); diff != "" {
		t.Error(diff)
	}
	for range hintTold - 1 {
		words.TakeDue(now)
	}
	if told := words.TakeDue(now); len(told) > 0 {
		t.Errorf("told for ever: %v", told)
	}
}

func TestRestsThatAreOverAreNotTold(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	words := NewHints()
	words.Learn(now, HintItem{Start: inventory.Start{ID: "a"}, Hint: inventory.Hint{Backoff: time.Second}})
	if told := words.TakeDue(now.Add(time.Second)); len(told) > 0 {
		t.Errorf("told: %v", told)
	}
}

func TestWordsToTellAreBounded(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	words := NewHints()
	for i := range 2 * hintsKept {
		words.Learn(now.Add(time.Duration(i)*time.Millisecond), HintItem{Start: inventory.Start{ID: strconv.Itoa(i)}, Hint: inventory.Hint{Draining: true}})
	}
	if len(words.items) > hintsKept {
		t.Errorf("%d are kept", len(words.items))
	}
	if told := words.TakeDue(now); len(told) != hintsPerPeriod {
		t.Errorf("%d are told in a period", len(told))
	}
}

// TestLimitsAreToldAndRenewed: a limit that is the same is told on again after a while, and so is its
// end; what is older than that is not.
func TestLimitsAreToldAndRenewed(t *testing.T) {
	begin := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	limit := func(kind inventory.RateLimitKind, sent, heard time.Duration) HintItem {
		return HintItem{Start: inventory.Start{ID: "a", StartedAtMs: 7}, Limit: admission.Observation{
			Limit: inventory.RateLimit{Kind: kind}, SentAt: begin.Add(sent), ReceivedAt: begin.Add(heard),
		}}
	}
	words := NewHints()
	for _, c := range []struct {
		name string
		item HintItem
		want bool
	}{
		{"a server names none, and never did", limit(inventory.RateLimitNone, 0, time.Second), false},
		{"it names one", limit(inventory.RateLimitSet, time.Second, time.Second), true},
		{"the same, a little later", limit(inventory.RateLimitSet, 2*time.Second, 2*time.Second), false},
		{"the same, long after", limit(inventory.RateLimitSet, 4*time.Second, 4*time.Second), true},
		{"it ended, by an older answer", limit(inventory.RateLimitNone, 3*time.Second, 5*time.Second), false},
		{"it ended", limit(inventory.RateLimitNone, 5*time.Second, 5*time.Second), true},
		{"an old word of it", limit(inventory.RateLimitSet, 4*time.Second, 4*time.Second), false},
	} {
		if got := words.Learn(begin.Add(5*time.Second), c.item); got != c.want {
			t.Errorf("%s: news %v, want %v", c.name, got, c.want)
		}
	}
	if told := words.TakeDue(begin.Add(5 * time.Second)); len(told) != 1 || told[0].Limit.Limit.Kind != inventory.RateLimitNone {
		t.Errorf("told %+v, want that the limit ended", told)
	}
}
