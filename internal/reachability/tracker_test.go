package reachability

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// fail records failures of the servers and plays the round of probes that they cause.
func fail(t *Tracker, at time.Duration, answered, probed, known int, servers ...string) (Transition, bool) {
	probe := false
	for _, server := range servers {
		probe = t.RecordFailure(start.Add(at), "svc", server) || probe
	}
	if !probe {
		return Transition{}, false
	}
	t.Begin(start.Add(at), "svc")
	return t.Finish(start.Add(at), "svc", Round{Probed: probed, Answered: answered, Known: known})
}

func TestServiceIsUnreachableOnceNoServerAnswers(t *testing.T) {
	cases := []struct {
		name                    string
		answered, probed, known int
		want                    bool
	}{
		{"another server answers", 1, 3, 18, false},
		{"none of three others answers", 0, 3, 18, true},
		{"none of two others answers", 0, 2, 3, true},
		{"the only server does not answer", 0, 0, 1, true},
		{"no server may be probed", 0, 0, 0, false},
		{"a sample too small to judge by", 0, 1, 18, false},
	}
	for _, c := range cases {
		tracker := New()
		transition, changed := fail(tracker, 0, c.answered, c.probed, c.known, "a")
		if changed != c.want || tracker.IsUnreachable("svc") != c.want || transition.IsUnreachable != c.want {
			t.Errorf("%s: %+v, changed %v, want %v", c.name, transition, changed, c.want)
		}
	}
}

func TestSilentServerCausesNoStormOfProbes(t *testing.T) {
	tracker := New()
	rounds := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if tracker.RecordFailure(start.Add(at), "svc", "a") {
			rounds++
			tracker.Begin(start.Add(at), "svc")
			tracker.Finish(start.Add(at), "svc", Round{Probed: 3, Answered: 3, Known: 18})
		}
	}
	if want := int(time.Second / suspicionInterval); rounds != want {
		t.Errorf("%d rounds in a second, want %d", rounds, want)
	}
}

func TestAnswerOnAnOldConnectionDoesNotEndAnOutage(t *testing.T) {
	tracker := New()
	fail(tracker, 0, 0, 3, 18, "a")
	tracker.RecordContact("svc", "b")
	if !tracker.IsUnreachable("svc") {
		t.Error("an answer ended the outage")
	}
	if due := tracker.Due(start.Add(recheckInterval)); len(due) != 1 {
		t.Errorf("due %v, want the service", due)
	}
}

// TestRelapseEndsLater checks that a flapping path costs no more than a round each time: after a
// relapse several successive rounds have to succeed.
func TestRelapseEndsLater(t *testing.T) {
	tracker := New()
	fail(tracker, 0, 0, 3, 18, "a")
	good := Round{Probed: 3, Answered: 1, Known: 18}
	if _, ended := tracker.Finish(start.Add(time.Second), "svc", good); !ended {
		t.Fatal("the first outage does not end with an answer")
	}
	fail(tracker, 2*time.Second, 0, 3, 18, "a")
	rounds := 0
	for tracker.IsUnreachable("svc") {
		rounds++
		tracker.Finish(start.Add(3*time.Second), "svc", good)
	}
	if rounds != relapseRounds {
		t.Errorf("a relapse ended after %d rounds, want %d", rounds, relapseRounds)
	}
}

func TestServiceWithoutServersIsNotUnreachable(t *testing.T) {
	tracker := New()
	fail(tracker, 0, 0, 3, 18, "a")
	if _, ended := tracker.Finish(start.Add(time.Second), "svc", Round{}); !ended || len(tracker.Unreachable()) != 0 {
		t.Error("a service without servers stays unreachable")
	}
}

// TestLongOutageIsProbedSeldom checks what a node costs servers that come back: 800 nodes may ask them
// at the same time.
func TestLongOutageIsProbedSeldom(t *testing.T) {
	tracker := New()
	fail(tracker, 0, 0, 3, 18, "a")
	probes, now := 0, time.Duration(0)
	for ; now < time.Minute; now += 100 * time.Millisecond {
		for range tracker.Due(start.Add(now)) {
			size, _ := tracker.Begin(start.Add(now), "svc")
			probes += size
			tracker.Finish(start.Add(now), "svc", Round{Probed: size, Known: 18})
		}
	}
	if want := fullRounds*SampleSize + int(time.Minute/maxRecheckInterval); probes > want {
		t.Errorf("%d probes in a minute, want at most %d", probes, want)
	}
}
