package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// rateLimitHint is the hint of a response with a rate limit, to a request sent at sentAt. A
// negative rate means no limit.
func rateLimitHint(perSecond float64, sentAt time.Time) inventory.Hint {
	limit := inventory.NewRateLimit(perSecond)
	if perSecond < 0 {
		limit = inventory.RateLimit{Kind: inventory.RateLimitNone}
	}
	return inventory.Hint{Limit: limit, SentAt: sentAt}
}

var limitedStart = inventory.Start{ID: "a", StartedAtMs: 7}

// TestLimitedServerGoesBehindOthers: this holds until the limit is too old to rely on, since only a
// response can show that it has ended.
func TestLimitedServerGoesBehindOthers(t *testing.T) {
	core := newCore(startEntry("a", 7, 1), startEntry("b", 7, 1))
	core.ReceiveHint(begin, limitedStart, rateLimitHint(1, begin))
	count := func(now time.Time) (picked int) {
		for range 40 {
			if pick(core, now, Request{Model: "m"}) == "a" {
				picked++
			}
		}
		return picked
	}
	if got := count(begin.Add(time.Second)); got > 0 {
		t.Errorf("picked %d of 40 times although another server has no limit", got)
	}
	if got := count(begin.Add(rateLimitProbeAge + time.Second)); got == 0 {
		t.Error("never picked, so the end of the limit would go unnoticed")
	}
}

func TestServerThatDidNotGrantIsLeftAlone(t *testing.T) {
	core := newCore(startEntry("a", 7, 1))
	request, requirements := Request{Service: "s", Model: "m"}, Requirements{Service: "s", Model: "m"}
	core.ReceiveHint(begin, limitedStart, rateLimitHint(1, begin))
	if !core.HasOnlyRateLimitedServers(begin, requirements) {
		t.Error("a model on rate-limited servers only is not reported as such")
	}
	core.RecordDenial(begin, "a", Requirements{}, 3*time.Second)
	if left, known := core.ReadyIn(begin, requirements); left != 3*time.Second || !known || core.CanPick(begin, request) {
		t.Errorf("ready in %v, known %v; can be picked: %v", left, known, core.CanPick(begin, request))
	}
	if !core.CanPick(begin.Add(250*time.Millisecond), request) {
		t.Error("a more urgent request can't ask for a grant")
	}
	core.RecordDenial(begin, "a", Requirements{}, 3*time.Second)
	core.ReceiveHint(begin.Add(time.Millisecond), limitedStart, rateLimitHint(-1, begin.Add(500*time.Microsecond)))
	if !core.CanPick(begin.Add(time.Millisecond), request) || core.HasOnlyRateLimitedServers(begin, requirements) {
		t.Error("still limited although the limit has ended")
	}
}

// TestLimitHoldsForOneStart: late peer reports don't apply to the next start, and entries don't end
// the limit.
func TestLimitHoldsForOneStart(t *testing.T) {
	core := newCore(startEntry("a", 7, 1))
	core.ReceiveHint(begin, limitedStart, rateLimitHint(0, begin))
	core.SetServers([]inventory.Change{startEntry("a", 7, 5)})
	if core.CountServers(begin, StateRateLimited) != 1 {
		t.Error("an entry cleared the limit")
	}
	core.SetServers([]inventory.Change{startEntry("a", 8, 6)})
	core.ReceivePeerLimit(begin, limitedStart, admission.Observation{Limit: inventory.NewRateLimit(0), SentAt: begin, ReceivedAt: begin.Add(time.Second)})
	if core.CountServers(begin, StateRateLimited) != 0 {
		t.Error("the limit of a start applies to the next one")
	}
}

// TestLimitThatAPeerSawEndIsTriedByOne: a report that a limit ended may look newer than it is, if
// the request behind it took long.
func TestLimitThatAPeerSawEndIsTriedByOne(t *testing.T) {
	core := newCore(startEntry("a", 7, 1))
	request := Request{Service: "s", Model: "m"}
	core.ReceiveHint(begin, limitedStart, rateLimitHint(1, begin))
	now := begin.Add(time.Second)
	if !core.ReceivePeerLimit(now, limitedStart, admission.Observation{Limit: rateLimitHint(-1, now).Limit, SentAt: now, ReceivedAt: now}) {
		t.Error("the end of a limit is not reported as a change")
	}
	first, ok := core.Pick(now, request)
	if !ok || core.CanPick(now, request) {
		t.Fatalf("the first request is sent: %v, a second one meanwhile: %v", ok, core.CanPick(now, request))
	}
	core.ReceiveHint(now, first.Attempt.Start(), rateLimitHint(-1, now))
	core.RecordFirstByte(now, first.Attempt)
	if !core.CanPick(now, request) {
		t.Error("a response without a limit does not end the probing")
	}
}

// TestWhatLimitedServersHoldIsLoadedElsewhere: applies if a server accepts far fewer requests than
// it has slots for.
func TestWhatLimitedServersHoldIsLoadedElsewhere(t *testing.T) {
	slots := float64(startEntry("a", 7, 1).Server.Slots)
	cases := []struct {
		perSecond float64
		at        time.Duration
		want      []inventory.Start
	}{
		{0, time.Second, []inventory.Start{limitedStart}},
		{slots/2 - 0.1, time.Second, []inventory.Start{limitedStart}},
		{slots, time.Second, nil},
		{0, rateLimitMaxAge + time.Second, nil},
	}
	for _, c := range cases {
		core := newCore(startEntry("a", 7, 1))
		core.ReceiveHint(begin, limitedStart, rateLimitHint(c.perSecond, begin))
		if diff := cmp.Diff(c.want, core.UnavailableStarts(begin.Add(c.at))); diff != "" {
			t.Errorf("%v per second, after %v: %s", c.perSecond, c.at, diff)
		}
	}
}

// TestLimitsOfUnknownServersAreBounded: the state of servers without an entry is bounded.
func TestLimitsOfUnknownServersAreBounded(t *testing.T) {
	core := newCore()
	for number := range 2 * maxStarts {
		core.ReceiveHint(begin, inventory.Start{ID: fmt.Sprint(number)}, rateLimitHint(1, begin))
	}
	if len(core.starts) > maxStarts+1 {
		t.Errorf("%d starts are kept", len(core.starts))
	}
}

// TestDenialOfNewRequestsDoesNotHoldStreams guards against refusing streams that go on, unasked, where new
// requests of the node were denied: a coordinator grants them earlier.
func TestDenialOfNewRequestsDoesNotHoldStreams(t *testing.T) {
	core := New(Options{Zone: "z"})
	core.SetServers([]inventory.Change{
		{Server: inventory.Server{ID: "a", Service: "s", Address: "a", Zone: "z", Slots: 8, SoftwareVersion: "v1"}},
		{Server: inventory.Server{ID: "b", Service: "other", Address: "b", Zone: "z", Slots: 8, SoftwareVersion: "v2"}},
	})
	core.ReceiveHint(begin, inventory.Start{ID: "a"}, inventory.Hint{Limit: inventory.NewRateLimit(1), SentAt: begin})
	newRequest, goingOn := Request{Service: "s"}, Request{Service: "s", SoftwareVersion: "v1"}
	check := func(at time.Time, wantNew, wantGoingOn bool) {
		t.Helper()
		if core.CanPick(at, newRequest) != wantNew || core.CanPick(at, goingOn) != wantGoingOn {
			t.Errorf("after %v: new %v, going on %v; want %v and %v", at.Sub(begin), core.CanPick(at, newRequest), core.CanPick(at, goingOn), wantNew, wantGoingOn)
		}
	}
	check(begin, true, true)
	core.RecordDenial(begin, "a", newRequest.requirements(), 3*time.Second)
	check(begin.Add(time.Millisecond), false, true)
	if readyIn, ok := core.ReadyIn(begin.Add(time.Millisecond), newRequest.requirements()); !ok || readyIn < 2*time.Second {
		t.Errorf("a new request is expected to be granted in %v, %v; want what the coordinator told", readyIn, ok)
	}
	core.RecordDenial(begin, "a", goingOn.requirements(), 50*time.Millisecond)
	check(begin.Add(time.Millisecond), false, false)
	check(begin.Add(60*time.Millisecond), false, true)
	check(begin.Add(300*time.Millisecond), true, true)
}
