package relay

import (
	"context"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Suspects tracks, across all nodes, requests and parts of prompts that were running on servers when
// these crashed, so that one that crashes every server is not sent to more of them.
type Suspects interface {
	// Any reports whether any suspect is known.
	Any() bool
	// Status is the current status of a request or part.
	Status(fingerprint poison.Fingerprint) poison.Status
	// ReportCrash reports that a server crashed that had been running a request.
	ReportCrash(crash Crash)
	// ReportSuccess reports that the request, or what has the parts, ran well.
	ReportSuccess(request *poison.Fingerprint, parts []poison.Fingerprint)
	// ClaimTrial asks for permission to send what is on trial once; it is granted to one node only.
	ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool
	// ReportRefusal reports that a request was refused because it, or one of its parts, is barred.
	ReportRefusal(fingerprint poison.Fingerprint)
}

// Crash is a server that crashed while it ran a request.
type Crash struct {
	Request poison.Fingerprint
	// Parts are the shared parts of its prompt that may have caused the crash.
	Parts    []poison.Fingerprint
	ServerID string
	// RanFor is how long the server had been running the request.
	RanFor time.Duration
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

// maxSharedParts bounds the parts of one prompt that are watched: a caller may name any number.
const maxSharedParts = 64

// sharedParts are the fingerprints of the prompt parts that other requests may have, too: all but the
// last, which belongs to the request or its session. They are computed once.
func (x *exchange) sharedParts() []poison.Fingerprint {
	if x.cachedParts == nil && len(x.head.PromptParts) > 1 {
		for _, part := range x.head.PromptParts[:min(len(x.head.PromptParts)-1, maxSharedParts)] {
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

// poisonStatus is the current status of the request itself.
func (x *exchange) poisonStatus() poison.Status {
	suspects := x.handler.options.Suspects
	if suspects == nil || !suspects.Any() {
		return poison.StatusClear
	}
	return suspects.Status(x.fingerprint())
}

// suspicion is what is known of a request and the shared parts of its prompt.
type suspicion struct {
	isBarred bool
	// onTrial is what is on trial: the request or one of the parts.
	onTrial *poison.Fingerprint
	// causes are those that bar it, or are on trial.
	causes []poison.Fingerprint
}

// suspicion returns what is known of the request. A request with two causes on trial tells nothing about
// either, so it is barred. One for which this node holds a claimed trial is judged by the others.
func (x *exchange) suspicion() (found suspicion) {
	suspects := x.handler.options.Suspects
	if suspects == nil || !suspects.Any() {
		return found
	}
	for _, subject := range append([]poison.Fingerprint{x.fingerprint()}, x.sharedParts()...) {
		if x.isTrial && subject == x.trialOf {
			continue
		}
		switch suspects.Status(subject) {
		case poison.StatusBarred:
			found.isBarred = true
			found.causes = append(found.causes, subject)
		case poison.StatusOnTrial:
			found.isBarred = found.isBarred || found.onTrial != nil || x.isTrial
			found.onTrial = &subject
			found.causes = append(found.causes, subject)
		}
	}
	return found
}

// isBarred reports whether the request, or a part of its prompt, crashed too many servers. A trial that
// this node has claimed is sent regardless.
func (x *exchange) isBarred() bool { return x.suspicion().isBarred }

// claimTrialIfDue claims the trial of a request on trial for the send that follows.
func (x *exchange) claimTrialIfDue() bool {
	found := x.suspicion()
	switch {
	case found.isBarred:
		return false
	case found.onTrial == nil:
		return true
	}
	x.isTrial = x.handler.options.Suspects.ClaimTrial(x.ctx, *found.onTrial)
	x.trialOf = *found.onTrial
	return x.isTrial
}

// refuseBarred gives a barred request its final response, without a Retry-After.
func (x *exchange) refuseBarred() {
	x.handler.Metrics.BarredRefused.Add(1)
	for _, cause := range x.suspicion().causes {
		x.handler.options.Suspects.ReportRefusal(cause)
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
	if x.handler.isEnded() {
		x.endAttempt(choice, dispatch.OutcomeAbandoned)
		return
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
	if suspects == nil || !x.endedUnexpectedly(choice) {
		return
	}
	crash := Crash{Request: x.fingerprint(), ServerID: choice.ServerID, RanFor: choice.Attempt.Age(clock.Now())}
	if !x.ranWell() {
		crash.Parts = x.sharedParts()
	}
	if x.serverLiveness != backendconn.LivenessEnded {
		go x.handler.reportIfEnding(choice, x.service, crash)
	} else if x.reachesOthers(choice.ServerID) {
		suspects.ReportCrash(crash)
	}
}

// reportIfEnding reports the crash of a server that has closed its connection and then accepted another one, or
// did not answer, if it turns out to have ended: the kernel may close the listening socket of a process last. The request
// does not wait for that.
func (h *Handler) reportIfEnding(choice dispatch.Choice, service string, crash Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), backendconn.LateProbeWait)
	defer cancel()
	if h.options.Pool.ProbeAfterClose(ctx, choice.Address) != backendconn.LivenessEnded {
		return
	}
	h.options.Dispatch.Do(func(core *dispatch.Core) { core.MarkUnreachable(clock.Now(), choice.ServerID) })
	if h.options.Reachability == nil || h.options.Reachability.ReachesOthers(service, choice.ServerID) {
		h.options.Logger.Info().Str("server", choice.ServerID).Str("fingerprint", crash.Request.String()).Msg("server_ended_late")
		h.options.Suspects.ReportCrash(crash)
	}
}

// A server that writes a response for provenRunTime, and provenEvents of it, proves the parts of the prompt
// harmless: one that crashes servers does so as they begin to write. The time alone proves nothing of a
// slow server, which may still be about to write the next of its first events.
const (
	provenRunTime = 200 * time.Millisecond
	provenEvents  = 8
)

// ranWell reports whether the current attempt proves the parts of the prompt harmless.
func (x *exchange) ranWell() bool {
	return x.writtenEvents >= provenEvents && clock.Since(x.writingSince) >= provenRunTime
}

// recordProgress records that the server of the current attempt writes, and reports once that the parts
// of the prompt run well.
func (x *exchange) recordProgress(events int) {
	x.writtenEvents += events
	switch {
	case x.writingSince.IsZero():
		x.writingSince = clock.Now()
	case !x.reportedProgress && x.ranWell():
		x.reportedProgress = true
		if suspects := x.handler.options.Suspects; suspects != nil {
			suspects.ReportSuccess(nil, x.sharedParts())
		}
	}
}

// endedUnexpectedly reports whether the server ended without having announced it.
func (x *exchange) endedUnexpectedly(choice dispatch.Choice) (unexpected bool) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { unexpected = core.EndedUnexpectedly(choice.Attempt) })
	return unexpected
}

// reportSuccess reports that the request completed, which clears it, all requests with the same
// fingerprint and the parts of its prompt of suspicion.
func (x *exchange) reportSuccess() {
	if suspects := x.handler.options.Suspects; suspects != nil {
		request := x.fingerprint()
		suspects.ReportSuccess(&request, x.sharedParts())
	}
}
