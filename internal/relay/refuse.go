package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Reasons of refusals, as the response and the log name them.
const (
	reasonNoConfiguration = "no_configuration"
	reasonNoServer        = "no_server"
	reasonTooLate         = "too_late"
	reasonColdServers     = "cold_servers"
	reasonRateLimited     = "rate_limited"
	reasonQueueFull       = "queue_full"
	reasonRejected        = "rejected_by_server"
	reasonDeadline        = "deadline"
	reasonNodeStopping    = "node_stops"
	reasonEvacuated       = "zones_evacuated"
)

// Whether a request ran, as the body of a refusal or failure says it.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// configurationRetryDelay is the Retry-After of a node that has no configuration yet.
const configurationRetryDelay = time.Second

// nodeStoppingRetryDelay is the Retry-After of a node that ends: other nodes serve at once.
const nodeStoppingRetryDelay = 100 * time.Millisecond

// refuse responds to a request that did not run and will not. One that may have run fails instead.
func (x *exchange) refuse(reason string, delay time.Duration) {
	x.refuseWith(http.StatusServiceUnavailable, reason, func(header http.Header) {
		header.Set("Retry-After", formatRetryAfter(delay))
	})
}

// refusePermanently refuses a request without saying when a retry might succeed.
func (x *exchange) refusePermanently(reason string) {
	x.refuseWith(http.StatusServiceUnavailable, reason, func(http.Header) {})
}

// refuseWith is the one place that promises a caller that its request has not run, with a status of
// promisesNotRun.
func (x *exchange) refuseWith(status int, reason string, setHeader func(header http.Header)) {
	if x.callerGone() || x.headSent || x.mayHaveRun {
		x.giveUp(reason)
		return
	}
	x.refundQuota()
	setHeader(x.writer.Header())
	x.writeProblem(status, outcomeNotRun, reason)
	x.finish(outcomeRefused, status, reason)
}

// deny responds to a malformed request, or one that the configuration does not allow.
func (x *exchange) deny(status int, reason string) {
	x.writeProblem(status, outcomeNotRun, reason)
	x.finish(outcomeDenied, status, reason)
}

// fail responds to a request that may have run.
func (x *exchange) fail(status int, reason string) {
	if x.headSent {
		x.truncate(reason)
	}
	x.writeProblem(status, outcomeUnknown, reason)
	x.finish(outcomeFailed, status, reason)
}

// truncate breaks off a response that cannot be completed, so that it does not look complete.
func (x *exchange) truncate(reason string) {
	x.finish(outcomeTruncated, 0, reason)
	panic(http.ErrAbortHandler)
}

// endCallerGone ends a request whose caller is gone.
func (x *exchange) endCallerGone() {
	x.finish(outcomeCallerGone, 0, "caller_left")
	panic(http.ErrAbortHandler)
}

// giveUp gives the final response to a request that is sent to no further server.
func (x *exchange) giveUp(reason string) {
	switch {
	case x.callerGone():
		x.endCallerGone()
	case x.headSent:
		x.truncate(reason)
	case x.mayHaveRun && !clock.Now().Before(x.deadline.Add(-waiting.ResponseMargin)):
		x.fail(http.StatusGatewayTimeout, reason)
	case x.mayHaveRun:
		x.fail(http.StatusBadGateway, reason)
	default:
		x.refuse(reason, x.retryDelayAfterBackoff())
	}
}

// writeProblem writes a problem+json response.
func (x *exchange) writeProblem(status int, outcome, reason string) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if x.forwarded != nil && outcome == outcomeNotRun {
		header.Set(notRunHeader, "1")
	}
	if x.forwarded != nil && outcome == outcomeUnknown {
		header.Set(failedHeader, "1")
	}
	x.setServersHeader(header)
	if !x.isBodyRead {
		bounded.LeaveLongBody(x.writer, x.request)
	}
	body := `{"status":` + strconv.Itoa(status) + `,"outcome":"` + outcome + `","title":` + strconv.Quote(reason) + `}`
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write([]byte(body))
}
