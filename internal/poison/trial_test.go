package poison

import (
	"testing"
	"time"
)

// barredTally is a tally in which p was barred, and the moment after its first bar.
func barredTally() (*Tracker, time.Time) {
	tally := taken(crash{"p", "a", 0, false}, crash{"p", "b", 500, false}, crash{"p", "c", 900, false})
	return tally, start.Add(900*time.Millisecond + firstBar + time.Millisecond)
}

// TestTrialIsClaimedOnce: of the copies that come when a bar ends one is sent.
func TestTrialIsClaimedOnce(t *testing.T) {
	tally, over := barredTally()
	if tally.ClaimTrial(over.Add(-time.Second), named("p")) {
		t.Fatal("a trial was granted while the request is barred")
	}
	granted := 0
	for i := range 5 {
		if tally.ClaimTrial(over.Add(time.Duration(i)*time.Millisecond), named("p")) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d of 5 copies were granted a trial, want 1", granted)
	}
	if got := tally.Status(over.Add(time.Second), named("p")); got != StatusBarred {
		t.Errorf("standing %d beside the trial, want barred", got)
	}
}

// TestTrialThatEndsAServer bars for long, at the node that tried and at those that hear of it.
func TestTrialThatEndsAServer(t *testing.T) {
	tally, over := barredTally()
	tally.ClaimTrial(over, named("p"))
	ended := over.Add(50 * time.Millisecond)
	tally.Record(ended, Report{Fingerprint: named("p"), ServerID: "d"})
	if left := tally.BarRemaining(ended, named("p")); left != barTime {
		t.Errorf("barred for %v after a trial that ended a server, want %v", left, barTime)
	}
	other, _ := barredTally()
	for _, report := range tally.Reports(ended, named("p")) {
		other.Record(ended, report)
	}
	if left := other.BarRemaining(ended, named("p")); left != barTime {
		t.Errorf("barred for %v at a node that was told, want %v", left, barTime)
	}
}

// TestTrialThatEndsWell acquits.
func TestTrialThatEndsWell(t *testing.T) {
	tally, over := barredTally()
	tally.ClaimTrial(over, named("p"))
	tally.Record(over.Add(time.Second), Report{Fingerprint: named("p"), Acquitted: true})
	if got := tally.Status(over.Add(2*time.Second), named("p")); got != StatusClear {
		t.Errorf("standing %d after a trial that ended well, want sound", got)
	}
}

// TestTrialsThatTellNothing come ever more rarely: each may have ended a server that nobody
// saw end.
func TestTrialsThatTellNothing(t *testing.T) {
	tally, now := barredTally()
	granted := 0
	for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(time.Second) {
		if tally.ClaimTrial(now, named("p")) {
			granted++
		}
	}
	if granted != 4 {
		t.Errorf("%d trials in five minutes, want 4: at once and after 20, 60 and 140 s", granted)
	}
}

// TestTrialOfAnUnknownBar: a coordinator that has just started knows of no bar.
func TestTrialOfAnUnknownBar(t *testing.T) {
	tally := NewTracker()
	if !tally.ClaimTrial(start, named("p")) || tally.ClaimTrial(start.Add(time.Second), named("p")) {
		t.Error("want one trial")
	}
}

// TestLiftedBar: what was known is forgotten, what others still tell of the bar is left out,
// and the request is barred again as any other.
func TestLiftedBar(t *testing.T) {
	tally, _ := barredTally()
	lifted := start.Add(5 * time.Second)
	if !tally.Record(lifted, Report{Fingerprint: named("p"), Lifted: true}) || tally.Record(lifted, Report{Fingerprint: named("p"), Lifted: true}) {
		t.Error("a lift is news once")
	}
	tally.Record(lifted.Add(time.Second), Report{Fingerprint: named("p"), ServerID: "a", Age: 5 * time.Second, BarredFor: 10 * time.Second})
	tally.Record(lifted.Add(time.Second), Report{Fingerprint: named("p"), BarredFor: 10 * time.Second})
	if got := tally.Status(lifted.Add(time.Second), named("p")); got != StatusClear {
		t.Errorf("standing %d after the bar was lifted, want sound", got)
	}
	for i, server := range []string{"x", "y", "z"} {
		tally.Record(lifted.Add(time.Duration(2+i)*time.Second), Report{Fingerprint: named("p"), ServerID: server})
	}
	if got := tally.Status(lifted.Add(5*time.Second), named("p")); got != StatusBarred {
		t.Errorf("standing %d after three more servers, want barred", got)
	}
}
