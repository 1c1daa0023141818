package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Suspects tracks, across all nodes, requests that were running on servers when these crashed, so that
// a request that crashes every server is not sent to more of them.
type Suspects interface {
	// Any reports whether any suspect is known.
	Any() bool
	// Status is the current status of a request.
	Status(fingerprint poison.Fingerprint) poison.Status
	// ReportCrash reports that a server crashed that had been running the request for that time.
	ReportCrash(fingerprint poison.Fingerprint, serverID string, running time.Duration)
	// ReportSuccess reports that a request completed.
	ReportSuccess(fingerprint poison.Fingerprint)
	// ClaimTrial asks for permission to send a request on trial once; it is granted to one node only.
	ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool
	// ReportRefusal reports that a copy of a barred request was refused.
	ReportRefusal(fingerprint poison.Fingerprint)
}

// reasonPoison is the reason of refusals of requests that crashed too many servers.
const reasonPoison = "poison_request"

// fingerprint identifies the request by its content. It is computed once.
func (x *exchange) fingerprint() poison.Fingerprint {
	if x.cachedFingerprint == nil {
		fingerprint := poison.NewFingerprint(poison.Identity{
			Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Caller: x.head.APIKey,
			Model: x.head.Model, Adapter: x.head.Adapter, Body: x.body,
		})
		x.cachedFingerprint = &fingerprint
	}
	return *x.cachedFingerprint
}

// sharedParts are the fingerprints of the prompt parts that other requests may have, too: all but the
// last, which belongs to the request or its session. They are computed once.
func (x *exchange) sharedParts() []poison.Fingerprint {
	if x.cachedParts == nil && len(x.head.PromptParts) > 1 {
		for _, part := range x.head.PromptParts[:len(x.head.PromptParts)-1] {
			x.cachedParts = append(x.cachedParts, poison.NewPartFingerprint(x.service, part.ID))
		}
	}
	return x.cachedParts
}

// formatParts lists the beginnings of the fingerprints.
func formatParts(parts []poison.Fingerprint) string {
	names := make([]string, 0, len(parts))
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, part.Short())
	}
	return strings.Join(names, ",")
}

// maxLoggedParts bounds the parts that one line names.
const maxLoggedParts = 8

// poisonStatus is the current status of the request.
func (x *exchange) poisonStatus() poison.Status {
	suspects := x.handler.options.Suspects
	if suspects == nil || !suspects.Any() {
		return poison.StatusClear
	}
	return suspects.Status(x.fingerprint())
}

// isBarred reports whether the request crashed too many servers. A trial that this node has claimed is
// sent regardless.
func (x *exchange) isBarred() bool {
	return !x.isTrial && x.poisonStatus() == poison.StatusBarred
}

// claimTrialIfDue claims the trial of a request on trial for the send that follows.
func (x *exchange) claimTrialIfDue() bool {
	if x.poisonStatus() != poison.StatusOnTrial {
		return true
	}
	x.isTrial = x.handler.options.Suspects.ClaimTrial(x.ctx, x.fingerprint())
	return x.isTrial
}

// refuseBarred gives a barred request its final response, without a Retry-After.
func (x *exchange) refuseBarred() {
	x.handler.Metrics.BarredRefused.Add(1)
	x.handler.options.Suspects.ReportRefusal(x.fingerprint())
	if x.mayHaveRun {
		x.fail(http.StatusBadGateway, reasonPoison)
		return
	}
	x.refusePermanently(reasonPoison)
}

// handleBrokenResponse ends a send whose response did not come or broke off. It ends the request if the
// caller is gone.
func (x *exchange) handleBrokenResponse(choice dispatch.Choice) {
	if x.callerGone() {
		x.endAttempt(choice, dispatch.OutcomeAbandoned)
		x.endCallerGone()
	}
	x.reportIfCrashed(choice)
	x.markVersionUncertain(choice)
	x.endAttempt(choice, dispatch.OutcomeFailed)
	x.failedServers = append(x.failedServers, choice.ServerID)
}

// reportIfCrashed probes a server that did not respond to the end before the deadline: a network
// partition and a reset connection look the same as a crash. If the server crashed without having
// announced its shutdown, the request becomes a suspect.
func (x *exchange) reportIfCrashed(choice dispatch.Choice) {
	if clock.Until(x.deadline) <= waiting.ResponseMargin {
		return
	}
	x.serverLiveness = x.handler.options.Pool.Probe(choice.Address)
	if x.serverLiveness != backendconn.LivenessAlive {
		x.markUnreachable(choice)
		x.recordUnreached(choice)
	}
	suspects := x.handler.options.Suspects
	if suspects != nil && x.serverLiveness == backendconn.LivenessEnded && x.endedUnexpectedly(choice) && x.reachesOthers(choice) {
		suspects.ReportCrash(x.fingerprint(), choice.ServerID, choice.Attempt.Age(clock.Now()))
	}
}

// endedUnexpectedly reports whether the server ended without having announced it.
func (x *exchange) endedUnexpectedly(choice dispatch.Choice) (unexpected bool) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { unexpected = core.EndedUnexpectedly(choice.Attempt) })
	return unexpected
}

// reportSuccess reports that the request completed, which clears it and all requests with the same
// fingerprint of suspicion.
func (x *exchange) reportSuccess() {
	if suspects := x.handler.options.Suspects; suspects != nil {
		suspects.ReportSuccess(x.fingerprint())
	}
}
