package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

var menu = fleet.ModelVersion{Model: "menu", Version: "v1"}

func at(seconds int) time.Time {
	return time.Unix(int64(1000+seconds), 0)
}

// twoStreams returns the evidence of a run with one cold and one warm stream and
// a refused request.
func twoStreams() check.Evidence {
	stream := func(id string, sent, first int) history.Record {
		return history.Record{
			RequestID: fleet.RequestID(id), Kind: history.KindStream, Outcome: history.Answered,
			Sent: at(sent), FirstToken: at(first), Ended: at(first + 1),
		}
	}
	return check.Evidence{
		Records: []history.Record{
			stream("cold", 0, 7), stream("warm", 10, 11),
			{RequestID: "refused", Kind: history.KindStream, Outcome: history.NotRun, Code: "overloaded", Sent: at(1), Ended: at(2)},
		},
		Books: []check.BookSample{{SampledAt: at(60), Final: true, Book: books.Book{
			Backend:       fleet.Backend{Name: "e", Kind: fleet.KindEngine},
			RefusedOrders: 3,
			Residencies:   []books.Residency{{Model: menu, From: at(1), ReadyAt: at(5), To: at(25), BusySeconds: 4}},
			Executions:    []books.Execution{{RequestID: "cold", Model: menu}, {RequestID: "warm", Model: menu}},
		}}},
		Decisions: []check.Decision{
			{Replicas: map[fleet.ModelVersion]int{menu: 2}}, {Replicas: map[fleet.ModelVersion]int{menu: 1}},
		},
	}
}

func TestSummaryTellsColdFromWarm(t *testing.T) {
	summary := Summarize(twoStreams(), check.Report{})
	if cold := summary.Times[TimeColdStart]; cold.Count != 1 || cold.P50 < 6990 || cold.P50 > 7010 {
		t.Errorf("cold starts: %s, expected one of 7 s", cold)
	}
	if first := summary.Times[TimeFirstToken]; first.Count != 2 {
		t.Errorf("first tokens: %s, expected two", first)
	}
	expected := Loads{Ordered: 1, Models: 1, Decided: 2, RefusedOrders: 3, IdleSeconds: 16, BusySeconds: 4}
	if difference := cmp.Diff(expected, summary.Loads); difference != "" {
		t.Error(difference)
	}
	outcomes := map[history.Kind]map[string]int{history.KindStream: {"answered": 2, "not-run/overloaded": 1}}
	if difference := cmp.Diff(outcomes, summary.Outcomes); difference != "" {
		t.Error(difference)
	}
}

func TestTextNamesWhatWasBrokenAndWhatWasNotExercised(t *testing.T) {
	evidence := twoStreams()
	evidence.Books[0].PeakBytes = 1
	judged := check.Judge(evidence, check.DefaultTolerances())
	summary := Summarize(evidence, judged)
	if summary.OK {
		t.Error("the summary of a run that violated a rule has OK set")
	}
	var text bytes.Buffer
	if err := summary.Text(&text); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"violated      memory-not-overcommitted", "not exercised planned-stop-cuts-nothing", "3 orders refused"} {
		if !strings.Contains(text.String(), part) {
			t.Errorf("the text does not show %q:\n%s", part, text.String())
		}
	}
}
