package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func requestNamed(name string) Fingerprint { return NewFingerprint(Identity{Target: name}) }

// crashAt is a crash under a request, or its success, at a number of milliseconds after the start.
type crashAt struct {
	request, server string
	at              int
	acquitted       bool
}

// trackerWith is a tracker that got the reports in order.
func trackerWith(crashes ...crashAt) *Tracker {
	tracker := NewTracker()
	for _, c := range crashes {
		tracker.Record(start.Add(time.Duration(c.at)*time.Millisecond), Report{Fingerprint: requestNamed(c.request), ServerID: c.server, Acquitted: c.acquitted})
	}
	return tracker
}

func TestStanding(t *testing.T) {
	tests := []struct {
		name    string
		crashes []crashAt
		want    Status
	}{
		{"nothing known", nil, StatusClear},
		{"two servers", []crashAt{{"p", "a", 0, false}, {"p", "b", 500, false}}, StatusSuspect},
		{"three servers", []crashAt{{"p", "a", 0, false}, {"p", "b", 500, false}, {"p", "c", 900, false}}, StatusBarred},
		{"one server, reported by three nodes", []crashAt{{"p", "a", 0, false}, {"p", "a", 400, false}, {"p", "a", 900, false}}, StatusSuspect},
		{"a failing rack", []crashAt{{"p", "a", 0, false}, {"p", "b", 3, false}, {"p", "c", 6, false}}, StatusSuspect},
		{"success between the crashes", []crashAt{{"p", "a", 0, false}, {"p", "b", 500, false}, {"p", "", 700, true}, {"p", "c", 900, false}}, StatusClear},
		{"success before the crashes", []crashAt{{"p", "", 0, true}, {"p", "a", 100, false}, {"p", "b", 500, false}, {"p", "c", 900, false}}, StatusClear},
		{"success after the crash", []crashAt{{"p", "a", 0, false}, {"p", "", 700, true}}, StatusClear},
		{"another request", []crashAt{{"q", "a", 0, false}, {"q", "b", 500, false}, {"q", "c", 900, false}}, StatusClear},
		{"next to one that is barred later", []crashAt{
			{"p", "a", 0, false}, {"q", "a", 1, false}, {"p", "b", 500, false}, {"q", "b", 501, false}, {"q", "c", 900, false}, {"p", "c", 901, false},
		}, StatusSuspect},
		{"next to one that is barred, then alone", []crashAt{
			{"q", "a", 0, false}, {"q", "b", 500, false}, {"q", "c", 900, false},
			{"p", "a", 1, false}, {"p", "b", 501, false}, {"p", "d", 910, false}, {"p", "e", 950, false},
		}, StatusBarred},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := trackerWith(test.crashes...).Status(start.Add(time.Second), requestNamed("p")); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
		})
	}
}

// After its bar, one more crash bars the request again, for longer, and one success clears it.
func TestBarEnds(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "a", 0, false}, crashAt{"p", "b", 500, false}, crashAt{"p", "c", 900, false})
	over := start.Add(900*time.Millisecond + firstBarTime + time.Second)
	if got := tracker.Status(over, requestNamed("p")); got != StatusOnTrial {
		t.Fatalf("status %d after the bar, want on trial", got)
	}
	for i, bar := range []time.Duration{repeatBarTime, 2 * repeatBarTime} {
		tracker.Record(over, Report{Fingerprint: requestNamed("p"), ServerID: fmt.Sprint("d", i)})
		if got := tracker.Status(over.Add(bar-time.Second), requestNamed("p")); got != StatusBarred {
			t.Errorf("status %d after %d more crashes, want barred for %v", got, i+1, bar)
		}
		over = over.Add(bar + time.Second)
		if got := tracker.Status(over, requestNamed("p")); got != StatusOnTrial {
			t.Errorf("status %d after %v, want on trial", got, bar)
		}
	}
	tracker.Record(over.Add(time.Second), Report{Fingerprint: requestNamed("p"), Acquitted: true})
	if got := tracker.Status(over.Add(2*time.Second), requestNamed("p")); got != StatusClear {
		t.Errorf("status %d after a success, want clear", got)
	}
	if tracker.Sweep(over.Add(time.Hour)); tracker.Size() != 0 {
		t.Errorf("%d remembered an hour after the last report", tracker.Size())
	}
}

// A request that succeeded and then crashes servers is barred once its success is a minute old.
func TestVouchEnds(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "", 0, true})
	for i, at := range []time.Duration{50 * time.Second, 61 * time.Second, 62 * time.Second} {
		if got := tracker.Status(start.Add(at), requestNamed("p")); got == StatusBarred {
			t.Errorf("barred after %d crashes", i)
		}
		tracker.Record(start.Add(at), Report{Fingerprint: requestNamed("p"), ServerID: fmt.Sprint("s", i)})
	}
	if got := tracker.Status(start.Add(64*time.Second), requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d, want barred", got)
	}
}

// Successes are remembered for a minute, within the size of the table.
func TestGoodEnds(t *testing.T) {
	var successes RecentSuccesses
	successes.Add(start, requestNamed("p"))
	if age, ok := successes.Age(start.Add(time.Second), requestNamed("p")); !ok || age != time.Second {
		t.Errorf("%v, %v for a success a second ago", age, ok)
	}
	if _, ok := successes.Age(start.Add(successTTL), requestNamed("p")); ok {
		t.Error("a success a minute ago is still remembered")
	}
	if _, ok := successes.Age(start, requestNamed("q")); ok {
		t.Error("a success counts for another request")
	}
	for i := range 20 * successSlots {
		successes.Add(start, requestNamed(fmt.Sprint(i)))
	}
	if _, ok := successes.Age(start, requestNamed("p")); ok {
		t.Error("the oldest success is remembered after twenty times as many as there are slots")
	}
}

// A node that saw none of the crashes bars a request that another node reports as barred, for the same
// time, however old the crashes are.
func TestBarIsHeard(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "a", 0, false}, crashAt{"p", "b", 500, false}, crashAt{"p", "c", 900, false})
	retried := start.Add(firstBarTime + time.Second)
	tracker.Record(retried, Report{Fingerprint: requestNamed("p"), ServerID: "d"})
	now, late := retried.Add(repeatBarTime-time.Minute), NewTracker()
	for _, report := range tracker.Reports(now, requestNamed("p")) {
		late.Record(now, report)
	}
	if got := late.Status(now.Add(30*time.Second), requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d, want barred", got)
	}
	if got := late.Status(now.Add(2*time.Minute), requestNamed("p")); got == StatusBarred {
		t.Error("barred for longer than at the reporting node")
	}
}

// Thousands of different requests do not evict one that is barred.
func TestTableIsBounded(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "a", 0, false}, crashAt{"p", "b", 500, false}, crashAt{"p", "c", 900, false})
	for i := range 4 * maxSuspects {
		tracker.Record(start.Add(time.Duration(1000+i)*time.Millisecond), Report{Fingerprint: requestNamed(fmt.Sprint(i)), ServerID: fmt.Sprint("s", i)})
	}
	if tracker.Size() > maxSuspects {
		t.Errorf("%d remembered, want %d at most", tracker.Size(), maxSuspects)
	}
	if got := tracker.Status(start.Add(10*time.Second), requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d of the barred request, want barred", got)
	}
}

// Different requests have different fingerprints, even if they only split the same text differently into
// fields.
func TestParts(t *testing.T) {
	all := []Identity{
		{Target: "/a", Caller: "k"}, {Target: "/ak"}, {Target: "/a", Caller: "l"}, {Target: "/a", Caller: "k", Body: []byte("b")},
		{Target: "/a", Caller: "k", Model: "b"}, {Target: "/a", Caller: "k", Adapter: "b"}, {Method: "/a", Caller: "k"},
		{Host: "/a", Caller: "k"},
	}
	seen := make(map[Fingerprint]int)
	for i, identity := range all {
		if other, ok := seen[NewFingerprint(identity)]; ok {
			t.Errorf("%+v and %+v have the same fingerprint", all[other], identity)
		}
		seen[NewFingerprint(identity)] = i
	}
	encoded := NewFingerprint(all[0])
	if got, ok := DecodeFingerprint(encoded[:]); !ok || got != encoded {
		t.Errorf("%v was decoded as %v", encoded, got)
	}
	if got, ok := ParseFingerprint(encoded.String()); !ok || got != encoded {
		t.Errorf("%v was decoded as %v", encoded, got)
	}
	if _, ok := ParseFingerprint("no fingerprint"); ok {
		t.Error("an invalid name was parsed")
	}
	if _, ok := DecodeFingerprint(encoded[:5]); ok {
		t.Error("a short fingerprint was decoded")
	}
}

// Reports may come repeatedly and in any order: no request is barred for fewer servers than the limit, and
// with a single request all nodes reach the same status.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := []string{"p", "q", "r"}
		now := start.Add(time.Minute)
		var reports []Report
		for i := range rapid.IntRange(1, 12).Draw(t, "reports") {
			reports = append(reports, Report{
				Fingerprint: requestNamed(rapid.SampledFrom(requests).Draw(t, "request")),
				ServerID:    fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server")),
				Age:         time.Minute - time.Duration(i)*100*time.Millisecond,
			})
		}
		statuses := func(reports []Report) []Status {
			tracker := NewTracker()
			for _, report := range reports {
				tracker.Record(now, report)
				tracker.Record(now, report)
			}
			var all []Status
			for _, request := range requests {
				all = append(all, tracker.Status(now, requestNamed(request)))
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
		got := statuses(reports)
		shuffled := statuses(rapid.Permutation(reports).Draw(t, "order"))
		for i, request := range requests {
			servers := len(byRequest[requestNamed(request)])
			if got[i] == StatusBarred && servers < CrashLimit || shuffled[i] == StatusBarred && servers < CrashLimit {
				t.Fatalf("%s is barred after %d servers", request, servers)
			}
		}
		if len(byRequest) == 1 {
			if diff := cmp.Diff(got, shuffled); diff != "" {
				t.Fatalf("the status depends on the order (-in order +shuffled):\n%s", diff)
			}
		}
	})
}

// Many copies sent at once may crash more servers than are remembered: after its bar such a request is
// barred again by the next crash, but not by a late report of an earlier one.
func TestManyServersAtFirst(t *testing.T) {
	var crashes []crashAt
	for i := range maxCrashes + 2 {
		crashes = append(crashes, crashAt{"p", fmt.Sprint("s", i), 50 * i, false})
	}
	tracker := trackerWith(crashes...)
	over := start.Add(firstBarTime + 2*time.Second)
	tracker.Record(over, Report{Fingerprint: requestNamed("p"), ServerID: "late", Age: over.Sub(start) - time.Second})
	if got := tracker.Status(over, requestNamed("p")); got != StatusOnTrial {
		t.Errorf("status %d after the bar and a late report of an earlier crash, want on trial", got)
	}
	tracker.Record(over, Report{Fingerprint: requestNamed("p"), ServerID: "new"})
	if got := tracker.Status(over.Add(time.Minute), requestNamed("p")); got != StatusBarred {
		t.Errorf("status %d after one more crash, want barred", got)
	}
}

// A success outweighs a bar reported by the lease or by a node that did not hear of the success.
func TestVouchGoesBeforeABarFromElsewhere(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "", 0, true})
	tracker.Record(start.Add(time.Second), Report{Fingerprint: requestNamed("p"), BarredFor: repeatBarTime})
	if got := tracker.Status(start.Add(2*time.Minute), requestNamed("p")); got == StatusBarred {
		t.Error("barred by a report although the request succeeded")
	}
}

// A reported bar names no server, so it does not count as a crash; repeated after the bar it is no failed
// trial.
func TestBarOfTheLeaseIsNoServer(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "a", 0, false}, crashAt{"p", "b", 500, false}, crashAt{"p", "c", 900, false})
	over := start.Add(firstBarTime + 2*time.Second)
	tracker.Record(over, Report{Fingerprint: requestNamed("p"), BarredFor: time.Second})
	if got := tracker.CrashCount(requestNamed("p")); got != 3 {
		t.Errorf("%d crashes after a report that names no server, want 3", got)
	}
	if got := tracker.Status(over.Add(2*time.Second), requestNamed("p")); got != StatusOnTrial {
		t.Errorf("status %d after that bar, want on trial", got)
	}
	if fresh := NewTracker(); !fresh.Record(start, Report{Fingerprint: requestNamed("p"), BarredFor: time.Minute}) || fresh.Status(start, requestNamed("p")) != StatusBarred {
		t.Error("a bar reported by the lease only is not news, or does not bar")
	}
}

// A server may restart under its ID. A crash counts as one of a new start if the request reached the
// server after its earlier crash; repeated and late reports of one crash do not count again.
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
		{"the first start crashes", 0, report(0, 50*time.Millisecond), 1},
		{"another node reports it", 100 * time.Millisecond, report(100*time.Millisecond, 20*time.Millisecond), 1},
		{"a frozen node reports it late", 5 * time.Second, report(0, 5*time.Second+10*time.Millisecond), 1},
		{"an older build reports it late", 5 * time.Second, report(0, 0), 1},
		{"the second start crashes", 6 * time.Second, report(0, 30*time.Millisecond), 2},
		{"the second is reported again", 7 * time.Second, report(time.Second, 30*time.Millisecond), 2},
		{"the first is reported again", 7 * time.Second, report(7*time.Second, 50*time.Millisecond), 2},
		{"the third start crashes", 9 * time.Second, report(0, 30*time.Millisecond), 3},
	}
	tracker := NewTracker()
	for _, step := range steps {
		tracker.Record(at(step.now), step.report)
		if got := tracker.CrashCount(fingerprint); got != step.want {
			t.Errorf("%s: %d crashes, want %d", step.name, got, step.want)
		}
	}
	if tracker.Status(at(9*time.Second), fingerprint) != StatusBarred {
		t.Error("three starts crashed, and the request is not barred")
	}
}

func TestServersThatCrashedRecently(t *testing.T) {
	tracker := trackerWith(crashAt{"p", "b", 0, false}, crashAt{"q", "a", 400, false}, crashAt{"q", "b", 500, false})
	for after, want := range map[time.Duration][]string{time.Second: {"a", "b"}, recentCrash + 450*time.Millisecond: {"b"}, recentCrash + time.Second: nil} {
		if got := tracker.CrashedRecently(start.Add(after)); !slices.Equal(got, want) {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
}

// Guards against reports for a node that has just started which leave out why a request was barred, or say more
// than is asked for.
func TestReportsOnBarsBringTheSameDecisions(t *testing.T) {
	tracker, now := NewTracker(), start.Add(time.Minute)
	record := func(name, server string, age time.Duration) {
		tracker.Record(now, Report{Fingerprint: requestNamed(name), ServerID: server, Age: age})
	}
	for number, server := range []string{"a", "b", "c"} {
		age := time.Duration(10-number) * time.Second
		record("alike", server, age)
		record("deadly", server, age)
	}
	record("other", "d", time.Second)
	reports := tracker.ReportsOnBars(now, 100)
	if len(reports) != 6 {
		t.Fatalf("%d reports, want three on each request that crashed a, b and c", len(reports))
	}
	if reports[0].Fingerprint != requestNamed("alike") || reports[0].BarredFor <= 0 {
		t.Errorf("the first report is %+v, want one that bars", reports[0])
	}
	if limited := tracker.ReportsOnBars(now, 2); len(limited) != 2 {
		t.Errorf("%d reports, want two at most", len(limited))
	}
	fresh := NewTracker()
	for _, report := range reports {
		fresh.Record(now, report)
	}
	for range earlyTrialRefusals {
		fresh.RecordRefusal(requestNamed("alike"))
	}
	if status := fresh.Status(now, requestNamed("alike")); status != StatusOnTrial {
		t.Errorf("status %d at the node that was told, want on trial", status)
	}
}
