package poison

import (
	"testing"
	"time"
)

// alikeBesidePoison is a tally in which callers send alike ("alike") on each server that a poison
// request ended, and never ended well before: their request is barred first, as its report of the
// third server came first. It returns when the last server ended.
func alikeBesidePoison() (*Tracker, time.Time) {
	tally := taken(
		crash{"p", "a", 0, false}, crash{"alike", "a", 1, false},
		crash{"alike", "b", 400, false}, crash{"p", "b", 401, false},
		crash{"alike", "c", 2000, false}, crash{"p", "c", 2003, false},
		crash{"p", "d", 2450, false}, crash{"alike", "d", 2451, false},
	)
	for range earlyCopies {
		tally.RecordRefusal(named("alike"))
		tally.RecordRefusal(named("p"))
	}
	return tally, start.Add(2451 * time.Millisecond)
}

// TestAlikeBesideAPoisonRequestAreTriedSoon: which of two requests ended the servers that both ran
// on shows by one send of each, not by twenty seconds in which neither is served.
func TestAlikeBesideAPoisonRequestAreTriedSoon(t *testing.T) {
	tally, last := alikeBesidePoison()
	if got := tally.Status(last.Add(earlyTrial/2), named("alike")); got != StatusBarred {
		t.Errorf("standing %d before the repeats under way are over, want barred", got)
	}
	due := last.Add(earlyTrial)
	for _, request := range []string{"alike", "p"} {
		if got := tally.Status(due, named(request)); got != StatusOnTrial {
			t.Errorf("standing %d of %s a second after the last server, want on trial", got, request)
		}
	}
	if !tally.ClaimTrial(due, named("alike")) || tally.ClaimTrial(due, named("alike")) {
		t.Error("want one trial of what callers send alike")
	}
	if tally.ClaimTrial(due.Add(time.Second), named("p")) {
		t.Error("the poison request was tried beside the trial of the other: one would be blamed for both")
	}
	ended := due.Add(1500 * time.Millisecond)
	tally.Record(ended, Report{Fingerprint: named("alike"), Acquitted: true})
	if got := tally.Status(ended, named("alike")); got != StatusClear {
		t.Errorf("standing %d after its trial ended well, want sound", got)
	}
	if got := tally.Status(ended, named("p")); got != StatusBarred {
		t.Errorf("standing %d of the poison request once the other is acquitted, want barred", got)
	}
}

// TestEarlyTrialThatEndsAServer changes nothing: others ran there that may have ended it. The trial
// after the bar decides.
func TestEarlyTrialThatEndsAServer(t *testing.T) {
	tally, last := alikeBesidePoison()
	due := last.Add(earlyTrial)
	if !tally.ClaimTrial(due, named("p")) {
		t.Fatal("no trial was granted")
	}
	ended := due.Add(50 * time.Millisecond)
	tally.Record(ended, Report{Fingerprint: named("p"), ServerID: "e"})
	if left := tally.BarRemaining(due, named("p")); left != firstBar {
		t.Errorf("barred for %v from the trial on, want %v", left, firstBar)
	}
	if !tally.ClaimTrial(ended, named("alike")) {
		t.Error("the other request is not tried though the trial before is over")
	}
	tally.Record(ended.Add(time.Second), Report{Fingerprint: named("alike"), Acquitted: true})
	for _, after := range []time.Duration{0, 5 * time.Second, firstBar - time.Second} {
		if tally.ClaimTrial(ended.Add(after), named("p")) {
			t.Errorf("a second trial within the first bar, after %v", after)
		}
	}
	over := due.Add(firstBar)
	if !tally.ClaimTrial(over, named("p")) {
		t.Fatal("no trial after the bar")
	}
	tally.Record(over.Add(50*time.Millisecond), Report{Fingerprint: named("p"), ServerID: "f"})
	if left := tally.BarRemaining(over.Add(50*time.Millisecond), named("p")); left != barTime {
		t.Errorf("barred for %v after the second trial, want %v", left, barTime)
	}
}

// TestCoordinatorThatMissedServersGoesByTheAsker: one that started when the first servers had ended
// knows of the last and of the bar alone.
func TestCoordinatorThatMissedServersGoesByTheAsker(t *testing.T) {
	tally := NewTracker()
	tally.Record(start, Report{Fingerprint: named("alike"), ServerID: "c", BarredFor: firstBar})
	if tally.ClaimTrial(start.Add(earlyTrial/2), named("alike")) {
		t.Error("a trial beside copies that are under way was granted")
	}
	granted := 0
	for i := range 5 {
		if tally.ClaimTrial(start.Add(earlyTrial+time.Duration(i)*time.Second), named("alike")) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d early trials were granted, want 1", granted)
	}
}

// TestFewCopiesAreNotTriedEarly: a trial of one caller's repeats would end one more server.
func TestFewCopiesAreNotTriedEarly(t *testing.T) {
	tally := taken(
		crash{"p", "a", 0, false}, crash{"q", "a", 1, false}, crash{"p", "b", 400, false}, crash{"q", "b", 401, false},
		crash{"q", "c", 900, false}, crash{"p", "c", 901, false},
	)
	soon := start.Add(901*time.Millisecond + earlyTrial)
	for copies := range earlyCopies {
		if got := tally.Status(soon, named("q")); got != StatusBarred {
			t.Errorf("standing %d after %d copies were refused, want barred", got, copies)
		}
		tally.RecordRefusal(named("q"))
	}
	if got := tally.Status(soon, named("q")); got != StatusOnTrial {
		t.Errorf("standing %d after %d copies were refused, want on trial", got, earlyCopies)
	}
}

// TestRequestThatAloneEndedServersIsNotTriedSoon: nothing else explains them.
func TestRequestThatAloneEndedServersIsNotTriedSoon(t *testing.T) {
	tally := taken(
		crash{"p", "a", 0, false}, crash{"q", "a", 1, false}, crash{"p", "b", 400, false}, crash{"q", "b", 401, false},
		crash{"p", "c", 900, false},
	)
	for range earlyCopies {
		tally.RecordRefusal(named("p"))
	}
	soon := start.Add(900*time.Millisecond + earlyTrial)
	if got := tally.Status(soon, named("p")); got != StatusBarred {
		t.Errorf("standing %d, want barred: one server ended under it alone", got)
	}
	if tally.ClaimTrial(soon, named("p")) {
		t.Error("a trial was granted")
	}
}

// TestNodeThatHearsOfATrialAsksForNone: the bar that is told with a grant is longer than the one
// before, at nodes that did not grant it.
func TestNodeThatHearsOfATrialAsksForNone(t *testing.T) {
	granting, last := alikeBesidePoison()
	hearing, _ := alikeBesidePoison()
	due := last.Add(earlyTrial)
	granting.ClaimTrial(due, named("alike"))
	hearing.Record(due, Report{Fingerprint: named("alike"), BarredFor: granting.BarRemaining(due, named("alike"))})
	for _, after := range []time.Duration{0, time.Second, 10 * time.Second} {
		if got := hearing.Status(due.Add(after), named("alike")); got != StatusBarred {
			t.Errorf("standing %d at %v after the grant, want barred", got, after)
		}
	}
}
