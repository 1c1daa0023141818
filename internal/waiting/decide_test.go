package waiting

import (
	"testing"
	"time"
)

// TestDecide: each reason that ends the wait of a request, and what goes before what.
func TestDecide(t *testing.T) {
	now := worldBegin
	stream := Request{Arrived: now.Add(-time.Second), Deadline: now.Add(9 * time.Second), Stream: true, LatencyGoal: time.Second, NeedsModel: true}
	plain := Request{Arrived: now.Add(-time.Second / 2), Deadline: now.Add(9 * time.Second)}
	with := func(r Request, change func(r *Request)) Request { change(&r); return r }
	soon := ReadinessEstimate{ReadyIn: time.Second, Announced: true}
	late := ReadinessEstimate{ReadyIn: 5 * time.Second, Announced: true}
	cases := []struct {
		name     string
		request  Request
		state    State
		expected ReadinessEstimate
		want     Verdict
	}{
		{"served within patience", stream, State{}, soon, KeepWaiting},
		{"served after patience", stream, State{}, late, RefuseLoadTooSlow},
		{"what nobody has begun may take half as long again", stream, State{}, ReadinessEstimate{ReadyIn: 2 * time.Second}, RefuseLoadTooSlow},
		{"what is announced is more certain", stream, State{}, ReadinessEstimate{ReadyIn: 2 * time.Second, Announced: true}, KeepWaiting},
		{"what is overdue takes as long again", stream, State{}, ReadinessEstimate{Announced: true, Overdue: 4 * time.Second}, RefuseLoadTooSlow},
		{"news may be under way", with(stream, func(r *Request) { r.Arrived = now.Add(-AnnouncementGracePeriod / 2) }), State{}, ReadinessEstimate{ReadyIn: time.Hour}, KeepWaiting},
		{"of what is announced they are not waited for", with(stream, func(r *Request) { r.Arrived = now.Add(-AnnouncementGracePeriod / 2) }), State{},
			ReadinessEstimate{ReadyIn: time.Hour, Announced: true}, RefuseLoadTooSlow},
		{"what has begun is never refused", stream, State{MayHaveRun: true}, late, KeepWaiting},
		{"nobody waits", stream, State{CallerGone: true, IsBarred: true}, late, CallerGone},
		{"the deadline passes", with(stream, func(r *Request) { r.Deadline = now.Add(ResponseMargin) }), State{MayHaveRun: true}, soon, FailDeadline},
		{"without a deadline", with(stream, func(r *Request) { r.Deadline = time.Time{} }), State{}, soon, FailDeadline},
		{"barred", stream, State{IsBarred: true, NodeStopping: true}, soon, RefuseBarred},
		{"on trial", stream, State{IsOnTrial: true, NodeStopping: true}, soon, RefuseOnTrial},
		{"the node stops", stream, State{NodeStopping: true}, soon, FailNodeStopping},
		{"all servers had it", plain, State{AllServersTried: true}, soon, FailAllServersTried},
		{"no server, and it is new", plain, State{}, ReadinessEstimate{}, RefuseNoServer},
		{"no server, and it came back", with(plain, func(r *Request) { r.IsRetry = true }), State{}, ReadinessEstimate{}, KeepWaiting},
		{"no server for too long", with(plain, func(r *Request) { r.IsRetry, r.Arrived = true, now.Add(-ServerRegistrationTime) }), State{}, ReadinessEstimate{}, RefuseNoServer},
		{"a server that says when it takes it", plain, State{}, soon, KeepWaiting},
	}
	for _, c := range cases {
		if got := Decide(now, c.request, c.state, c.expected); got.Verdict != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got.Verdict, c.want)
		}
	}
	if got := Decide(now, stream, State{}, late); got.ReadyIn != late.ReadyIn+refusalMargin {
		t.Errorf("told to come back in %v, want when the model is there", got.ReadyIn)
	}
}

// TestNextLookEnds: whatever is expected, a request looks again, and never at once.
func TestNextLookEnds(t *testing.T) {
	now := worldBegin
	for _, left := range []time.Duration{-time.Hour, 0, ResponseMargin, time.Second, time.Hour} {
		for _, readyIn := range []time.Duration{-time.Second, 0, time.Millisecond, time.Hour} {
			for _, waited := range []time.Duration{0, AnnouncementGracePeriod, time.Hour} {
				request := Request{Arrived: now.Add(-waited), Deadline: now.Add(left)}
				got := RecheckDelay(now, now.Add(-waited), request, ReadinessEstimate{ReadyIn: readyIn, Announced: true})
				if got < time.Millisecond || got > RecheckInterval {
					t.Errorf("%v left, ready in %v, waited %v: looks again in %v", left, readyIn, waited, got)
				}
			}
		}
	}
}

// TestPatience: the caller's deadline bounds it, and for a stream the time to its first event.
func TestPatience(t *testing.T) {
	held := Request{Arrived: worldBegin, Deadline: worldBegin.Add(10 * time.Second), LatencyGoal: time.Second}
	if got := held.MaxWait(); got != 10*time.Second {
		t.Errorf("a plain request: %v", got)
	}
	held.Stream = true
	if got := held.MaxWait(); got != patienceGoals*time.Second {
		t.Errorf("a stream: %v", got)
	}
	held.LatencyGoal = 0
	if got := held.MaxWait(); got != patienceLeast {
		t.Errorf("a stream without an objective: %v", got)
	}
}
