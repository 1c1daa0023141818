package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// countingEngine counts its requests; the first is answered by first, and the others whole.
func countingEngine(count *atomic.Int64, first http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if count.Add(1) == 1 {
			first(writer, request)
			return
		}
		completeEngine(writer, request)
	}
}

func refuseWithRetryAfter(retryAfter string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(backend.HeaderNotRun, "true")
		writer.Header().Set("Retry-After", retryAfter)
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// An engine that turns a request away says for how long it wants none. The time was handed to the
// caller, where nothing else was left to tell it, and the engine was left alone for a quarter of a
// second, for that model alone.
func TestEngineThatAskedForRestIsLeftAlone(t *testing.T) {
	var received atomic.Int64
	h := newHarness(t, nil)
	h.catalog.model.Deadline = 900 * time.Millisecond
	h.addEngine("e1", h.backend(countingEngine(&received, refuseWithRetryAfter("60"))))
	for range 3 {
		h.do(http.MethodPost, backend.PathCompletions, streamBody)
	}
	if received.Load() != 1 {
		t.Errorf("%d requests came in the rest that the engine had asked for", received.Load()-1)
	}
}

// TestRestEndsWithTheEngine: one that started anew asked for nothing.
func TestRestEndsWithTheEngine(t *testing.T) {
	var received atomic.Int64
	h := newHarness(t, nil)
	h.catalog.model.Deadline = 300 * time.Millisecond
	h.addEngine("e1", h.backend(countingEngine(&received, refuseWithRetryAfter("60"))))
	h.do(http.MethodPost, backend.PathCompletions, streamBody)
	h.table.Engines[0].Incarnation++
	h.publish()
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
}

// TestLeavingEngineSaysSoInGoodAnswers: also the answer that it served says so, and the next
// request does not go there; another start of it may be used.
func TestLeavingEngineSaysSoInGoodAnswers(t *testing.T) {
	var received atomic.Int64
	notified := make(chan fleet.BackendName, 9)
	h := newHarness(t, func(options *Options) {
		options.Leaving = func(name fleet.BackendName) { notified <- name }
	})
	h.catalog.model.Deadline = 400 * time.Millisecond
	h.addEngine("e1", h.backend(countingEngine(&received, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Leaving", "true")
		completeEngine(writer, request)
	})))
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	if got := h.do(http.MethodPost, backend.PathCompletions, streamBody); got.status == http.StatusOK || received.Load() != 1 {
		t.Errorf("%d requests, the second answered %d: its engine had said that it leaves", received.Load(), got.status)
	}
	if len(notified) != 1 || <-notified != "e1" {
		t.Error("the zone was not told")
	}
	h.table.Engines[0].Incarnation++
	h.publish()
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
}

// TestServiceThatAskedForRestIsLeftAlone: so are back ends that take commands.
func TestServiceThatAskedForRestIsLeftAlone(t *testing.T) {
	var received, others atomic.Int64
	h := newHarness(t, nil)
	h.addService("s1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		received.Add(1)
		refuseWithRetryAfter("60")(writer, request)
	}))
	h.addService("s2", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
		others.Add(1)
		writer.WriteHeader(http.StatusNoContent)
	}))
	calls := int64(0)
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		h.do(http.MethodPost, "/turbines/7/stop", "now")
		calls++
	}
	if received.Load() > 1 || others.Load() < calls-1 {
		t.Errorf("%d requests came in the rest, %d of %d were done", received.Load()-1, others.Load(), calls)
	}
}
