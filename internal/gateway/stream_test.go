package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// abortConnection ends the connection without a terminator.
func abortConnection() { panic(http.ErrAbortHandler) }

// isResume reports whether a request resumes a stream; isCancel whether it cancels an attempt.
func isResume(request *http.Request) bool { return request.Method == http.MethodGet }
func isCancel(request *http.Request) bool { return request.Method == http.MethodDelete }

func (h *harness) wantComplete(got response) {
	h.t.Helper()
	if text, whole := streamText(got.body); got.status != http.StatusOK || text != completeText || !whole {
		h.t.Fatalf("status %d, body %q", got.status, got.body)
	}
}

func TestTruncatedStreamIsResumedAtTheSameEngine(t *testing.T) {
	h := newHarness(t, nil)
	var resumes atomic.Int32
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		engine := scriptedEngine{writer, request}
		if isResume(request) {
			resumes.Add(1)
			if !strings.HasSuffix(request.URL.Path, "/stream") || request.URL.Query().Get("from") != "3" {
				t.Errorf("resume %s", request.URL)
			}
			engine.tokens(3, 6)
			engine.end(6)
			return
		}
		engine.tokens(0, 3)
	}))
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	if resumes.Load() != 1 {
		t.Errorf("%d resumes", resumes.Load())
	}
}

func TestDeadEngineIsContinuedElsewhere(t *testing.T) {
	h := newHarness(t, nil)
	var crashing http.HandlerFunc = func(writer http.ResponseWriter, request *http.Request) {
		if isResume(request) {
			http.NotFound(writer, request)
			return
		}
		if isCancel(request) {
			return
		}
		scriptedEngine{writer, request}.tokens(0, 2)
		abortConnection()
	}
	h.addEngine("e1", h.backend(crashing))
	done := make(chan response, 1)
	go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	h.addEngine("e2", h.backend(completeEngine))
	h.wantComplete(<-done)
}

func TestCrossedLateAndDoubledChunksAreDroppedAndCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	h := newHarness(t, func(options *Options) { options.Registerer = registry })
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		engine := scriptedEngine{writer, request}
		engine.tokens(0, 3)
		engine.tokens(1, 3)
		crossed := engine.header()
		crossed.RequestID, crossed.Sequence, crossed.Text = "another", 3, "crossed "
		engine.send(crossed)
		late := engine.header()
		late.Attempt, late.Sequence, late.Text = 0, 3, "late "
		engine.send(late)
		engine.tokens(3, 6)
		engine.end(6)
	}))
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	h.drain()
	shown := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`reason="crossed"} 1`, `reason="duplicated"} 2`, `reason="late"} 1`} {
		if !strings.Contains(shown.Body.String(), "spanlanding_gateway_dropped_chunks_total{"+want) {
			t.Errorf("no %s in %s", want, shown.Body)
		}
	}
}

// drain waits until no handler runs, so that all requests have been counted.
func (h *harness) drain() {
	h.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if report := h.gateway.Drain(ctx); len(report.Cut) > 0 {
		h.t.Fatalf("cut %v", report.Cut)
	}
}

// TestAnswerThatCannotBeCompletedIsNeverPassedOff breaks every attempt: an incomplete response must not look complete.
func TestAnswerThatCannotBeCompletedIsNeverPassedOff(t *testing.T) {
	h := newHarness(t, nil)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		engine := scriptedEngine{writer, request}
		switch {
		case isCancel(request):
		case isResume(request):
			http.NotFound(writer, request)
		default:
			from := len(engine.body().ContinueFrom)
			engine.tokens(from, from+1)
			abortConnection()
		}
	}))
	streamed := h.do(http.MethodPost, backend.PathCompletions, streamBody)
	if _, whole := streamText(streamed.body); whole || !strings.Contains(streamed.body, "event: error\ndata: {") ||
		!strings.Contains(streamed.body, `"outcome":"failed"`) {
		t.Errorf("streamed: %q", streamed.body)
	}
	whole := h.do(http.MethodPost, backend.PathCompletions, `{"model":"notes","prompt":"x"}`)
	if whole.status != http.StatusBadGateway || whole.problem.Outcome != attempt.OutcomeFailed || whole.problem.Code != attempt.CodeInterrupted {
		t.Errorf("whole: %d %+v", whole.status, whole.problem)
	}
}

func TestWholeAnswers(t *testing.T) {
	h := newHarness(t, nil)
	h.addEngine("e1", h.backend(completeEngine))
	text := h.do(http.MethodPost, backend.PathCompletions, `{"model":"notes","prompt":"x"}`)
	if !strings.Contains(text.body, `"text":"`+completeText+`"`) || !strings.Contains(text.body, `"completion_tokens":6`) {
		t.Errorf("completion: %s", text.body)
	}
	chat := h.do(http.MethodPost, backend.PathChat, `{"model":"notes","messages":[]}`)
	if !strings.Contains(chat.body, `"message":{"role":"assistant","content":"`+completeText+`"}`) {
		t.Errorf("chat: %s", chat.body)
	}
}

func TestCallerThatGoesAwayStopsTheEngine(t *testing.T) {
	h := newHarness(t, nil)
	cancelled := make(chan string, 1)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		if isCancel(request) {
			cancelled <- request.Header.Get(backend.HeaderAttempt)
			return
		}
		scriptedEngine{writer, request}.tokens(0, 2)
		<-request.Context().Done()
	}))
	h.wantGoroutinesBack(func() {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+backend.PathCompletions, strings.NewReader(streamBody))
		answer, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = bufio.NewReader(answer.Body).ReadString('\n')
		stop()
		_ = answer.Body.Close()
		if got := <-cancelled; got != "1" {
			t.Errorf("attempt %q cancelled", got)
		}
	})
}

func TestCallerThatGoesAwayLeavesTheQueue(t *testing.T) {
	h := newHarness(t, nil)
	h.wantGoroutinesBack(func() {
		ctx, stop := context.WithCancel(t.Context())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+backend.PathCompletions, strings.NewReader(streamBody))
		go func() {
			<-h.demand.first
			stop()
		}()
		if _, err := http.DefaultTransport.RoundTrip(request); err == nil {
			t.Error("answered")
		}
	})
}

// wantGoroutinesBack runs the action and waits until there are no more goroutines
// than before; it fails after ten seconds.
func (h *harness) wantGoroutinesBack(action func()) {
	h.t.Helper()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	before := runtime.NumGoroutine()
	action()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	h.gateway.engineClient.Close()
	for limit := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; runtime.Gosched() {
		if time.Now().After(limit) {
			h.t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}

// TestSlowReaderIsCutOff checks that a caller that reads nothing does not occupy
// an engine forever.
func TestSlowReaderIsCutOff(t *testing.T) {
	h := newHarness(t, func(options *Options) { options.Limits.WriteTimeout = 100 * time.Millisecond })
	cancelled := make(chan struct{}, 1)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		if isCancel(request) {
			cancelled <- struct{}{}
			return
		}
		engine := scriptedEngine{writer, request}
		for sequence := 0; request.Context().Err() == nil; sequence++ {
			chunk := engine.header()
			chunk.Sequence, chunk.Text = sequence, strings.Repeat("x", 64<<10)
			engine.send(chunk)
		}
	}))
	request, _ := http.NewRequest(http.MethodPost, h.server.URL+backend.PathCompletions, strings.NewReader(streamBody))
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	<-cancelled
	if _, err := io.Copy(io.Discard, answer.Body); err == nil {
		t.Error("the cut-off response ends like a complete one")
	}
}

func TestDrainFinishesWhatRunsAndRefusesWhatIsNew(t *testing.T) {
	h := newHarness(t, nil)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		engine := scriptedEngine{writer, request}
		engine.tokens(0, 3)
		started <- struct{}{}
		<-release
		engine.tokens(3, 6)
		engine.end(6)
	}))
	running := make(chan response, 1)
	go func() { running <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	<-started
	drained := make(chan DrainReport, 1)
	go func() { drained <- h.gateway.Drain(context.Background()) }()
	for !h.gateway.Draining() {
		runtime.Gosched()
	}
	refused := h.do(http.MethodPost, backend.PathCompletions, streamBody)
	if refused.status != http.StatusServiceUnavailable || refused.problem.Outcome != attempt.OutcomeNotRun ||
		refused.header.Get("Retry-After") == "" || refused.problem.Code != codeStopping {
		t.Errorf("new request: %d %+v", refused.status, refused.problem)
	}
	close(release)
	h.wantComplete(<-running)
	if report := <-drained; len(report.Cut) > 0 {
		t.Errorf("cut %v", report.Cut)
	}
}

func TestDrainLimitCutsAndSaysSo(t *testing.T) {
	h := newHarness(t, nil)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		if isCancel(request) {
			return
		}
		scriptedEngine{writer, request}.tokens(0, 3)
		<-request.Context().Done()
	}))
	request, _ := http.NewRequest(http.MethodPost, h.server.URL+backend.PathCompletions, strings.NewReader(streamBody))
	request.Header.Set(backend.HeaderRequestID, "report-7")
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if report := h.gateway.Drain(ctx); len(report.Cut) != 1 || report.Cut[0] != "report-7" {
		t.Errorf("cut %v", report.Cut)
	}
	rest, err := io.ReadAll(answer.Body)
	if err != nil || !strings.Contains(string(rest), "event: error") || !strings.Contains(string(rest), codeStopping) {
		t.Errorf("body %q, %v", rest, err)
	}
}

// TestSameIdentityTwiceDoesNotCross: callers choose request IDs, and engines
// identify requests by them.
func TestSameIdentityTwiceDoesNotCross(t *testing.T) {
	h := newHarness(t, nil)
	identities := make(chan fleet.RequestID, 2)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		identities <- scriptedEngine{writer, request}.header().RequestID
		completeEngine(writer, request)
	}))
	for range 2 {
		got := h.do(http.MethodPost, backend.PathCompletions, streamBody, backend.HeaderRequestID, "same")
		h.wantComplete(got)
		if got.header.Get(backend.HeaderRequestID) != "same" {
			t.Errorf("header %v", got.header)
		}
	}
	if first, second := <-identities, <-identities; first == second {
		t.Errorf("both requests have the ID %q at the engine", first)
	}
}

// TestEngineThatDiesUnderManyStreamsCutsNone crashes an engine with far more streams
// than the retry budget allows retries.
func TestEngineThatDiesUnderManyStreamsCutsNone(t *testing.T) {
	const streams = 30
	h := newHarness(t, func(options *Options) {
		options.Limits.RetryBurst = 1
		options.Routing.EngineSlots = streams
	})
	var started sync.WaitGroup
	started.Add(streams)
	crash := make(chan struct{})
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		if isCancel(request) || isResume(request) {
			abortConnection()
		}
		scriptedEngine{writer, request}.tokens(0, 2)
		started.Done()
		<-crash
		abortConnection()
	}))
	answers := make(chan response, streams)
	for range streams {
		go func() { answers <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	}
	started.Wait()
	h.table.Engines = nil
	h.addEngine("e2", h.backend(completeEngine))
	close(crash)
	for range streams {
		h.wantComplete(<-answers)
	}
}
