package waiting

import (
	"testing"
	"time"
)

// TestDecide covers each verdict and the precedence among them.
func TestDecide(t *testing.T) {
	now := simStart
	stream := Request{Arrived: now.Add(-time.Second), Deadline: now.Add(9 * time.Second), Stream: true, LatencyGoal: time.Second, NeedsModel: true}
	plain := Request{Arrived: now.Add(-time.Second / 2), Deadline: now.Add(9 * time.Second)}
	modified := func(r Request, change func(r *Request)) Request { change(&r); return r }
	readySoon := ReadinessEstimate{ReadyIn: time.Second, Announced: true}
	readyLate := ReadinessEstimate{ReadyIn: 5 * time.Second, Announced: true}
	cases := []struct {
		name     string
		request  Request
		state    State
		expected ReadinessEstimate
		want     Verdict
	}{
		{"ready within MaxWait", stream, State{}, readySoon, KeepWaiting},
		{"ready after MaxWait", stream, State{}, readyLate, RefuseLoadTooSlow},
		{"an unannounced load may take half as long again", stream, State{}, ReadinessEstimate{ReadyIn: 2 * time.Second}, RefuseLoadTooSlow},
		{"an announced load has a smaller error", stream, State{}, ReadinessEstimate{ReadyIn: 2 * time.Second, Announced: true}, KeepWaiting},
		{"an overdue load takes as long again", stream, State{}, ReadinessEstimate{Announced: true, Overdue: 4 * time.Second}, RefuseLoadTooSlow},
		{"within the announcement grace period", modified(stream, func(r *Request) { r.Arrived = now.Add(-AnnouncementGracePeriod / 2) }), State{}, ReadinessEstimate{ReadyIn: time.Hour}, KeepWaiting},
		{"no grace period after an announcement", modified(stream, func(r *Request) { r.Arrived = now.Add(-AnnouncementGracePeriod / 2) }), State{},
			ReadinessEstimate{ReadyIn: time.Hour, Announced: true}, RefuseLoadTooSlow},
		{"a request that may have run is never refused", stream, State{MayHaveRun: true}, readyLate, KeepWaiting},
		{"caller gone", stream, State{CallerGone: true, IsBarred: true}, readyLate, CallerGone},
		{"deadline reached", modified(stream, func(r *Request) { r.Deadline = now.Add(ResponseMargin) }), State{MayHaveRun: true}, readySoon, FailDeadline},
		{"no deadline", modified(stream, func(r *Request) { r.Deadline = time.Time{} }), State{}, readySoon, FailDeadline},
		{"barred", stream, State{IsBarred: true, NodeStopping: true}, readySoon, RefuseBarred},
		{"on trial", stream, State{IsOnTrial: true, NodeStopping: true}, readySoon, RefuseOnTrial},
		{"node stopping", stream, State{NodeStopping: true}, readySoon, FailNodeStopping},
		{"all servers tried", plain, State{AllServersTried: true}, readySoon, FailAllServersTried},
		{"no server, first attempt", plain, State{}, ReadinessEstimate{}, RefuseNoServer},
		{"no server, retry", modified(plain, func(r *Request) { r.IsRetry = true }), State{}, ReadinessEstimate{}, KeepWaiting},
		{"no server, retry, waited too long", modified(plain, func(r *Request) { r.IsRetry, r.Arrived = true, now.Add(-ServerRegistrationTime) }), State{}, ReadinessEstimate{}, RefuseNoServer},
		{"a server that states when it accepts requests", plain, State{}, readySoon, KeepWaiting},
	}
	for _, c := range cases {
		if got := Decide(now, c.request, c.state, c.expected); got.Verdict != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got.Verdict, c.want)
		}
	}
	if got := Decide(now, stream, State{}, readyLate); got.ReadyIn != readyLate.ReadyIn+retryAfterMargin {
		t.Errorf("ReadyIn is %v, want the model's ready time plus retryAfterMargin", got.ReadyIn)
	}
}

// TestRecheckDelayIsBounded: for any estimate and deadline a request is decided on again
// within RecheckInterval, but never in a busy loop.
func TestRecheckDelayIsBounded(t *testing.T) {
	now := simStart
	for _, remaining := range []time.Duration{-time.Hour, 0, ResponseMargin, time.Second, time.Hour} {
		for _, readyIn := range []time.Duration{-time.Second, 0, time.Millisecond, time.Hour} {
			for _, waited := range []time.Duration{0, AnnouncementGracePeriod, time.Hour} {
				request := Request{Arrived: now.Add(-waited), Deadline: now.Add(remaining)}
				got := RecheckDelay(now, now.Add(-waited), request, ReadinessEstimate{ReadyIn: readyIn, Announced: true})
				if got < time.Millisecond || got > RecheckInterval {
					t.Errorf("%v until the deadline, ready in %v, waited %v: recheck delay %v", remaining, readyIn, waited, got)
				}
			}
		}
	}
}

// TestPatience: MaxWait is bounded by the deadline and, for a stream, by the time that callers
// wait for the first event.
func TestPatience(t *testing.T) {
	request := Request{Arrived: simStart, Deadline: simStart.Add(10 * time.Second), LatencyGoal: time.Second}
	if got := request.MaxWait(); got != 10*time.Second {
		t.Errorf("MaxWait of a plain request: %v", got)
	}
	request.Stream = true
	if got := request.MaxWait(); got != latencyGoalMultiple*time.Second {
		t.Errorf("MaxWait of a stream: %v", got)
	}
	request.LatencyGoal = 0
	if got := request.MaxWait(); got != minStreamWait {
		t.Errorf("MaxWait of a stream without a latency goal: %v", got)
	}
}
