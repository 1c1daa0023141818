package waiting

import (
	"testing"
	"time"
)

// TestDecide: each reason that ends the wait of a request, and what goes before what.
func TestDecide(t *testing.T) {
	now := worldBegin
	stream := Request{Arrived: now.Add(-time.Second), Deadline: now.Add(9 * time.Second), Stream: true, Goal: time.Second, NeedsModel: true}
	plain := Request{Arrived: now.Add(-time.Second / 2), Deadline: now.Add(9 * time.Second)}
	with := func(r Request, change func(r *Request)) Request { change(&r); return r }
	soon := Expectation{ReadyIn: time.Second, Announced: true}
	late := Expectation{ReadyIn: 5 * time.Second, Announced: true}
	cases := []struct {
		name     string
		request  Request
		state    State
		expected Expectation
		want     Verdict
	}{
		{"served within patience", stream, State{}, soon, Keep},
		{"served after patience", stream, State{}, late, RefuseTooLate},
		{"what nobody has begun may take half as long again", stream, State{}, Expectation{ReadyIn: 2 * time.Second}, RefuseTooLate},
		{"what is announced is more certain", stream, State{}, Expectation{ReadyIn: 2 * time.Second, Announced: true}, Keep},
		{"what is overdue takes as long again", stream, State{}, Expectation{Announced: true, Overdue: 4 * time.Second}, RefuseTooLate},
		{"news may be under way", with(stream, func(r *Request) { r.Arrived = now.Add(-NewsTime / 2) }), State{}, Expectation{ReadyIn: time.Hour}, Keep},
		{"of what is announced they are not waited for", with(stream, func(r *Request) { r.Arrived = now.Add(-NewsTime / 2) }), State{},
			Expectation{ReadyIn: time.Hour, Announced: true}, RefuseTooLate},
		{"what has begun is never refused", stream, State{HasBegun: true}, late, Keep},
		{"nobody waits", stream, State{CallerLeft: true, IsBarred: true}, late, Leave},
		{"the deadline passes", with(stream, func(r *Request) { r.Deadline = now.Add(FinishMargin) }), State{HasBegun: true}, soon, GiveUpDeadline},
		{"without a deadline", with(stream, func(r *Request) { r.Deadline = time.Time{} }), State{}, soon, GiveUpDeadline},
		{"barred", stream, State{IsBarred: true, NodeStops: true}, soon, RefuseBarred},
		{"on trial", stream, State{IsOnTrial: true, NodeStops: true}, soon, RefuseOnTrial},
		{"the node stops", stream, State{NodeStops: true}, soon, GiveUpStops},
		{"all servers had it", plain, State{AllTried: true}, soon, GiveUpTried},
		{"no server, and it is new", plain, State{}, Expectation{}, RefuseNoServer},
		{"no server, and it came back", with(plain, func(r *Request) { r.Returned = true }), State{}, Expectation{}, Keep},
		{"no server for too long", with(plain, func(r *Request) { r.Returned, r.Arrived = true, now.Add(-ServerReturnTime) }), State{}, Expectation{}, RefuseNoServer},
		{"a server that says when it takes it", plain, State{}, soon, Keep},
	}
	for _, c := range cases {
		if got := Decide(now, c.request, c.state, c.expected); got.Verdict != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got.Verdict, c.want)
		}
	}
	if got := Decide(now, stream, State{}, late); got.Ready != late.ReadyIn+refusalMargin {
		t.Errorf("told to come back in %v, want when the model is there", got.Ready)
	}
}

// TestNextLookEnds: whatever is expected, a request looks again, and never at once.
func TestNextLookEnds(t *testing.T) {
	now := worldBegin
	for _, left := range []time.Duration{-time.Hour, 0, FinishMargin, time.Second, time.Hour} {
		for _, readyIn := range []time.Duration{-time.Second, 0, time.Millisecond, time.Hour} {
			for _, waited := range []time.Duration{0, NewsTime, time.Hour} {
				request := Request{Arrived: now.Add(-waited), Deadline: now.Add(left)}
				got := NextLook(now, now.Add(-waited), request, Expectation{ReadyIn: readyIn, Announced: true})
				if got < time.Millisecond || got > RecheckTime {
					t.Errorf("%v left, ready in %v, waited %v: looks again in %v", left, readyIn, waited, got)
				}
			}
		}
	}
}

// TestPatience: the caller's deadline bounds it, and for a stream the time to its first event.
func TestPatience(t *testing.T) {
	held := Request{Arrived: worldBegin, Deadline: worldBegin.Add(10 * time.Second), Goal: time.Second}
	if got := held.Patience(); got != 10*time.Second {
		t.Errorf("a plain request: %v", got)
	}
	held.Stream = true
	if got := held.Patience(); got != patienceGoals*time.Second {
		t.Errorf("a stream: %v", got)
	}
	held.Goal = 0
	if got := held.Patience(); got != patienceLeast {
		t.Errorf("a stream without an objective: %v", got)
	}
}
