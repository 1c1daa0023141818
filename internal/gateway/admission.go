package gateway

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// Admission enforces the rate limits that back ends report, across all nodes.
type Admission interface {
	// AdmitBackend asks whether a request may start at this incarnation of a back end, which accepts
	// perSecond requests a second. If not, retryIn is the time until one may.
	AdmitBackend(ctx context.Context, backend fleet.BackendName, incarnation uint64, perSecond float64) (granted bool, retryIn time.Duration)
}

// admitToBackend asks whether a request may start at the back end that was picked for it. If not, this
// node backs off from the back end until retryIn has passed, and the ticket is ended.
func (g *Gateway) admitToBackend(ctx context.Context, owner *dispatcher, ticket uint64, candidate dispatchReply) (retryIn time.Duration, ok bool) {
	if !candidate.limit.IsSet() || g.options.Admission == nil {
		return 0, true
	}
	granted, retryIn := g.options.Admission.AdmitBackend(ctx, candidate.backend.Name, candidate.incarnation, candidate.limit.PerSecond)
	if granted {
		return 0, true
	}
	g.metrics.rateLimitHeld.Inc()
	owner.send(hintReceived{ticket: ticket, hint: inventory.Hint{Backoff: retryIn}})
	owner.send(attemptEnded{ticket: ticket, result: routing.ResultAbandoned})
	return retryIn, false
}

// rateLimited refuses a request that no back end accepts before its deadline.
func rateLimited(retryIn time.Duration) attempt.Unassigned {
	return attempt.Unassigned{Code: codeBackendLimited, Detail: "the back ends that could run it name a rate limit", RetryAfter: retryIn}
}
