package gateway

import (
	"net/http"
	"testing"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// Guards against malformed answers of services that are passed on, or that end the handler: callers get a failure that
// says that the call may have run.
func TestMalformedAnswerOfAServiceIsAFailure(t *testing.T) {
	server := cutanswer.NewServer(t)
	server.ForEachMalformed(t, "200 OK", "", "whole", func(t *testing.T) {
		guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
		h := newHarness(t, func(options *Options) { options.Guard = guard })
		h.addService("s1", server.Address)
		got := h.do(http.MethodPost, "/turbines/7/stop", "now", backend.HeaderIdempotencyKey, "k")
		if got.status != http.StatusBadGateway || got.problem.Outcome != attempt.OutcomeUnknown {
			t.Errorf("status %d, %q, %+v", got.status, got.body, got.problem)
		}
		if recorded := <-guard.outcomes; recorded != claim.Uncertain {
			t.Errorf("keepers were told %v", recorded)
		}
	})
}
