package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// names is an answer that names a limit, to a request that left at the time; below 0 it names none.
func names(perSecond float64, sentAt time.Time) inventory.Hint {
	limit := inventory.NewRateLimit(perSecond)
	if perSecond < 0 {
		limit = inventory.RateLimit{Kind: inventory.RateLimitNone}
	}
	return inventory.Hint{Limit: limit, SentAt: sentAt}
}

var limitedStart = inventory.Start{ID: "a", StartedAtMs: 7}

// TestLimitedServerGoesBehindOthers, until nobody has heard of its limit for a while: only an answer can
// tell that it has ended.
func TestLimitedServerGoesBehindOthers(t *testing.T) {
	core := newCore(bornEntry("a", 7, 1), bornEntry("b", 7, 1))
	core.ReceiveHint(begin, limitedStart, names(1, begin))
	count := func(now time.Time) (picked int) {
		for range 40 {
			if pick(core, now, Request{Model: "m"}) == "a" {
				picked++
			}
		}
		return picked
	}
	if got := count(begin.Add(time.Second)); got > 0 {
		t.Errorf("picked %d times of 40, though another names no limit", got)
	}
	if got := count(begin.Add(limitProbeAge + time.Second)); got == 0 {
		t.Error("never picked: the limit would never end")
	}
}

func TestServerThatDidNotGrantIsLeftAlone(t *testing.T) {
	core := newCore(bornEntry("a", 7, 1))
	ask, wanted := Request{Service: "s", Model: "m"}, Requirements{Service: "s", Model: "m"}
	core.ReceiveHint(begin, limitedStart, names(1, begin))
	if !core.HasOnlyRateLimitedServers(begin, wanted) {
		t.Error("what stands on limited servers alone is not held by their rates")
	}
	core.RecordDenial(begin, "a", 3*time.Second)
	if left, known := core.ReadyIn(begin, wanted); left != 3*time.Second || !known || core.CanPick(begin, ask) {
		t.Errorf("ready in %v, %v; may be picked: %v", left, known, core.CanPick(begin, ask))
	}
	if !core.CanPick(begin.Add(250*time.Millisecond), ask) {
		t.Error("a more urgent request may not ask for a grant")
	}
	core.RecordDenial(begin, "a", 3*time.Second)
	core.ReceiveHint(begin.Add(time.Millisecond), limitedStart, names(-1, begin.Add(500*time.Microsecond)))
	if !core.CanPick(begin.Add(time.Millisecond), ask) || core.HasOnlyRateLimitedServers(begin, wanted) {
		t.Error("left alone though the limit has ended")
	}
}

// TestLimitHoldsForOneStart, whatever peers tell late; entries of it change nothing.
func TestLimitHoldsForOneStart(t *testing.T) {
	core := newCore(bornEntry("a", 7, 1))
	core.ReceiveHint(begin, limitedStart, names(0, begin))
	core.SetServers([]inventory.Change{bornEntry("a", 7, 5)})
	if core.CountServers(begin, StateRateLimited) != 1 {
		t.Error("an entry ends a limit")
	}
	core.SetServers([]inventory.Change{bornEntry("a", 8, 6)})
	core.ReceivePeerLimit(begin, limitedStart, admission.Observation{Limit: inventory.NewRateLimit(0), SentAt: begin, ReceivedAt: begin.Add(time.Second)})
	if core.CountServers(begin, StateRateLimited) != 0 {
		t.Error("the limit of a start binds the next one")
	}
}

// TestLimitThatAPeerSawEndIsTriedByOne: what was long under way may look newer than it is.
func TestLimitThatAPeerSawEndIsTriedByOne(t *testing.T) {
	core := newCore(bornEntry("a", 7, 1))
	ask := Request{Service: "s", Model: "m"}
	core.ReceiveHint(begin, limitedStart, names(1, begin))
	now := begin.Add(time.Second)
	if !core.ReceivePeerLimit(now, limitedStart, admission.Observation{Limit: names(-1, now).Limit, SentAt: now, ReceivedAt: now}) {
		t.Error("that a limit ended is no news")
	}
	first, ok := core.Pick(now, ask)
	if !ok || core.CanPick(now, ask) {
		t.Fatalf("the first goes: %v, and a second beside it: %v", ok, core.CanPick(now, ask))
	}
	core.ReceiveHint(now, first.Attempt.Start(), names(-1, now))
	core.RecordFirstByte(now, first.Attempt)
	if !core.CanPick(now, ask) {
		t.Error("one answer without a limit does not open the server")
	}
}

// TestWhatLimitedServersHoldIsLoadedElsewhere where they take far less than they have slots for.
func TestWhatLimitedServersHoldIsLoadedElsewhere(t *testing.T) {
	slots := float64(bornEntry("a", 7, 1).Server.Slots)
	cases := []struct {
		perSecond float64
		at        time.Duration
		want      []inventory.Start
	}{
		{0, time.Second, []inventory.Start{limitedStart}},
		{slots/2 - 0.1, time.Second, []inventory.Start{limitedStart}},
		{slots, time.Second, nil},
		{0, limitAge + time.Second, nil},
	}
	for _, c := range cases {
		core := newCore(bornEntry("a", 7, 1))
		core.ReceiveHint(begin, limitedStart, names(c.perSecond, begin))
		if diff := cmp.Diff(c.want, core.UnavailableStarts(begin.Add(c.at))); diff != "" {
			t.Errorf("%v a second, after %v: %s", c.perSecond, c.at, diff)
		}
	}
}

// TestLimitsOfUnknownServersAreBounded: of servers that no entry names, some are remembered.
func TestLimitsOfUnknownServersAreBounded(t *testing.T) {
	core := newCore()
	for number := range 2 * maxStarts {
		core.ReceiveHint(begin, inventory.Start{ID: fmt.Sprint(number)}, names(1, begin))
	}
	if len(core.starts) > maxStarts+1 {
		t.Errorf("%d starts are remembered", len(core.starts))
	}
}
