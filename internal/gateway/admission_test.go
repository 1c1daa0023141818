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

// fakeAdmission admits as many requests to limited back ends, and says of others when to come back.
type fakeAdmission struct {
	remaining, asked atomic.Int64
	retryIn          time.Duration
}

func (g *fakeAdmission) AdmitBackend(context.Context, fleet.BackendName, uint64, float64) (granted bool, retryIn time.Duration) {
	g.asked.Add(1)
	return g.remaining.Add(-1) >= 0, g.retryIn
}

// limitingEngine counts its requests, and names a limit while it is to.
func limitingEngine(count *atomic.Int64, isLimited *atomic.Bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		count.Add(1)
		if isLimited.Load() {
			writer.Header().Set(backend.HeaderRateLimit, "1")
		}
		completeEngine(writer, request)
	}
}

// An engine names a rate limit in its answers. The header was not read, so that ten requests of ten
// reached it; now what follows the first answer takes a grant, or is refused at once.
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
		t.Errorf("%d requests came, one of which was told, and 2 were granted", received.Load())
	}
}

// TestRateLimitEndsWithTheAnswerThatNamesNone, and with another incarnation.
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
		t.Errorf("asked for %d of six requests: the first names a limit, the second none", admission.asked.Load())
	}
	isLimited.Store(true)
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	h.table.Engines[0].Incarnation++
	h.publish()
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	if admission.asked.Load() != 1 {
		t.Error("the limit of an incarnation binds the next one")
	}
}

// TestOtherBackEndsGoOnWhereOneIsLimited: of a service, commands go to the one that names no limit.
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
			t.Fatalf("a command: %d, though another back end names no limit", got.status)
		}
	}
	if limited.Load() > 1 {
		t.Errorf("%d commands reached the limited back end after the first", limited.Load()-1)
	}
}
