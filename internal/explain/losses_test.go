package explain

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// lossLog holds log lines of two nodes: a request for each kind of loss, and lines
// that are not losses.
const lossLog = `
   0.10 n1 time=2026-01-01T00:00:00.000Z level=info event=node_started node=n1
   0.20 n1 time=2026-01-01T00:00:01.000Z level=info event=request_answered node=n1 request=a status=200 reason="" service=llm goal_ms=800 gap_goal_ms=600 sent=s1 waited_ms=0.1 took_ms=900.0 first_ms=80.0 pause_ms=30.0
   0.20 n1 time=2026-01-01T00:00:01.000Z level=info event=request_answered node=n1 request=b status=200 reason="" service=llm goal_ms=800 gap_goal_ms=600 sent=s1 waited_ms=700.0 took_ms=1900.0 first_ms=1000.0 pause_ms=30.0
   0.20 n1 time=2026-01-01T00:00:02.000Z level=info event=request_answered node=n1 request=c status=200 reason="" service=llm goal_ms=800 gap_goal_ms=600 sent=s1 waited_ms=0.1 took_ms=1900.0 first_ms=80.0 pause_ms=700.0
   0.20 n2 time=2026-01-01T00:00:07.000Z level=info event=request_refused node=n2 request=d status=503 reason=not_loaded service=llm goal_ms=800 waited_ms=90.0 took_ms=91.0
   0.20 n2 time=2026-01-01T00:00:08.000Z level=info event=request_refused node=n2 request=d2 status=503 reason=not_loaded service=llm goal_ms=800 waited_ms=90.0 took_ms=91.0 returned=true
   0.20 n2 time=2026-01-01T00:00:09.000Z level=info event=request_answered node=n2 request=e status=500 reason="" service=api goal_ms=120 took_ms=20.0
   0.20 n2 time=2026-01-01T00:00:09.000Z level=info event=request_answered node=n2 request=f status=200 reason="" service=api goal_ms=120 sent=s8,s9 waited_ms=0.0 took_ms=320.0
   0.20 n2 time=2026-01-01T00:00:09.000Z level=info event=request_answered node=n2 request=g status=200 reason="" service=api goal_ms=120 sent=s8 waited_ms=0.0 took_ms=320.0
   0.20 n2 time=2025-12-31T23:59:00.000Z level=info event=request_failed node=n2 request=h status=502 reason=no_answer service=api goal_ms=120 took_ms=320.0
   0.20 n2 time=2026-01-01T00:00:09.000Z level=info event=request_denied node=n2 request=i status=404 reason="no route" took_ms=0.1
   0.20 n2 time=2026-01-01T00:00:09.00
`

const wantLosses = `kind        asked  reason                                  lost  0 s  5 s
api 120 ms  4      failed: no_answer                       1     1    0
api 120 ms  4      late: sent more than once               1     0    1
api 120 ms  4      late: slow at the server                1     0    1
api 120 ms  4      the server answered 500                 1     0    1
llm 800 ms  5      late: a pause between events            1     1    0
llm 800 ms  5      late: waited for a server with the mo…  1     1    0
llm 800 ms  5      refused again: not_loaded               1     0    1
llm 800 ms  5      refused: not_loaded                     1     0    1
`

// TestLossesByReason checks that each request that was not served in time is
// counted under exactly one reason, also if a line is truncated or a clock was set
// back.
func TestLossesByReason(t *testing.T) {
	losses := NewLosses()
	if err := Scan(strings.NewReader(lossLog), losses.Take); err != nil {
		t.Fatal(err)
	}
	var printed strings.Builder
	if err := losses.Print(&printed); err != nil {
		t.Fatal(err)
	}
	want := strings.ReplaceAll(wantLosses, "late: waited for a server with the mo…", "late: waited for a server with the model")
	if diff := cmp.Diff(strings.Fields(want), strings.Fields(printed.String())); diff != "" {
		t.Error(diff, printed.String())
	}
}
