package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func named(name string) Fingerprint { return NewFingerprint(Identity{Target: name}) }

// crash is that a server ended under a request, so many milliseconds after the start.
type crash struct {
	request, server string
	at              int
	acquitted       bool
}

func taken(crashes ...crash) *Tracker {
	tally := NewTracker()
	for _, c := range crashes {
		tally.Record(start.Add(time.Duration(c.at)*time.Millisecond), Report{Fingerprint: named(c.request), ServerID: c.server, Acquitted: c.acquitted})
	}
	return tally
}

func TestStanding(t *testing.T) {
	tests := []struct {
		name    string
		crashes []crash
		want    Status
	}{
		{"nothing known", nil, StatusClear},
		{"two servers", []crash{{"p", "a", 0, false}, {"p", "b", 500, false}}, StatusSuspect},
		{"three servers", []crash{{"p", "a", 0, false}, {"p", "b", 500, false}, {"p", "c", 900, false}}, StatusBarred},
		{"one server, told by three nodes", []crash{{"p", "a", 0, false}, {"p", "a", 400, false}, {"p", "a", 900, false}}, StatusSuspect},
		{"a rack that fails", []crash{{"p", "a", 0, false}, {"p", "b", 3, false}, {"p", "c", 6, false}}, StatusSuspect},
		{"ended well between", []crash{{"p", "a", 0, false}, {"p", "b", 500, false}, {"p", "", 700, true}, {"p", "c", 900, false}}, StatusClear},
		{"ended well before", []crash{{"p", "", 0, true}, {"p", "a", 100, false}, {"p", "b", 500, false}, {"p", "c", 900, false}}, StatusClear},
		{"ended well last", []crash{{"p", "a", 0, false}, {"p", "", 700, true}}, StatusClear},
		{"another request", []crash{{"q", "a", 0, false}, {"q", "b", 500, false}, {"q", "c", 900, false}}, StatusClear},
		{"beside one that is barred later", []crash{
			{"p", "a", 0, false}, {"q", "a", 1, false}, {"p", "b", 500, false}, {"q", "b", 501, false}, {"q", "c", 900, false}, {"p", "c", 901, false},
		}, StatusSuspect},
		{"beside one that is barred, and then alone", []crash{
			{"q", "a", 0, false}, {"q", "b", 500, false}, {"q", "c", 900, false},
			{"p", "a", 1, false}, {"p", "b", 501, false}, {"p", "d", 910, false}, {"p", "e", 950, false},
		}, StatusBarred},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := taken(test.crashes...).Status(start.Add(time.Second), named("p")); got != test.want {
				t.Errorf("standing %d, want %d", got, test.want)
			}
		})
	}
}

// TestBarEnds: after its time one more server bars the request anew, for longer, and one
// good end acquits it.
func TestBarEnds(t *testing.T) {
	tally := taken(crash{"p", "a", 0, false}, crash{"p", "b", 500, false}, crash{"p", "c", 900, false})
	over := start.Add(900*time.Millisecond + firstBar + time.Second)
	if got := tally.Status(over, named("p")); got != StatusOnTrial {
		t.Fatalf("standing %d after the time of the bar, want on trial", got)
	}
	for i, bar := range []time.Duration{barTime, 2 * barTime} {
		tally.Record(over, Report{Fingerprint: named("p"), ServerID: fmt.Sprint("d", i)})
		if got := tally.Status(over.Add(bar-time.Second), named("p")); got != StatusBarred {
			t.Errorf("standing %d after %d more servers, want barred for %v", got, i+1, bar)
		}
		over = over.Add(bar + time.Second)
		if got := tally.Status(over, named("p")); got != StatusOnTrial {
			t.Errorf("standing %d after %v, want on trial", got, bar)
		}
	}
	tally.Record(over.Add(time.Second), Report{Fingerprint: named("p"), Acquitted: true})
	if got := tally.Status(over.Add(2*time.Second), named("p")); got != StatusClear {
		t.Errorf("standing %d after a good end, want sound", got)
	}
	if tally.Sweep(over.Add(time.Hour)); tally.Size() != 0 {
		t.Errorf("%d remembered an hour after the last word", tally.Size())
	}
}

// TestVouchEnds: what ended well before and ends servers from then on is barred once its
// good end is a minute old.
func TestVouchEnds(t *testing.T) {
	tally := taken(crash{"p", "", 0, true})
	for i, at := range []time.Duration{50 * time.Second, 61 * time.Second, 62 * time.Second} {
		if got := tally.Status(start.Add(at), named("p")); got == StatusBarred {
			t.Errorf("barred after %d servers", i)
		}
		tally.Record(start.Add(at), Report{Fingerprint: named("p"), ServerID: fmt.Sprint("s", i)})
	}
	if got := tally.Status(start.Add(64*time.Second), named("p")); got != StatusBarred {
		t.Errorf("standing %d, want barred", got)
	}
}

// TestGoodEnds are remembered for a minute, and as many as there is room for.
func TestGoodEnds(t *testing.T) {
	var good RecentSuccesses
	good.Add(start, named("p"))
	if age, ok := good.Age(start.Add(time.Second), named("p")); !ok || age != time.Second {
		t.Errorf("%v, %v for a good end a second ago", age, ok)
	}
	if _, ok := good.Age(start.Add(vouchTime), named("p")); ok {
		t.Error("a good end a minute ago vouches")
	}
	if _, ok := good.Age(start, named("q")); ok {
		t.Error("one request vouches for another")
	}
	for i := range 20 * goodEndSlots {
		good.Add(start, named(fmt.Sprint(i)))
	}
	if _, ok := good.Age(start, named("p")); ok {
		t.Error("the oldest is remembered though twenty times as many came as there is room for")
	}
}

// TestBarIsHeard: a node that saw none of the servers end bars what another one bars, for
// as long, however long ago they ended.
func TestBarIsHeard(t *testing.T) {
	tally := taken(crash{"p", "a", 0, false}, crash{"p", "b", 500, false}, crash{"p", "c", 900, false})
	retried := start.Add(firstBar + time.Second)
	tally.Record(retried, Report{Fingerprint: named("p"), ServerID: "d"})
	now, late := retried.Add(barTime-time.Minute), NewTracker()
	for _, report := range tally.Reports(now, named("p")) {
		late.Record(now, report)
	}
	if got := late.Status(now.Add(30*time.Second), named("p")); got != StatusBarred {
		t.Errorf("standing %d, want barred", got)
	}
	if got := late.Status(now.Add(2*time.Minute), named("p")); got == StatusBarred {
		t.Error("barred for longer than at the node that told")
	}
}

// TestTableIsBounded: thousands of different requests do not push out one that is barred.
func TestTableIsBounded(t *testing.T) {
	tally := taken(crash{"p", "a", 0, false}, crash{"p", "b", 500, false}, crash{"p", "c", 900, false})
	for i := range 4 * mostSuspects {
		tally.Record(start.Add(time.Duration(1000+i)*time.Millisecond), Report{Fingerprint: named(fmt.Sprint(i)), ServerID: fmt.Sprint("s", i)})
	}
	if tally.Size() > mostSuspects {
		t.Errorf("%d remembered, want %d at most", tally.Size(), mostSuspects)
	}
	if got := tally.Status(start.Add(10*time.Second), named("p")); got != StatusBarred {
		t.Errorf("standing %d of the barred one, want barred", got)
	}
}

// TestParts: no part of a request can take the place of another.
func TestParts(t *testing.T) {
	all := []Identity{
		{Target: "/a", Caller: "k"}, {Target: "/ak"}, {Target: "/a", Caller: "l"}, {Target: "/a", Caller: "k", Body: []byte("b")},
		{Target: "/a", Caller: "k", Model: "b"}, {Target: "/a", Caller: "k", Adapter: "b"}, {Method: "/a", Caller: "k"},
		{Host: "/a", Caller: "k"},
	}
	seen := make(map[Fingerprint]int)
	for i, identity := range all {
		if other, ok := seen[NewFingerprint(identity)]; ok {
			t.Errorf("%+v and %+v are one", all[other], identity)
		}
		seen[NewFingerprint(identity)] = i
	}
	encoded := NewFingerprint(all[0])
	if got, ok := DecodeFingerprint(encoded[:]); !ok || got != encoded {
		t.Errorf("%v became %v", encoded, got)
	}
	if got, ok := ParseFingerprint(encoded.String()); !ok || got != encoded {
		t.Errorf("%v became %v", encoded, got)
	}
	if _, ok := ParseFingerprint("no fingerprint"); ok {
		t.Error("a name of nothing was read")
	}
	if _, ok := DecodeFingerprint(encoded[:5]); ok {
		t.Error("a short fingerprint was read")
	}
}

// TestReportsInAnyOrder: nodes that take the same reports, in whatever order and however
// often, think the same of every request.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := []string{"p", "q", "r"}
		now := start.Add(time.Minute)
		var reports []Report
		for i := range rapid.IntRange(1, 12).Draw(t, "reports") {
			reports = append(reports, Report{
				Fingerprint: named(rapid.SampledFrom(requests).Draw(t, "request")),
				ServerID:    fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server")),
				Age:         time.Minute - time.Duration(i)*100*time.Millisecond,
			})
		}
		standings := func(reports []Report) []Status {
			tally := NewTracker()
			for _, report := range reports {
				tally.Record(now, report)
				tally.Record(now, report)
			}
			var all []Status
			for _, request := range requests {
				all = append(all, tally.Status(now, named(request)))
			}
			return all
		}
		byRequest := make(map[Fingerprint]map[string]bool)
		for _, report := range reports {
			if byRequest[report.Fingerprint] == nil {
				byRequest[report.Fingerprint] = make(map[string]bool)
			}
			byRequest[report.Fingerprint][report.ServerID] = true
		}
		got := standings(reports)
		shuffled := standings(rapid.Permutation(reports).Draw(t, "order"))
		for i, request := range requests {
			servers := len(byRequest[named(request)])
			if got[i] == StatusBarred && servers < CrashLimit || shuffled[i] == StatusBarred && servers < CrashLimit {
				t.Fatalf("%s is barred for %d servers", request, servers)
			}
		}
		if len(byRequest) == 1 {
			if diff := cmp.Diff(got, shuffled); diff != "" {
				t.Fatalf("the order decides (-in order +shuffled):\n%s", diff)
			}
		}
	})
}

// TestManyServersAtFirst: a request that ended more servers than are remembered, as many
// copies of it came at once, is barred anew by the next one after its bar; by a server that
// ended before, and is told of late, it is not.
func TestManyServersAtFirst(t *testing.T) {
	var crashes []crash
	for i := range mostEnds + 2 {
		crashes = append(crashes, crash{"p", fmt.Sprint("s", i), 50 * i, false})
	}
	tally := taken(crashes...)
	over := start.Add(firstBar + 2*time.Second)
	tally.Record(over, Report{Fingerprint: named("p"), ServerID: "late", Age: over.Sub(start) - time.Second})
	if got := tally.Status(over, named("p")); got != StatusOnTrial {
		t.Errorf("standing %d after the bar and a late word on a server from before, want on trial", got)
	}
	tally.Record(over, Report{Fingerprint: named("p"), ServerID: "new"})
	if got := tally.Status(over.Add(time.Minute), named("p")); got != StatusBarred {
		t.Errorf("standing %d after one more server, want barred", got)
	}
}

// TestVouchGoesBeforeABarFromElsewhere, as of the lease or of a node that heard no vouch.
func TestVouchGoesBeforeABarFromElsewhere(t *testing.T) {
	tally := taken(crash{"p", "", 0, true})
	tally.Record(start.Add(time.Second), Report{Fingerprint: named("p"), BarredFor: barTime})
	if got := tally.Status(start.Add(2*time.Minute), named("p")); got == StatusBarred {
		t.Error("barred by a word that a good end had refuted")
	}
}

// TestBarOfTheLeaseIsNoServer: it names none, so it counts as none, and told anew after the
// bar it is no failed trial.
func TestBarOfTheLeaseIsNoServer(t *testing.T) {
	tally := taken(crash{"p", "a", 0, false}, crash{"p", "b", 500, false}, crash{"p", "c", 900, false})
	over := start.Add(firstBar + 2*time.Second)
	tally.Record(over, Report{Fingerprint: named("p"), BarredFor: time.Second})
	if got := tally.CrashCount(named("p")); got != 3 {
		t.Errorf("%d servers ended by a word that names none, want 3", got)
	}
	if got := tally.Status(over.Add(2*time.Second), named("p")); got != StatusOnTrial {
		t.Errorf("standing %d once that bar is over, want on trial", got)
	}
	if fresh := NewTracker(); !fresh.Record(start, Report{Fingerprint: named("p"), BarredFor: time.Minute}) || fresh.Status(start, named("p")) != StatusBarred {
		t.Error("a bar that only the lease tells is no news, or does not bar")
	}
}

// TestEachStartOfAServerCounts: a server may start again under its ID. One that got the request
// after a server of that ID had ended is another start; reports that come again, or later than
// others of the same end, are not.
func TestEachStartOfAServerCounts(t *testing.T) {
	fingerprint := NewFingerprint(Identity{Target: "/p"})
	at := func(after time.Duration) time.Time { return start.Add(after) }
	report := func(age, ran time.Duration) Report {
		return Report{Fingerprint: fingerprint, ServerID: "a", Age: age, RanFor: ran}
	}
	steps := []struct {
		name   string
		now    time.Duration
		report Report
		want   int
	}{
		{"the first start ends", 0, report(0, 50*time.Millisecond), 1},
		{"another node tells of it", 100 * time.Millisecond, report(100*time.Millisecond, 20*time.Millisecond), 1},
		{"a frozen node tells of it late", 5 * time.Second, report(0, 5*time.Second+10*time.Millisecond), 1},
		{"an older build tells of it late", 5 * time.Second, report(0, 0), 1},
		{"the second start ends", 6 * time.Second, report(0, 30*time.Millisecond), 2},
		{"the second is told again", 7 * time.Second, report(time.Second, 30*time.Millisecond), 2},
		{"the first is told again", 7 * time.Second, report(7*time.Second, 50*time.Millisecond), 2},
		{"the third start ends", 9 * time.Second, report(0, 30*time.Millisecond), 3},
	}
	tally := NewTracker()
	for _, step := range steps {
		tally.Record(at(step.now), step.report)
		if got := tally.CrashCount(fingerprint); got != step.want {
			t.Errorf("%s: %d ends, want %d", step.name, got, step.want)
		}
	}
	if tally.Status(at(9*time.Second), fingerprint) != StatusBarred {
		t.Error("three starts ended, and the request is not barred")
	}
}
