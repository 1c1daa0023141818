package poison

import (
	"testing"
	"time"
)

// identicalBesidePoison is a tracker in which a request that many callers send identically ("alike") ran on
// each server that a poison request crashed, and never succeeded before. It is barred first, as its report
// of the third crash came first. The time returned is that of the last crash.
func identicalBesidePoison() (*Tracker, time.Time) {
	tracker := trackerWith(
		crashAt{"p", "a", 0, false}, crashAt{"alike", "a", 1, false},
		crashAt{"alike", "b", 400, false}, crashAt{"p", "b", 401, false},
		crashAt{"alike", "c", 2000, false}, crashAt{"p", "c", 2003, false},
		crashAt{"p", "d", 2450, false}, crashAt{"alike", "d", 2451, false},
	)
	for range earlyTrialRefusals {
		tracker.RecordRefusal(requestNamed("alike"))
		tracker.RecordRefusal(requestNamed("p"))
	}
	return tracker, start.Add(2451 * time.Millisecond)
}

// Guards against refusing a harmless request for 20 s: which of two requests crashed the servers that ran
// both shows by one trial of each.
func TestAlikeBesideAPoisonRequestAreTriedSoon(t *testing.T) {
	tracker, last := identicalBesidePoison()
	if got := tracker.Status(last.Add(earlyTrialDelay/2), requestNamed("alike")); got != StatusBarred {
		t.Errorf("status %d before the copies in flight have ended, want barred", got)
	}
	due := last.Add(earlyTrialDelay)
	for _, request := range []string{"alike", "p"} {
		if got := tracker.Status(due, requestNamed(request)); got != StatusOnTrial {
			t.Errorf("status %d of %s a second after the last crash, want on trial", got, request)
		}
	}
	if !tracker.ClaimTrial(due, requestNamed("alike")) || tracker.ClaimTrial(due, requestNamed("alike")) {
		t.Error("want one trial of the identical requests")
	}
	if tracker.ClaimTrial(due.Add(time.Second), requestNamed("p")) {
		t.Error("the poison request was tried during the trial of the other one, which would be blamed for its crash")
	}
	ended := due.Add(1500 * time.Millisecond)
	tracker.Record(ended, Report{Fingerprint: requestNamed("alike"), Acquitted: true})
	if got := tracker.Status(ended, requestNamed("alike")); got != StatusClear {
		t.Errorf("status %d after its trial succeeded, want clear", got)
	}
	if got := tracker.Status(ended, requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d of the poison request once the other one is acquitted, want barred", got)
	}
}

// A crash in an early trial changes nothing, since other requests run there that may have caused it. The
// trial after the bar decides.
func TestEarlyTrialThatEndsAServer(t *testing.T) {
	tracker, last := identicalBesidePoison()
	due := last.Add(earlyTrialDelay)
	if !tracker.ClaimTrial(due, requestNamed("p")) {
		t.Fatal("no trial was granted")
	}
	ended := due.Add(50 * time.Millisecond)
	tracker.Record(ended, Report{Fingerprint: requestNamed("p"), ServerID: "e"})
	if left := tracker.BarRemaining(due, requestNamed("p")); left != firstBarTime {
		t.Errorf("barred for %v after the trial, want %v", left, firstBarTime)
	}
	if !tracker.ClaimTrial(ended, requestNamed("alike")) {
		t.Error("no trial of the other request although the first trial is over")
	}
	tracker.Record(ended.Add(time.Second), Report{Fingerprint: requestNamed("alike"), Acquitted: true})
	for _, after := range []time.Duration{0, 5 * time.Second, firstBarTime - time.Second} {
		if tracker.ClaimTrial(ended.Add(after), requestNamed("p")) {
			t.Errorf("a second trial within the first bar, after %v", after)
		}
	}
	over := due.Add(firstBarTime)
	if !tracker.ClaimTrial(over, requestNamed("p")) {
		t.Fatal("no trial after the bar")
	}
	tracker.Record(over.Add(50*time.Millisecond), Report{Fingerprint: requestNamed("p"), ServerID: "f"})
	if left := tracker.BarRemaining(over.Add(50*time.Millisecond), requestNamed("p")); left != repeatBarTime {
		t.Errorf("barred for %v after the second trial, want %v", left, repeatBarTime)
	}
}

// A coordinator that started after the first crashes knows only the last one and the bar, and trusts the
// node that asks for the trial.
func TestCoordinatorThatMissedServersGoesByTheAsker(t *testing.T) {
	tracker := NewTracker()
	tracker.Record(start, Report{Fingerprint: requestNamed("alike"), ServerID: "c", BarredFor: firstBarTime})
	if tracker.ClaimTrial(start.Add(earlyTrialDelay/2), requestNamed("alike")) {
		t.Error("a trial was granted while copies are in flight")
	}
	granted := 0
	for i := range 5 {
		if tracker.ClaimTrial(start.Add(earlyTrialDelay+time.Duration(i)*time.Second), requestNamed("alike")) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d early trials were granted, want 1", granted)
	}
}

// Guards against an early trial of one caller's retries, which would crash one more server.
func TestFewCopiesAreNotTriedEarly(t *testing.T) {
	tracker := trackerWith(
		crashAt{"p", "a", 0, false}, crashAt{"q", "a", 1, false}, crashAt{"p", "b", 400, false}, crashAt{"q", "b", 401, false},
		crashAt{"q", "c", 900, false}, crashAt{"p", "c", 901, false},
	)
	soon := start.Add(901*time.Millisecond + earlyTrialDelay)
	for copies := range earlyTrialRefusals {
		if got := tracker.Status(soon, requestNamed("q")); got != StatusBarred {
			t.Errorf("status %d after %d refused copies, want barred", got, copies)
		}
		tracker.RecordRefusal(requestNamed("q"))
	}
	if got := tracker.Status(soon, requestNamed("q")); got != StatusOnTrial {
		t.Errorf("status %d after %d refused copies, want on trial", got, earlyTrialRefusals)
	}
}

// A request gets no early trial if no other request ran on all of its crashed servers.
func TestRequestThatAloneEndedServersIsNotTriedSoon(t *testing.T) {
	tracker := trackerWith(
		crashAt{"p", "a", 0, false}, crashAt{"q", "a", 1, false}, crashAt{"p", "b", 400, false}, crashAt{"q", "b", 401, false},
		crashAt{"p", "c", 900, false},
	)
	for range earlyTrialRefusals {
		tracker.RecordRefusal(requestNamed("p"))
	}
	soon := start.Add(900*time.Millisecond + earlyTrialDelay)
	if got := tracker.Status(soon, requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d, want barred: one server crashed under no other request", got)
	}
	if tracker.ClaimTrial(soon, requestNamed("p")) {
		t.Error("a trial was granted")
	}
}

// The bar that is reported with a granted trial is longer than before, so that nodes that did not grant it
// do not ask for another.
func TestNodeThatHearsOfATrialAsksForNone(t *testing.T) {
	granting, last := identicalBesidePoison()
	receiving, _ := identicalBesidePoison()
	due := last.Add(earlyTrialDelay)
	granting.ClaimTrial(due, requestNamed("alike"))
	receiving.Record(due, Report{Fingerprint: requestNamed("alike"), BarredFor: granting.BarRemaining(due, requestNamed("alike"))})
	for _, after := range []time.Duration{0, time.Second, 10 * time.Second} {
		if got := receiving.Status(due.Add(after), requestNamed("alike")); got != StatusBarred {
			t.Errorf("status %d at %v after the grant, want barred", got, after)
		}
	}
}

// TestCoordinatorThatHeardOfTheBarLateGrantsTheTrial guards against a coordinator that refuses the early
// trial to all who ask: because it heard of the bar by a repeated report, with a little less than the first
// bar left, or because two nodes that tell each other of the bar take it for longer each time, by the time
// that their datagrams are under way.
func TestCoordinatorThatHeardOfTheBarLateGrantsTheTrial(t *testing.T) {
	const late = 26 * time.Millisecond
	heardLate := NewTracker()
	heardLate.Record(start, Report{Fingerprint: requestNamed("p"), ServerID: "a", Age: late, BarredFor: firstBarTime - late})
	if !heardLate.ClaimTrial(start.Add(2*earlyTrialDelay), requestNamed("p")) {
		t.Error("heard late: the trial is refused")
	}
	const delay = 80 * time.Millisecond
	nodes := [2]*Tracker{NewTracker(), NewTracker()}
	for _, node := range nodes {
		node.Record(start, Report{Fingerprint: requestNamed("p"), ServerID: "a", BarredFor: firstBarTime})
	}
	for second := range 5 {
		for sender, node := range nodes {
			at := start.Add(time.Duration(second)*time.Second + time.Duration(sender)*delay)
			nodes[1-sender].Record(at.Add(delay), node.LastReport(at, requestNamed("p")))
		}
	}
	if !nodes[0].ClaimTrial(start.Add(5*time.Second), requestNamed("p")) {
		t.Errorf("told again and again: the trial is refused, %v of the bar are left", nodes[0].BarRemaining(start.Add(5*time.Second), requestNamed("p")))
	}
}
