package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

var body = []byte(`{"messages": [{"role": "user", "content": "pitch bearing?"}], "max_tokens": 12}`)

func wantTokens(t *testing.T, count int) []string {
	t.Helper()
	tokens, _ := Answer(body, count, modelA, "")
	return tokens
}

func TestAnswerIsTheDeterministicOne(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	call := r.submit(Request{ID: "r", Attempt: 2, PromptHash: PromptHash(body), MaxTokens: 12})
	r.run(time.Minute)
	chunks, _ := r.chunks(call)
	if diff := cmp.Diff(wantTokens(t, 12), texts(chunks)); diff != "" {
		t.Error(diff)
	}
	last := backend.Chunk{RequestID: "r", Attempt: 2, Sequence: 12, Finish: finishLength}
	if diff := cmp.Diff(last, chunks[len(chunks)-1]); diff != "" {
		t.Error(diff)
	}
}

func TestContinuationElsewhereGivesTheSameAnswer(t *testing.T) {
	first, second := newRig(t, Options{}), newRig(t, Options{Seed: 9})
	first.loadModelA()
	second.loadModelA()
	begun := first.submit(Request{ID: "r", Attempt: 1, PromptHash: PromptHash(body), MaxTokens: 12})
	first.run(100 * time.Millisecond)
	chunks, _ := first.chunks(begun)
	delivered := texts(chunks)
	if len(delivered) == 0 || len(delivered) >= 12 {
		t.Fatalf("%d tokens were delivered before the continuation, want 1 to 11", len(delivered))
	}
	continued := second.submit(Request{
		ID: "r", Attempt: 2, PromptHash: PromptHash(body), MaxTokens: 12, From: len(delivered),
	})
	second.run(time.Minute)
	rest, _ := second.chunks(continued)
	if rest[0].Sequence != len(delivered) {
		t.Errorf("the continuation starts at token %d, want %d", rest[0].Sequence, len(delivered))
	}
	if diff := cmp.Diff(wantTokens(t, 12), append(delivered, texts(rest)...)); diff != "" {
		t.Error(diff)
	}
}

func TestTokensDependOnPromptModelVersionAdapterAndIndex(t *testing.T) {
	base := TokenText(1, modelA, "", 0)
	others := []string{
		TokenText(2, modelA, "", 0),
		TokenText(1, fleet.ModelVersion{Model: "alarm", Version: "2"}, "", 0),
		TokenText(1, modelA, "wind", 0),
		TokenText(1, modelA, "", 1),
	}
	for index, other := range others {
		if other == base {
			t.Errorf("case %d gives the same token %q", index, other)
		}
	}
	spaced := []byte(`{"max_tokens":3,"messages":[{"role":"user","content":"pitch bearing?"}],"stream":true}`)
	if PromptHash(body) != PromptHash(spaced) {
		t.Error("fields other than the prompt change its hash")
	}
}

func TestBrokenStreamIsResumedWithoutLossOrDoubling(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	r.step(SetFaults{Faults: Faults{BreakAfterTokens: 4}})
	call := r.submit(Request{ID: "r", PromptHash: PromptHash(body), MaxTokens: 12})
	r.run(time.Second)
	broken, _ := r.chunks(call)
	if len(broken) != 4 || broken[3].Finish != "" {
		t.Fatalf("got %v before the break", broken)
	}
	again := r.call()
	r.step(Resume{Call: again, Request: "r", From: 4})
	r.run(time.Second)
	rest, _ := r.chunks(again)
	if diff := cmp.Diff(wantTokens(t, 12), append(texts(broken), texts(rest)...)); diff != "" {
		t.Error(diff)
	}
	if rest[len(rest)-1].Finish == "" {
		t.Error("the resumed stream has no finish chunk")
	}
}

func TestSecondReaderReplacesTheFirst(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	call := r.submit(Request{ID: "r", MaxTokens: 12})
	r.run(100 * time.Millisecond)
	before, _ := r.chunks(call)
	again := r.call()
	r.step(Resume{Call: again, Request: "r"})
	r.step(Detach{Call: call})
	r.run(time.Minute)
	after, _ := r.chunks(call)
	rest, _ := r.chunks(again)
	if len(after) != len(before) || len(rest) != 13 {
		t.Errorf("first reader got %d then %d chunks, second %d", len(before), len(after), len(rest))
	}
}

func TestKeptStreamIsForgottenInTime(t *testing.T) {
	r := newRig(t, Options{Timing: Timing{KeepStreams: 10 * time.Second}})
	r.loadModelA()
	r.submit(Request{ID: "r", MaxTokens: 2})
	r.run(9 * time.Second)
	kept, late := r.call(), r.call()
	r.step(Resume{Call: kept, Request: "r"})
	r.run(5 * time.Second)
	r.step(Resume{Call: late, Request: "r"})
	if chunks, _ := r.chunks(kept); len(chunks) != 3 {
		t.Errorf("got %d chunks of the retained stream, want 3", len(chunks))
	}
	if r.refusal(late) != RefusedUnknown || len(r.core.requests) != 0 {
		t.Errorf("late resume: %q, %d requests kept", r.refusal(late), len(r.core.requests))
	}
}

func TestReaderThatGoesAwayCancelsTheRequest(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	call := r.submit(Request{ID: "r", MaxTokens: 1000})
	r.run(time.Second)
	r.step(Detach{Call: call})
	execution := r.core.Book(r.now).Executions[0]
	if !execution.Cancelled || execution.Ended != r.now || execution.Tokens == 0 || !r.core.Idle() {
		t.Errorf("execution %+v, idle %v", execution, r.core.Idle())
	}
}

func TestRequestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(r *rig)
		request Request
		want    RefusalReason
	}{
		{"model not loaded", nil, Request{ID: "x", Model: modelB}, RefusedNotReady},
		{"adapter not loaded", nil, Request{ID: "x", Adapter: "wind"}, RefusedNotReady},
		{"leaving", func(r *rig) { r.step(Leave{}) }, Request{ID: "x"}, RefusedLeaving},
		{"earlier attempt", func(r *rig) { r.submit(Request{ID: "x", Attempt: 2}) }, Request{ID: "x", Attempt: 1}, RefusedSuperseded},
		{"same attempt", func(r *rig) { r.submit(Request{ID: "x", Attempt: 2}) }, Request{ID: "x", Attempt: 2}, RefusedDuplicate},
		{"overfull", func(r *rig) {
			for _, id := range []fleet.RequestID{"1", "2"} {
				r.submit(Request{ID: id})
			}
		}, Request{ID: "x"}, RefusedOverfull},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, Options{MaxRunning: 1, MaxWaiting: 1})
			r.loadModelA()
			if test.prepare != nil {
				test.prepare(r)
			}
			begun := len(r.core.Book(r.now).Executions)
			call := r.submit(test.request)
			r.run(time.Hour)
			if got := r.refusal(call); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			for _, execution := range r.core.Book(r.now).Executions[begun:] {
				if execution.RequestID == test.request.ID && execution.Attempt == test.request.Attempt {
					t.Error("a refused request ran")
				}
			}
		})
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	r := newRig(t, Options{MaxRunning: 1})
	r.loadModelA()
	for index, id := range []fleet.RequestID{"runs", "low", "high"} {
		r.submit(Request{ID: id, Priority: index, MaxTokens: 3})
	}
	r.run(time.Minute)
	var order []fleet.RequestID
	for _, execution := range r.core.Book(r.now).Executions {
		order = append(order, execution.RequestID)
	}
	if diff := cmp.Diff([]fleet.RequestID{"runs", "high", "low"}, order); diff != "" {
		t.Error(diff)
	}
}

func TestBusyTimeIsThatWithAtLeastOneRequestRunning(t *testing.T) {
	r := newRig(t, Options{KVReserveBytes: GiB, Timing: Timing{IterationBase: 100 * time.Millisecond, IterationPerSequence: time.Nanosecond}})
	r.loadModelA()
	r.submit(Request{ID: "1", MaxTokens: 10})
	r.run(500 * time.Millisecond)
	r.submit(Request{ID: "2", MaxTokens: 10})
	r.run(time.Hour)
	// The second request joins the batch at the sixth iteration.
	busy := r.core.Book(r.now).Residencies[0].BusySeconds
	if busy < 1.49 || busy > 1.51 {
		t.Errorf("busy for %v s, want 1.5", busy)
	}
}

func TestChunkFaultsAddChunksWithoutChangingTheAnswer(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	r.step(SetFaults{Faults: Faults{DuplicateChunks: true, CrossChunks: true, LateChunks: true}})
	call := r.submit(Request{ID: "r", PromptHash: PromptHash(body), MaxTokens: 5})
	r.run(time.Minute)
	chunks, _ := r.chunks(call)
	var own []string
	foreign := 0
	for _, chunk := range chunks {
		switch {
		case chunk.RequestID != "r":
			foreign++
		case chunk.Finish == "" && chunk.Sequence == len(own):
			own = append(own, chunk.Text)
		}
	}
	if diff := cmp.Diff(wantTokens(t, 5), own); diff != "" {
		t.Error(diff)
	}
	if foreign != 5 || len(chunks) != 5+5+5+4+1 {
		t.Errorf("%d foreign of %d chunks", foreign, len(chunks))
	}
}
