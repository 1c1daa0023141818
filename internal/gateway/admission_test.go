package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// fakeAdmission admits the given number of requests to rate-limited back ends and refuses the others with retryIn.
type fakeAdmission struct {
	remaining, asked atomic.Int64
	retryIn          time.Duration
}

func (g *fakeAdmission) AdmitBackend(context.Context, fleet.BackendName, uint64, float64) (granted bool, retryIn time.Duration) {
	g.asked.Add(1)
	return g.remaining.Add(-1) >= 0, g.retryIn
}

// limitingEngine counts its requests and reports a rate limit while isLimited is set.
func limitingEngine(count *atomic.Int64, isLimited *atomic.Bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		count.Add(1)
		if isLimited.Load() {
			writer.Header().Set(backend.HeaderRateLimit, "1")
		}
		completeEngine(writer, request)
	}
}

// Guards against ignoring the rate limit header of an engine, which let ten requests of ten reach it. Every
// request after the response that reports the limit needs a grant or is refused at once.
func TestEngineThatNamesARateLimitGetsWhatIsGranted(t *testing.T) {
	var received atomic.Int64
	var isLimited atomic.Bool
	isLimited.Store(true)
	admission := &fakeAdmission{retryIn: 3 * time.Second}
	admission.remaining.Store(2)
	h := newHarness(t, func(options *Options) { options.Admission = admission })
	h.catalog.model.Deadline = time.Second
	h.addEngine("e1", h.backend(limitingEngine(&received, &isLimited)))
	for number := range 10 {
		started := time.Now()
		got := h.do(http.MethodPost, backend.PathCompletions, streamBody)
		if number < 3 {
			h.wantComplete(got)
		} else if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || time.Since(started) > h.catalog.model.Deadline {
			t.Errorf("request %d: %d after %v", number, got.status, time.Since(started))
		}
	}
	if received.Load() != 3 {
		t.Errorf("%d requests reached the engine, want 3: one before its limit was known, two granted", received.Load())
	}
}

// TestRateLimitEndsWithTheAnswerThatNamesNone checks that a response without the header, or another
// incarnation, ends the rate limit.
func TestRateLimitEndsWithTheAnswerThatNamesNone(t *testing.T) {
	var received atomic.Int64
	var isLimited atomic.Bool
	isLimited.Store(true)
	admission := &fakeAdmission{retryIn: 10 * time.Millisecond}
	admission.remaining.Store(1)
	h := newHarness(t, func(options *Options) { options.Admission = admission })
	h.addEngine("e1", h.backend(limitingEngine(&received, &isLimited)))
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	isLimited.Store(false)
	for range 5 {
		h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	}
	if admission.asked.Load() != 1 {
		t.Errorf("asked for %d of six requests, want 1: the first response reports a limit, the second none", admission.asked.Load())
	}
	isLimited.Store(true)
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	h.table.Engines[0].Incarnation++
	h.publish()
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	if admission.asked.Load() != 1 {
		t.Error("the limit of an incarnation was applied to the next one")
	}
}

// TestOtherBackEndsGoOnWhereOneIsLimited checks that a service's commands go to the back end that reports no limit.
func TestOtherBackEndsGoOnWhereOneIsLimited(t *testing.T) {
	var limited, others atomic.Int64
	h := newHarness(t, func(options *Options) { options.Admission = &fakeAdmission{retryIn: 3 * time.Second} })
	h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
		limited.Add(1)
		writer.Header().Set(backend.HeaderRateLimit, "0")
		writer.WriteHeader(http.StatusNoContent)
	}))
	h.addService("s2", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
		others.Add(1)
		writer.WriteHeader(http.StatusNoContent)
	}))
	for range 20 {
		if got := h.do(http.MethodPost, "/turbines/7/stop", "now"); got.status != http.StatusNoContent {
			t.Fatalf("command: %d, although another back end has no limit", got.status)
		}
	}
	if limited.Load() > 1 {
		t.Errorf("%d commands reached the limited back end after the first", limited.Load()-1)
	}
}
