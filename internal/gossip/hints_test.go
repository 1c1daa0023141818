package gossip

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

func TestHintsAreSentAFewTimes(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	hints := NewHints()
	draining := HintItem{Start: inventory.Start{ID: "a", StartedAtMs: 7}, Hint: inventory.Hint{Draining: true}}
	backingOff := HintItem{Start: inventory.Start{ID: "b"}, Hint: inventory.Hint{Backoff: 3 * time.Second}}
	cases := []struct {
		name string
		item HintItem
		at   time.Duration
		want bool
	}{
		{"server draining", draining, 0, true},
		{"draining again", draining, time.Second, false},
		{"another incarnation draining", HintItem{Start: inventory.Start{ID: "a", StartedAtMs: 8}, Hint: draining.Hint}, time.Second, true},
		{"backoff", backingOff, 0, true},
		{"echo of the backoff, slightly later", backingOff, 300 * time.Millisecond, false},
		{"next backoff", backingOff, 3 * time.Second, true},
		{"empty hint", HintItem{Start: inventory.Start{ID: "c"}}, 0, false},
	}
	for _, c := range cases {
		if got := hints.Learn(now.Add(c.at), c.item); got != c.want {
			t.Errorf("%s: learned %v, want %v", c.name, got, c.want)
		}
	}
	now = now.Add(4 * time.Second)
	want := []HintItem{draining, {Start: inventory.Start{ID: "a", StartedAtMs: 8}, Hint: draining.Hint}, {Start: backingOff.Start, Hint: inventory.Hint{Backoff: 2 * time.Second}}}
	if diff := cmp.Diff(want, hints.TakeDue(now)); diff != "" {
		t.Error(diff)
	}
	for range hintTransmissions - 1 {
		hints.TakeDue(now)
	}
	if sent := hints.TakeDue(now); len(sent) > 0 {
		t.Errorf("still sent after the last transmission: %v", sent)
	}
}

func TestEndedBackoffsAreNotSent(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	hints := NewHints()
	hints.Learn(now, HintItem{Start: inventory.Start{ID: "a"}, Hint: inventory.Hint{Backoff: time.Second}})
	if sent := hints.TakeDue(now.Add(time.Second)); len(sent) > 0 {
		t.Errorf("ended backoff sent: %v", sent)
	}
}

func TestHintsToSendAreBounded(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	hints := NewHints()
	for i := range 2 * maxHints {
		hints.Learn(now.Add(time.Duration(i)*time.Millisecond), HintItem{Start: inventory.Start{ID: strconv.Itoa(i)}, Hint: inventory.Hint{Draining: true}})
	}
	if len(hints.items) > maxHints {
		t.Errorf("%d hints kept, want at most maxHints", len(hints.items))
	}
	if sent := hints.TakeDue(now); len(sent) != maxHintsPerPeriod {
		t.Errorf("%d hints sent in a period, want maxHintsPerPeriod", len(sent))
	}
}

// TestLimitsAreSentAndRefreshed: an unchanged limit is passed on again after a while, and so is its
// end; older observations are not.
func TestLimitsAreSentAndRefreshed(t *testing.T) {
	startTime := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	limit := func(kind inventory.RateLimitKind, sent, heard time.Duration) HintItem {
		return HintItem{Start: inventory.Start{ID: "a", StartedAtMs: 7}, Limit: admission.Observation{
			Limit: inventory.RateLimit{Kind: kind}, SentAt: startTime.Add(sent), ReceivedAt: startTime.Add(heard),
		}}
	}
	hints := NewHints()
	for _, c := range []struct {
		name string
		item HintItem
		want bool
	}{
		{"no limit, and none before", limit(inventory.RateLimitNone, 0, time.Second), false},
		{"limit set", limit(inventory.RateLimitSet, time.Second, time.Second), true},
		{"same limit, slightly later", limit(inventory.RateLimitSet, 2*time.Second, 2*time.Second), false},
		{"same limit, long after", limit(inventory.RateLimitSet, 4*time.Second, 4*time.Second), true},
		{"limit ended, by an older response", limit(inventory.RateLimitNone, 3*time.Second, 5*time.Second), false},
		{"limit ended", limit(inventory.RateLimitNone, 5*time.Second, 5*time.Second), true},
		{"outdated limit", limit(inventory.RateLimitSet, 4*time.Second, 4*time.Second), false},
	} {
		if got := hints.Learn(startTime.Add(5*time.Second), c.item); got != c.want {
			t.Errorf("%s: learned %v, want %v", c.name, got, c.want)
		}
	}
	if due := hints.TakeDue(startTime.Add(5 * time.Second)); len(due) != 1 || due[0].Limit.Limit.Kind != inventory.RateLimitNone {
		t.Errorf("sent %+v, want the end of the limit", due)
	}
}
