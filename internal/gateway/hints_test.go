package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// countingEngine counts its requests; the first is handled by first, the others get a complete response.
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

// Guards against passing an engine's Retry-After only to the caller, and only if no attempt was left: the
// engine was then skipped for just a quarter of a second, and for that model only.
func TestEngineThatAskedForRestIsLeftAlone(t *testing.T) {
	var received atomic.Int64
	h := newHarness(t, nil)
	h.catalog.model.Deadline = 900 * time.Millisecond
	h.addEngine("e1", h.backend(countingEngine(&received, refuseWithRetryAfter("60"))))
	for range 3 {
		h.do(http.MethodPost, backend.PathCompletions, streamBody)
	}
	if received.Load() != 1 {
		t.Errorf("%d requests reached the engine during its backoff", received.Load()-1)
	}
}

// TestRestEndsWithTheEngine checks that a backoff ends when the engine restarts, on a virtual clock.
func TestRestEndsWithTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int64
		h := newVirtualHarness(t)
		h.catalog.model.Deadline = 300 * time.Millisecond
		h.addEngine("e1", h.backend(countingEngine(&received, refuseWithRetryAfter("60"))))
		h.do(http.MethodPost, backend.PathCompletions, streamBody)
		h.table.Engines[0].Incarnation++
		h.publish()
		startedAt := time.Now()
		h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
		if took := time.Since(startedAt); took != 0 {
			t.Errorf("it waited for %v", took)
		}
	})
}

// TestLeavingEngineSaysSoInGoodAnswers checks that the header also counts in a successful response: the
// next request does not go there, unless the engine has restarted.
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
		t.Errorf("%d requests reached the engine, which had announced that it leaves; status of the second %d", received.Load(), got.status)
	}
	if len(notified) != 1 || <-notified != "e1" {
		t.Error("Options.Leaving was not called once with e1")
	}
	h.table.Engines[0].Incarnation++
	h.publish()
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
}

// TestServiceThatAskedForRestIsLeftAlone checks the same for back ends of services.
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
		t.Errorf("%d requests reached s1 during its backoff, s2 got %d of %d", received.Load()-1, others.Load(), calls)
	}
}
