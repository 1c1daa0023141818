package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// TestBarEndsWhenItsNodeSays guards against bars that nodes lengthen by telling each other of them: no
// node bars a request for longer than the one that began the bar, but for the time that the first report
// was under way, and a trial's bar replaces the one before wherever it is heard.
func TestBarEndsWhenItsNodeSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxDelay = 2 * time.Second
		request := requestNamed("p")
		nodes := make([]*Tracker, rapid.IntRange(2, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = NewTracker()
		}
		for crash := range CrashLimit {
			nodes[0].Record(start.Add(time.Duration(crash)*time.Second), Report{Fingerprint: request, ServerID: fmt.Sprint(crash)})
		}
		now := start.Add(CrashLimit * time.Second)
		end := now.Add(nodes[0].BarRemaining(now, request))
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			if !now.Before(end) && nodes[0].Status(now, request) == StatusOnTrial && nodes[0].ClaimTrial(now, request) {
				end = now.Add(nodes[0].BarRemaining(now, request))
			}
			from, to := rapid.IntRange(0, len(nodes)-1).Draw(t, "from"), rapid.IntRange(0, len(nodes)-1).Draw(t, "to")
			delay := time.Duration(rapid.IntRange(0, int(maxDelay.Milliseconds())).Draw(t, "delay")) * time.Millisecond
			if report := nodes[from].LastReport(now, request); report.BarredFor > 0 {
				nodes[to].Record(now.Add(delay), report)
			}
			for i, node := range nodes {
				if until := now.Add(node.BarRemaining(now, request)); until.After(end.Add(time.Duration(len(nodes)-1) * maxDelay)) {
					t.Fatalf("node %d bars until %v, the bar ends at %v", i, until.Sub(start), end.Sub(start))
				}
			}
		}
		nodes[1].Record(now, nodes[0].LastReport(now, request))
		if nodes[0].BarRemaining(now, request) > 0 && nodes[1].Bar(now, request).Serial != nodes[0].Bar(now, request).Serial {
			t.Fatalf("node 1 takes bar %+v for the present one, %+v", nodes[1].Bar(now, request), nodes[0].Bar(now, request))
		}
	})
}

// TestReportOfABarBeforeASuccessIsVoid guards against a bar that comes back by a report which was under
// way when its request succeeded.
func TestReportOfABarBeforeASuccessIsVoid(t *testing.T) {
	request := requestNamed("p")
	node := NewTracker()
	report := Report{Fingerprint: request, BarredFor: firstBarTime, Bar: Bar{Serial: 1, Time: firstBarTime}}
	node.Record(start, report)
	node.Record(start.Add(time.Second), Report{Fingerprint: request, Acquitted: true})
	node.Record(start.Add(2*time.Second), report.After(2*time.Second))
	if got := node.Status(start.Add(time.Second+successTTL), request); got != StatusClear {
		t.Errorf("status %d after a success, want clear", got)
	}
}
