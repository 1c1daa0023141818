package gateway

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routing"
)

// Admission decides what may be sent to back ends that name a rate limit, over all nodes.
type Admission interface {
	// AdmitBackend asks whether a request may begin at the incarnation of a back end, which takes
	// perSecond requests a second; else retryIn is when one may.
	AdmitBackend(ctx context.Context, backend fleet.BackendName, incarnation uint64, perSecond float64) (granted bool, retryIn time.Duration)
}

// admits asks whether a request may begin at the back end that was found for it. Where it may not the
// back end is left alone by this node until one may, and the ticket is over.
func (g *Gateway) admits(ctx context.Context, from *dispatcher, ticket uint64, found reply) (retryIn time.Duration, ok bool) {
	if !found.limit.IsSet() || g.options.Admission == nil {
		return 0, true
	}
	granted, retryIn := g.options.Admission.AdmitBackend(ctx, found.backend.Name, found.incarnation, found.limit.PerSecond)
	if granted {
		return 0, true
	}
	g.metrics.limitedHeld.Inc()
	from.send(hintReceived{ticket: ticket, hint: inventory.Hint{Backoff: retryIn}})
	from.send(attemptEnded{ticket: ticket, result: routing.ResultAbandoned})
	return retryIn, false
}

// rateLimited refuses a request that no back end may take before its deadline.
func rateLimited(retryIn time.Duration) attempt.Unassigned {
	return attempt.Unassigned{Code: codeBackendLimited, Detail: "the back ends that could run it name a rate limit", RetryAfter: retryIn}
}
