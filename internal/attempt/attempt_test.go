package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

var epoch = time.Unix(1_000_000_000, 0)

func streamOptions() Options {
	return Options{RequestID: "r1", Deadline: epoch.Add(30 * time.Second), Repeatable: true, Resumable: true, Seed: 1}
}

func chunk(connection, attempt, sequence int) *Chunk {
	return &Chunk{Connection: connection, RequestID: "r1", Attempt: attempt, Sequence: sequence, Text: fmt.Sprint(sequence)}
}

func finishChunk(connection, attempt, sequence int) *Chunk {
	return &Chunk{Connection: connection, RequestID: "r1", Attempt: attempt, Sequence: sequence, FinishReason: "stop"}
}

// describe formats effects in a short form.
func describe(effects []Effect) string {
	var shown []string
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Open:
			shown = append(shown, fmt.Sprintf("open %s #%d from %d", effect.Backend, effect.Attempt, len(effect.ContinueFrom)))
		case Resume:
			shown = append(shown, fmt.Sprintf("resume %s #%d from %d", effect.Backend, effect.Attempt, effect.From))
		case Cancel:
			shown = append(shown, fmt.Sprintf("cancel %s #%d", effect.Backend, effect.Attempt))
		case Reassign:
			shown = append(shown, fmt.Sprintf("reassign without %v", effect.Exclude))
		case Hedge:
			shown = append(shown, fmt.Sprintf("hedge without %v", effect.Exclude))
		case Drop:
			shown = append(shown, fmt.Sprintf("drop %d blamed %t", effect.Connection, effect.Failure.Evidence != 0))
		case *Deliver:
			shown = append(shown, effect.Text)
		case Finish:
			shown = append(shown, fmt.Sprintf("finish %s %s after %d", effect.Outcome, effect.Code, effect.Delivered))
		}
	}
	return strings.Join(shown, "; ")
}

type step struct {
	message Message
	want    string
}

func TestLifeOfARequest(t *testing.T) {
	plain := Options{RequestID: "r1", Deadline: epoch.Add(30 * time.Second), Seed: 1}
	repeatable := plain
	repeatable.Repeatable = true
	tests := map[string]struct {
		options Options
		steps   []step
	}{
		"whole answer": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{chunk(1, 1, 1), "1"},
			{finishChunk(1, 1, 2), ""},
			{Ended{1, true}, "finish ok  after 2"},
			{chunk(1, 1, 2), ""},
		}},
		"crossed, late and duplicated chunks are dropped": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{chunk(1, 1, 0), ""},
			{chunk(1, 2, 1), ""},
			{chunk(0, 1, 1), ""},
			{&Chunk{Connection: 1, RequestID: "r2", Attempt: 1, Sequence: 1, Text: "x"}, ""},
			{chunk(1, 1, 1), "1"},
		}},
		"a token that comes again and differs ends the run": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{chunk(1, 1, 1), "1"},
			{Ended{1, false}, "resume e1 #1 from 2"},
			{chunk(2, 1, 1), ""},
			{&Chunk{Connection: 2, RequestID: "r1", Attempt: 1, Sequence: 0, Text: "2"}, "reassign without [e1]"},
			{finishChunk(2, 1, 2), ""},
			{Assigned{"e2"}, "cancel e1 #1; open e2 #2 from 2"},
			{chunk(3, 2, 2), "2"},
			{finishChunk(3, 2, 1), "reassign without [e1 e2]"},
		}},
		"what follows the finish chunk does not matter": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{finishChunk(1, 1, 1), ""},
			{&Chunk{Connection: 1, RequestID: "r1", Attempt: 1, Sequence: 0, Text: "x"}, ""},
			{Ended{1, true}, "finish ok  after 1"},
		}},
		"missing chunks are requested again": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{chunk(1, 1, 2), "resume e1 #1 from 1"},
			{chunk(1, 1, 3), ""},
			{chunk(2, 1, 1), "1"},
		}},
		"truncated, resumed, lost, continued elsewhere": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{Ended{1, false}, "resume e1 #1 from 1"},
			{Failure{Connection: 1, Evidence: MaybeSent}, ""},
			{Failure{Connection: 2, Evidence: ErrorStatus, Status: 404}, "reassign without [e1]"},
			{Assigned{"e2"}, "open e2 #2 from 1"},
			{chunk(2, 1, 1), ""},
			{chunk(3, 2, 1), "1"},
			{finishChunk(3, 2, 2), ""},
			{Ended{3, true}, "finish ok  after 2"},
		}},
		"a terminator without the finish chunk does not complete the answer": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{Ended{1, true}, "resume e1 #1 from 1"},
		}},
		"a finish chunk after missing tokens does not complete the answer": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{finishChunk(1, 1, 2), "resume e1 #1 from 1"},
		}},
		"the connection breaks after the finish chunk": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{finishChunk(1, 1, 1), ""},
			{Failure{Connection: 1, Evidence: MaybeSent}, "finish ok  after 1"},
		}},
		"the former engine is cancelled once another takes over": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{Failure{Connection: 1, Evidence: MaybeSent}, "reassign without [e1]"},
			{Assigned{"e2"}, "cancel e1 #1; open e2 #2 from 0"},
		}},
		"the former engine is not cancelled where it takes over itself": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{Failure{Connection: 1, Evidence: MaybeSent}, "reassign without [e1]"},
			{Assigned{"e1"}, "open e1 #2 from 0"},
		}},
		"an interrupted answer is reported as failed": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{Failure{Connection: 1, Evidence: ErrorStatus}, "reassign without [e1]"},
			{Unassigned{Code: "queue-full"}, "finish failed queue-full after 1"},
		}},
		"the caller disconnects": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{chunk(1, 1, 0), "0"},
			{CallerGone{}, "cancel e1 #1; finish failed caller-gone after 1"},
		}},
		"the caller disconnects while it waits": {streamOptions(), []step{
			{CallerGone{}, "finish not-run caller-gone after 0"},
		}},
		"refused before it ran, everywhere": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{Failure{Connection: 1, Evidence: RefusedBeforeRun, Status: 503}, "reassign without [e1]"},
			{Assigned{"e2"}, "open e2 #2 from 0"},
			{Failure{Connection: 2, Evidence: NeverSent}, "reassign without [e1 e2]"},
			{Unassigned{Code: "deadline-reached"}, "finish not-run deadline-reached after 0"},
		}},
		"one attempt that may have run rules out not-run": {streamOptions(), []step{
			{Assigned{"e1"}, "open e1 #1 from 0"},
			{Failure{Connection: 1, Evidence: MaybeSent}, "reassign without [e1]"},
			{Assigned{"e2"}, "cancel e1 #1; open e2 #2 from 0"},
			{Failure{Connection: 2, Evidence: RefusedBeforeRun, Permanent: true}, "finish unknown backend-refused after 0"},
		}},
		"not repeatable: unknown after bytes may have been sent": {plain, []step{
			{Assigned{"s1"}, "open s1 #1 from 0"},
			{Failure{Connection: 1, Evidence: MaybeSent}, "finish unknown backend-failed after 0"},
		}},
		"not repeatable: another back end only while nothing was sent": {plain, []step{
			{Assigned{"s1"}, "open s1 #1 from 0"},
			{Failure{Connection: 1, Evidence: NeverSent}, "reassign without [s1]"},
			{Assigned{"s2"}, "open s2 #2 from 0"},
			{Answered{2}, "finish ok  after 0"},
		}},
		"not repeatable: refused is not-run, with no second attempt": {plain, []step{
			{Assigned{"s1"}, "open s1 #1 from 0"},
			{Failure{Connection: 1, Evidence: RefusedBeforeRun}, "finish not-run backend-refused after 0"},
		}},
		"repeatable call": {repeatable, []step{
			{Assigned{"s1"}, "open s1 #1 from 0"},
			{Failure{Connection: 1, Evidence: MaybeSent}, "reassign without [s1]"},
			{Assigned{"s2"}, "open s2 #2 from 0"},
			{Answered{2}, "finish ok  after 0"},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			core := New(test.options)
			for index, step := range test.steps {
				if diff := cmp.Diff(step.want, describe(core.Step(epoch, step.message))); diff != "" {
					t.Fatalf("step %d: %s", index, diff)
				}
			}
		})
	}
}

func TestDroppedChunksAreCounted(t *testing.T) {
	core := New(streamOptions())
	core.Step(epoch, Assigned{"e1"})
	core.Step(epoch, chunk(1, 1, 0))
	core.Step(epoch, chunk(1, 1, 0))
	core.Step(epoch, chunk(1, 0, 1))
	core.Step(epoch, &Chunk{Connection: 1, RequestID: "r2", Attempt: 1, Sequence: 1})
	if diff := cmp.Diff(Dropped{Crossed: 1, Late: 1, Duplicated: 1}, core.Dropped()); diff != "" {
		t.Error(diff)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	for evidence, want := range map[Evidence]int{NeverSent: 3, RefusedBeforeRun: 3, MaybeSent: 2, ErrorStatus: 2} {
		options := streamOptions()
		options.MaxAttempts, options.MaxRefusals = 2, 3
		core := New(options)
		attempts := 0
		for core.NextWake() != (time.Time{}) && attempts < 10 {
			attempts++
			core.Step(epoch, Assigned{"e1"})
			for _, effect := range core.Step(epoch, Failure{Connection: attempts, Evidence: evidence}) {
				if reassign, isReassign := effect.(Reassign); isReassign && reassign.BudgetExempt != (want == 3) {
					t.Errorf("evidence %d: unexpected budget exemption in %+v", evidence, reassign)
				}
			}
		}
		if attempts != want {
			t.Errorf("evidence %d: %d attempts", evidence, attempts)
		}
	}
}

func TestTimes(t *testing.T) {
	core := New(streamOptions())
	core.Step(epoch, Assigned{"e1"})
	if wake := core.NextWake(); !wake.Equal(epoch.Add(30 * time.Second)) {
		t.Fatalf("the first token is due at %v, want the deadline", wake)
	}
	core.Step(epoch.Add(5*time.Second), chunk(1, 1, 0))
	stalled := epoch.Add(5*time.Second + DefaultStallTimeout)
	if got := describe(core.Step(stalled.Add(-1), Tick{})); got != "" {
		t.Errorf("before the stall timeout: got %q, want nothing", got)
	}
	if got := describe(core.Step(stalled, Tick{})); got != "resume e1 #1 from 1" {
		t.Errorf("after the stall timeout: got %q", got)
	}

	resumed := stalled.Add(DefaultResumeTimeout)
	if wake := core.NextWake(); !wake.Equal(resumed) {
		t.Errorf("a resume is due at %v, want %v", wake, resumed)
	}
	if got := describe(core.Step(resumed, Tick{})); got != "resume e1 #1 from 1" {
		t.Errorf("after a resume without a chunk: got %q", got)
	}
	if got := describe(core.Step(resumed.Add(DefaultResumeTimeout), Tick{})); got != "reassign without [e1]" {
		t.Errorf("after the last resume: got %q", got)
	}

	late := New(streamOptions())
	late.Step(epoch, Assigned{"e1"})
	if got := describe(late.Step(epoch.Add(30*time.Second), Tick{})); got != "cancel e1 #1; finish unknown deadline-reached after 0" {
		t.Errorf("at the deadline: got %q", got)
	}
}

func TestBackoffGrowsWithJitterAndEndsBeforeTheDeadline(t *testing.T) {
	options := streamOptions()
	options.MaxRefusals = 100
	core := New(options)
	var waits []time.Duration
	for index := range 8 {
		core.Step(epoch, Assigned{fleet.BackendName(fmt.Sprint("e", index))})
		effects := core.Step(epoch, Failure{Connection: index + 1, Evidence: NeverSent})
		waits = append(waits, effects[0].(Reassign).After)
	}
	for index, wait := range waits {
		full := min(backoffMin<<index, backoffMax)
		if wait < full/2 || wait > full {
			t.Errorf("wait %d is %v, want between %v and %v", index, wait, full/2, full)
		}
	}
	core.Step(epoch, Assigned{"last"})
	effects := core.Step(epoch.Add(30*time.Second-100*time.Millisecond), Failure{Connection: 9, Evidence: NeverSent})
	if wait := effects[0].(Reassign).After; wait > 50*time.Millisecond {
		t.Errorf("waits %v with 100ms left, want 50ms at most", wait)
	}
}

// With every attempt failing, the attempts are bounded by the requests, the fraction of them that may be
// retried and the burst.
func TestRetryAmplification(t *testing.T) {
	const requests = 10_000
	budget := NewBudget(DefaultRetryShare, DefaultRetryBurst)
	attempts := 0
	for range requests {
		budget.Earn()
		attempts++
		for retry := 1; retry < DefaultMaxAttempts && budget.Spend(); retry++ {
			attempts++
		}
	}
	if most := requests + requests/10 + DefaultRetryBurst; attempts > most {
		t.Errorf("%d attempts, want at most %d", attempts, most)
	}
	t.Logf("amplification %.3f", float64(attempts)/requests)
}

// Guards against retries that each run of a node is granted anew: a node that restarts again and again keeps
// the bound of one that does not.
func TestRestartsGrantNoRetries(t *testing.T) {
	const requests, requestsPerRun = 10_000, 50
	retries := 0
	for range requests / requestsPerRun {
		budget := NewBudget(DefaultRetryShare, DefaultRetryBurst)
		for range requestsPerRun {
			budget.Earn()
			for range DefaultMaxAttempts {
				if budget.Spend() {
					retries++
				}
			}
		}
	}
	if most := requests/10 + DefaultRetryBurst; retries > most || retries < requests/20 {
		t.Errorf("%d retries of %d requests, want at most %d", retries, requests, most)
	}
}

func BenchmarkToken(b *testing.B) {
	b.ReportAllocs()
	options := streamOptions()
	options.MaxKeptBytes = 1
	core := New(options)
	core.Step(epoch, Assigned{"e1"})
	next := chunk(1, 1, 0)
	for b.Loop() {
		core.Step(epoch, next)
		next.Sequence++
	}
}

// Guards against routing that learns nothing from a deadline: LastFailure must show that an engine took a
// request and delivered nothing.
func TestDeadlineCountsAgainstASilentBackEnd(t *testing.T) {
	core := New(streamOptions())
	core.Step(epoch, Assigned{"e1"})
	got := describe(core.Step(core.NextWake(), Tick{}))
	if want := "cancel e1 #1; finish unknown deadline-reached after 0"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	if evidence := core.LastFailure().Evidence; evidence != MaybeSent {
		t.Errorf("evidence %d for the silent attempt, want %d", evidence, MaybeSent)
	}
}
