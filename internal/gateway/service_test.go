package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestPlainCallGoesToTheService(t *testing.T) {
	h := newHarness(t, nil)
	h.addService("s1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		writer.WriteHeader(http.StatusCreated)
		_, _ = writer.Write(append([]byte(request.Method+" "+request.URL.RequestURI()+" "), body...))
	}))
	got := h.do(http.MethodPost, "/turbines/7/stop?now=1", "hard")
	if got.status != http.StatusCreated || got.body != "POST /turbines/7/stop?now=1 hard" {
		t.Fatalf("%+v", got)
	}
}

// fakeGuard returns one decision and records the outcomes of attempts.
type fakeGuard struct {
	decision claim.Decision
	request  claim.Request
	outcomes chan claim.Outcome
	// hold delays Complete until it is closed.
	hold chan struct{}
}

func newFakeGuard(decision claim.Decision) *fakeGuard {
	return &fakeGuard{decision: decision, outcomes: make(chan claim.Outcome, 1)}
}

func (f *fakeGuard) Acquire(_ context.Context, request claim.Request) claim.Decision {
	f.request = request
	return f.decision
}

func (f *fakeGuard) Complete(_ context.Context, _, _ string, outcome claim.Outcome, _ *claim.Answer) {
	if f.hold != nil {
		<-f.hold
	}
	f.outcomes <- outcome
}

func TestVerdictsOfTheKeepers(t *testing.T) {
	stored := &claim.Answer{Status: http.StatusAccepted, ContentType: "text/plain", Body: []byte("stopped")}
	tests := map[string]struct {
		decision   claim.Decision
		status     int
		code       string
		outcome    attempt.Outcome
		retryAfter string
	}{
		"done":           {claim.Decision{Verdict: claim.Done, Answer: stored}, 202, "", "", ""},
		"done, not kept": {claim.Decision{Verdict: claim.Done, Answer: &claim.Answer{BodyOmitted: true}}, 409, codeKeyBodyGone, attempt.OutcomeOK, ""},
		"in progress":    {claim.Decision{Verdict: claim.InProgress, RetryAfter: 2 * time.Second}, 409, codeKeyInProgress, attempt.OutcomeUnknown, "2"},
		"mismatch":       {claim.Decision{Verdict: claim.Mismatch}, 422, codeKeyMismatch, attempt.OutcomeNotRun, ""},
		"unknown":        {claim.Decision{Verdict: claim.Unknown}, 409, codeKeyUnknown, attempt.OutcomeUnknown, ""},
		"no majority":    {claim.Decision{Verdict: claim.NoMajority}, 503, codeKeyNoMajority, attempt.OutcomeNotRun, "1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(options *Options) { options.Guard = newFakeGuard(test.decision) })
			h.addService("s1", h.backend(func(http.ResponseWriter, *http.Request) { t.Error("sent without a grant") }))
			got := h.do(http.MethodPost, "/turbines/7/stop", "now", backend.HeaderIdempotencyKey, "k")
			if got.status != test.status || got.problem.Code != test.code || got.problem.Outcome != test.outcome ||
				got.header.Get("Retry-After") != test.retryAfter {
				t.Errorf("%d %v %+v", got.status, got.header, got.problem)
			}
			if test.status == http.StatusAccepted && got.body != "stopped" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// TestOutcomesOfACallThatMayNotBeRepeated checks over real sockets, with and without
// a key, what the caller and the keepers are told, and how often the call was sent.
func TestOutcomesOfACallThatMayNotBeRepeated(t *testing.T) {
	tests := map[string]struct {
		handler  http.HandlerFunc
		status   int
		outcome  attempt.Outcome
		reported claim.Outcome
	}{
		"answers":              {func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(204) }, 204, "", claim.Ran},
		"fails after running":  {func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(500) }, 500, "", claim.Ran},
		"closes after reading": {func(http.ResponseWriter, *http.Request) { abortConnection() }, 502, attempt.OutcomeUnknown, claim.Uncertain},
		"refuses before running": {func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(backend.HeaderNotRun, "true")
			writer.WriteHeader(503)
		}, 503, attempt.OutcomeNotRun, claim.NotRun},
		"nobody listens": {nil, 503, attempt.OutcomeNotRun, claim.NotRun},
	}
	for name, test := range tests {
		for _, key := range []string{"", "k"} {
			t.Run(name+" "+key, func(t *testing.T) {
				guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
				h := newHarness(t, func(options *Options) { options.Guard = guard })
				var sent atomic.Int32
				address := h.backend(func(writer http.ResponseWriter, request *http.Request) {
					sent.Add(1)
					test.handler(writer, request)
				})
				want := int32(1)
				if test.handler == nil {
					address, want = unreachableAddress(t), 0
				}
				h.addService("s1", address)
				got := h.do(http.MethodPost, "/turbines/7/stop", "now", backend.HeaderIdempotencyKey, key)
				if got.status != test.status || got.problem.Outcome != test.outcome || sent.Load() != want {
					t.Errorf("%d %+v, sent %d times", got.status, got.problem, sent.Load())
				}
				if key == "" {
					return
				}
				if recorded := <-guard.outcomes; recorded != test.reported || guard.request.Key != "turbines/k" || guard.request.Window != time.Minute {
					t.Errorf("keepers were told %v, the claim was %+v", recorded, guard.request)
				}
			})
		}
	}
}

// pausedGuard grants and then moves the clock forward, as if the process had been
// paused after its keepers had answered.
type pausedGuard struct {
	*fakeGuard
	offset *atomic.Int64
	pause  time.Duration
}

func (p *pausedGuard) Acquire(ctx context.Context, request claim.Request) claim.Decision {
	decision := p.fakeGuard.Acquire(ctx, request)
	p.offset.Store(int64(p.pause))
	return decision
}

// TestGrantDoesNotOutliveAPause: the keepers keep a key only for calls that are
// sent soon after the grant. A call sent after a longer pause may run beside
// another that was granted the key since, whatever its own deadline is.
func TestGrantDoesNotOutliveAPause(t *testing.T) {
	tests := map[string]struct {
		pause    time.Duration
		sent     int32
		reported claim.Outcome
	}{
		"short": {time.Second, 1, claim.Ran},
		"long":  {claim.StartTimeout, 0, claim.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var offset atomic.Int64
			guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
			h := newHarness(t, func(options *Options) {
				options.Guard = &pausedGuard{fakeGuard: guard, offset: &offset, pause: test.pause}
				options.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
			})
			h.catalog.service.Deadline = time.Hour
			var sent atomic.Int32
			h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
				sent.Add(1)
				writer.WriteHeader(http.StatusNoContent)
			}))
			got := h.do(http.MethodPost, "/turbines/7/stop", "now", backend.HeaderIdempotencyKey, "k")
			if recorded := <-guard.outcomes; recorded != test.reported || sent.Load() != test.sent {
				t.Errorf("keepers were told %v, sent %d times", recorded, sent.Load())
			}
			if test.sent == 0 && (got.status != http.StatusServiceUnavailable || got.problem.Outcome != attempt.OutcomeNotRun) {
				t.Errorf("the caller was told %d %+v", got.status, got.problem)
			}
			if guard.request.Window < 50*time.Minute {
				t.Errorf("the key is kept for %s, the call may run for an hour", guard.request.Window)
			}
		})
	}
}

func unreachableAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestRepeatableCallIsMadeElsewhere(t *testing.T) {
	h := newHarness(t, nil)
	h.addService("s1", unreachableAddress(t))
	h.addService("s2", h.backend(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("slots")) }))
	for range 4 {
		if got := h.do(http.MethodGet, "/turbines/slots", ""); got.status != http.StatusOK || got.body != "slots" {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
}

// TestCallerThatGoesAwayDoesNotUndoACommand checks that the outcome of the command is
// still determined and reported to the keepers.
func TestCallerThatGoesAwayDoesNotUndoACommand(t *testing.T) {
	guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
	h := newHarness(t, func(options *Options) { options.Guard = guard })
	ctx, stop := context.WithCancel(t.Context())
	h.addService("s1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		stop()
		select {
		case <-request.Context().Done():
			t.Error("the command was cancelled")
		case <-time.After(100 * time.Millisecond):
		}
		writer.WriteHeader(http.StatusNoContent)
	}))
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/turbines/7/stop", nil)
	request.Header.Set(backend.HeaderIdempotencyKey, "k")
	_, _ = http.DefaultTransport.RoundTrip(request)
	if recorded := <-guard.outcomes; recorded != claim.Ran {
		t.Errorf("keepers were told %v", recorded)
	}
}

// TestCommandDoesNotWaitBehindReports fills the queue with model requests
// that no replica serves.
func TestCommandDoesNotWaitBehindReports(t *testing.T) {
	h := newHarness(t, func(options *Options) { options.Queue.MaxItems = 4 })
	h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }))
	waiting, stopWaiting := context.WithCancel(t.Context())
	defer stopWaiting()
	for range 8 {
		go func() {
			request, _ := http.NewRequestWithContext(waiting, http.MethodPost, h.server.URL+backend.PathCompletions, strings.NewReader(streamBody))
			if answer, err := http.DefaultTransport.RoundTrip(request); err == nil {
				_ = answer.Body.Close()
			}
		}()
	}
	<-h.demand.first
	if got := h.do(http.MethodPost, "/turbines/7/stop", ""); got.status != http.StatusNoContent {
		t.Errorf("%d %s", got.status, got.body)
	}
}

func TestSlowKeepersDoNotHoldTheAnswerBack(t *testing.T) {
	guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
	guard.hold = make(chan struct{})
	h := newHarness(t, func(options *Options) { options.Guard = guard })
	h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }))
	got := h.do(http.MethodPost, "/turbines/7/stop", "now", backend.HeaderIdempotencyKey, "k")
	close(guard.hold)
	if recorded := <-guard.outcomes; got.status != http.StatusNoContent || recorded != claim.Ran {
		t.Errorf("%d, keepers were told %v", got.status, recorded)
	}
}

// TestLeavingServiceIsReportedByItsRefusal: a command server is not polled, so
// its own refusal is the first sign that it is shutting down.
func TestLeavingServiceIsReportedByItsRefusal(t *testing.T) {
	for body, want := range map[string]int{
		`{"code":"leaving"}`:  1,
		`{"code":"overfull"}`: 0,
		"leaving":             0,
	} {
		t.Run(body, func(t *testing.T) {
			notified := make(chan fleet.BackendName, 9)
			h := newHarness(t, func(options *Options) {
				options.Leaving = func(name fleet.BackendName) { notified <- name }
			})
			h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(backend.HeaderNotRun, "true")
				writer.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(writer, body)
			}))
			h.do(http.MethodPost, "/turbines/7/stop", "now")
			if got := len(notified); got != want || want > 0 && <-notified != "s1" {
				t.Errorf("%d reports", got)
			}
		})
	}
}
