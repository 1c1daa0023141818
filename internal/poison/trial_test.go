package poison

import (
	"testing"
	"time"
)

// barredTracker is a tracker in which p was barred, and the time right after its first bar.
func barredTracker() (*Tracker, time.Time) {
	tracker := trackerWith(crashAt{"p", "a", 0, false}, crashAt{"p", "b", 500, false}, crashAt{"p", "c", 900, false})
	return tracker, start.Add(900*time.Millisecond + firstBarTime + time.Millisecond)
}

// Of the copies that arrive when a bar ends only one is granted a trial.
func TestTrialIsClaimedOnce(t *testing.T) {
	tracker, over := barredTracker()
	if tracker.ClaimTrial(over.Add(-time.Second), requestNamed("p")) {
		t.Fatal("a trial was granted while the request is barred")
	}
	granted := 0
	for i := range 5 {
		if tracker.ClaimTrial(over.Add(time.Duration(i)*time.Millisecond), requestNamed("p")) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d of 5 copies were granted a trial, want 1", granted)
	}
	if got := tracker.Status(over.Add(time.Second), requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d during the trial, want barred", got)
	}
}

// A crash in a trial bars the request for repeatBarTime, at the node that claimed the trial and at those that
// get its reports.
func TestTrialThatEndsAServer(t *testing.T) {
	tracker, over := barredTracker()
	tracker.ClaimTrial(over, requestNamed("p"))
	ended := over.Add(50 * time.Millisecond)
	tracker.Record(ended, Report{Fingerprint: requestNamed("p"), ServerID: "d"})
	if left := tracker.BarRemaining(ended, requestNamed("p")); left != repeatBarTime {
		t.Errorf("barred for %v after a trial that crashed a server, want %v", left, repeatBarTime)
	}
	other, _ := barredTracker()
	for _, report := range tracker.Reports(ended, requestNamed("p")) {
		other.Record(ended, report)
	}
	if left := other.BarRemaining(ended, requestNamed("p")); left != repeatBarTime {
		t.Errorf("barred for %v at a node that got the reports, want %v", left, repeatBarTime)
	}
}

// A successful trial clears the request.
func TestTrialThatEndsWell(t *testing.T) {
	tracker, over := barredTracker()
	tracker.ClaimTrial(over, requestNamed("p"))
	tracker.Record(over.Add(time.Second), Report{Fingerprint: requestNamed("p"), Acquitted: true})
	if got := tracker.Status(over.Add(2*time.Second), requestNamed("p")); got != StatusClear {
		t.Errorf("status %d after a successful trial, want clear", got)
	}
}

// Trials without a known result become ever rarer: each may have crashed a server unnoticed.
func TestTrialsThatTellNothing(t *testing.T) {
	tracker, now := barredTracker()
	granted := 0
	for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(time.Second) {
		if tracker.ClaimTrial(now, requestNamed("p")) {
			granted++
		}
	}
	if granted != 4 {
		t.Errorf("%d trials in five minutes, want 4: at once and after 20, 60 and 140 s", granted)
	}
}

// A coordinator that has just started and knows of no bar grants one trial.
func TestTrialOfAnUnknownBar(t *testing.T) {
	tracker := NewTracker()
	if !tracker.ClaimTrial(start, requestNamed("p")) || tracker.ClaimTrial(start.Add(time.Second), requestNamed("p")) {
		t.Error("want one trial")
	}
}

// Lifting a bar forgets the request's crashes, later reports of the old bar are ignored, and new crashes bar
// the request as any other.
func TestLiftedBar(t *testing.T) {
	tracker, _ := barredTracker()
	lifted := start.Add(5 * time.Second)
	if !tracker.Record(lifted, Report{Fingerprint: requestNamed("p"), Lifted: true}) || tracker.Record(lifted, Report{Fingerprint: requestNamed("p"), Lifted: true}) {
		t.Error("want a lift to be news exactly once")
	}
	tracker.Record(lifted.Add(time.Second), Report{Fingerprint: requestNamed("p"), ServerID: "a", Age: 5 * time.Second, BarredFor: 10 * time.Second})
	tracker.Record(lifted.Add(time.Second), Report{Fingerprint: requestNamed("p"), BarredFor: 10 * time.Second})
	if got := tracker.Status(lifted.Add(time.Second), requestNamed("p")); got != StatusClear {
		t.Errorf("status %d after the bar was lifted, want clear", got)
	}
	for i, server := range []string{"x", "y", "z"} {
		tracker.Record(lifted.Add(time.Duration(2+i)*time.Second), Report{Fingerprint: requestNamed("p"), ServerID: server})
	}
	if got := tracker.Status(lifted.Add(5*time.Second), requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d after three more crashes, want barred", got)
	}
}
