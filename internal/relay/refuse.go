package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Reasons of refusals, as the answer and the log say them.
const (
	reasonNoConfiguration = "no_configuration"
	reasonNoServer        = "no_server"
	reasonTooLate         = "too_late"
	reasonColdServers     = "cold_servers"
	reasonRateLimited     = "rate_limited"
	reasonQueueFull       = "queue_full"
	reasonRejected        = "rejected_by_server"
	reasonDeadline        = "deadline"
	reasonStops           = "node_stops"
	reasonEvacuated       = "zones_evacuated"
)

// configurationWait is when a caller should come back to a node that has no
// configuration yet.
const configurationWait = time.Second

// refuse answers a request that has not run and never will. An answer that has
// begun cannot become a refusal any more: it is cut.
func (x *exchange) refuse(reason string, back time.Duration) {
	x.writer.Header().Set("Retry-After", retryAfter(back))
	x.refuseForGood(reason)
}

// refuseForGood answers a request that has not run and never will, and that nothing is
// known of when it would be served.
func (x *exchange) refuseForGood(reason string) {
	if x.headSent {
		x.cut(reason)
	}
	x.giveBack()
	x.answer(http.StatusServiceUnavailable, "not-run", reason)
	x.finish(outcomeRefused, http.StatusServiceUnavailable, reason)
}

// deny answers a request that no configuration allows, or that is malformed.
func (x *exchange) deny(status int, reason string) {
	x.answer(status, "not-run", reason)
	x.finish(outcomeDenied, status, reason)
}

// fail answers a request that may have run.
func (x *exchange) fail(status int, reason string) {
	if x.headSent {
		x.cut(reason)
	}
	x.answer(status, "unknown", reason)
	x.finish(outcomeFailed, status, reason)
}

// cut breaks off an answer that cannot be made whole, so that it does not look
// complete.
func (x *exchange) cut(reason string) {
	x.finish(outcomeCut, 0, reason)
	panic(http.ErrAbortHandler)
}

// leave ends a request whose caller is gone.
func (x *exchange) leave() {
	x.finish(outcomeLeft, 0, "caller_left")
	panic(http.ErrAbortHandler)
}

// giveUp gives the final answer of a request that goes to no further server.
func (x *exchange) giveUp(reason string) {
	switch {
	case x.hasLeft():
		x.leave()
	case x.headSent:
		x.cut(reason)
	case x.ran && !clock.Now().Before(x.deadline.Add(-waiting.ResponseMargin)):
		x.fail(http.StatusGatewayTimeout, reason)
	case x.ran:
		x.fail(http.StatusBadGateway, reason)
	default:
		x.refuse(reason, x.comeBackRested())
	}
}

func (x *exchange) answer(status int, outcome, reason string) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	body := `{"status":` + strconv.Itoa(status) + `,"outcome":"` + outcome + `","title":` + strconv.Quote(reason) + `}`
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write([]byte(body))
}
