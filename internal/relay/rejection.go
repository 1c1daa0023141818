package relay

import (
	"net/http"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// rejectionEvidence says how it is known that a server did not run a request, in logs; empty if it is not.
type rejectionEvidence string

const (
	// evidenceMarked: the response is marked as that to a request that did not run.
	evidenceMarked rejectionEvidence = "marked"
	// evidenceOtherServer: another server has the address, and did not take a request for the chosen one.
	evidenceOtherServer rejectionEvidence = "other_server"
	// evidenceStatusOnly: nothing but the status says so.
	evidenceStatusOnly rejectionEvidence = "status_only"
)

// findRejectionEvidence returns how the response to a send shows that the request did not run.
func findRejectionEvidence(serverID string, status int, head ResponseHead) rejectionEvidence {
	switch {
	case head.IsMarkedNotRun:
		return evidenceMarked
	case status != http.StatusMisdirectedRequest:
		return ""
	case head.ServerID != "" && head.ServerID != serverID:
		return evidenceOtherServer
	default:
		return evidenceStatusOnly
	}
}

// isProof reports whether a caller may be told that its request has not run.
func (e rejectionEvidence) isProof() bool { return e == evidenceMarked || e == evidenceOtherServer }

// ProvesNotRun reports whether a response with this head and status proves that the server with that ID did
// not carry out what was sent to it.
func (h ResponseHead) ProvesNotRun(serverID string, status int) bool {
	return findRejectionEvidence(serverID, status, h).isProof()
}

// promisesNotRun reports whether the status tells a caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// reasonUnprovenRefusal is that of requests whose server refused them without a proof that they did not run.
const reasonUnprovenRefusal = "unproven_refusal"

// handleUnprovenRefusal handles a response whose status promises that the request did not run, although
// nothing proves it. Passed on, it would be this node's promise: the request goes to another server where it
// may be repeated, or fails.
func (x *exchange) handleUnprovenRefusal(choice dispatch.Choice, response *backendconn.Response) attemptResult {
	x.handler.Metrics.UnprovenRefusals.Add(1)
	response.Drain()
	x.log("request_refused_unproven", response.Status, choice.ServerID)
	isRetried := x.canRetryElsewhere()
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		now := clock.Now()
		core.End(now, choice.Attempt, dispatch.OutcomeFailed)
		if x.needsModel && response.Status == http.StatusMisdirectedRequest {
			core.MarkModelAbsent(now, choice.ServerID, x.head.Model, x.head.Adapter)
		}
	})
	x.failedServers = append(x.failedServers, choice.ServerID)
	if isRetried {
		return attemptRetry
	}
	x.giveUp(reasonUnprovenRefusal)
	return attemptDone
}
