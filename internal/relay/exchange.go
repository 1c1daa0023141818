package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/eventstream"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/membudget"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// exchange is one caller's request from arrival to its final response.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	ctx     context.Context
	table   *routetable.Table
	route   *routetable.Route
	service string
	// tenant is the owner of the caller's key; nil where no key is needed.
	tenant *routetable.Tenant
	// chargedCost is the cost charged to the tenant's quota.
	chargedCost float64
	// quotaDecidedBy says who granted the request within its quota, at which cost.
	quotaDecidedBy string
	quotaCost      float64
	// needsModel is set where the servers of the service run models.
	needsModel bool
	head       Head
	// memory is what the request holds of Options.Memory; nil where that is nil, or before its body is read.
	memory *membudget.Reservation
	body   []byte
	// isBodyRead is set once the whole body was read.
	isBodyRead bool
	header     http.Header
	deadline   time.Time
	// isRetry is set where the caller was probably refused before and has come back.
	isRetry bool

	// sentTo are the servers that the request was sent to.
	sentTo []string
	// sends is how often the request was written to a server, those included that turned out not to have left.
	sends int
	// isResend is set while the request is sent again, which takes a retry from the budget, and holdsRetry
	// from then until it was sent.
	isResend   bool
	holdsRetry bool
	// failedServers are not chosen again for this request.
	failedServers []string
	// unreached counts the servers to which no connection came up.
	unreached int
	// forwarded is what the peer has done that forwards the request; nil for requests of own callers.
	forwarded *forwardedState
	// peer is the address of the node that the request was last forwarded to, and forwardAgainAt when
	// it may be offered to peers again.
	peer           string
	forwardAgainAt time.Time
	// wasForwarded is set once a peer may have sent the request to a server.
	wasForwarded bool
	// isCounted is set once the request was counted for the retry budget.
	isCounted bool
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// headSent is set once response headers went to the caller.
	headSent bool
	// lastEventID is the ID of the last whole event that the caller got.
	lastEventID string
	eventCount  int
	// order decides which events may follow those that the caller has.
	order eventstream.Order
	// joint is where the last response went on with the stream.
	joint joint
	// framing is that of the last response, and ending how its body ended; "" before.
	framing backendconn.Framing
	ending  bodyEnding
	// isEndGuarded is set while the connection is reset if the response ends now.
	isEndGuarded bool
	// onFirstEvent is called after the first event of the response was passed on; nil for forwarded ones.
	onFirstEvent func()
	timing       eventTiming
	// waitedBefore is the time spent waiting for servers in earlier choices.
	waitedBefore time.Duration
	// waitingSince is when the choice of a server that is in progress began; zero between choices.
	waitingSince time.Time
	serverID     string
	// localPort is the local port of the connection that the current attempt was sent on; "" before.
	localPort string
	// softwareVersion is the version of the last chosen server's software.
	softwareVersion string
	// origin is where the stream began, and originSource who told; nil before its first event.
	origin       *origins.Origin
	originSource originSource
	// originServer is the start of the server that the first event was asked from, and originSentAt
	// when; zero if that is not known.
	originServer inventory.Start
	originSentAt time.Time
	// heardVersions is the number of the service's software versions that the nodes know which were asked where the
	// stream began; 0 if none was asked.
	heardVersions int
	// isOriginConfirmed is set once that server said, after its first event, that it is still that start.
	isOriginConfirmed atomic.Bool
	// isOriginOpen is set until it is known whether the start that was recorded for the stream began it.
	isOriginOpen bool
	// originCheck is what became of the question for the start that began the stream; "" if none was asked.
	originCheck StartOutcome
	// asksStart is set if the server of the current attempt has to be asked for its start, and
	// connOpenedAt is when the connection of the attempt was open.
	asksStart    bool
	connOpenedAt time.Time
	// rejectedBy says how it is known that the last server to respond did not run the request.
	rejectedBy rejectionEvidence
	// risk is the current attempt's send, where its server may have to reject it; nil if that need not be known.
	risk *sendRisk
	// startQuestion is the grant of the question for the start of the current attempt's server, until it
	// is asked.
	startQuestion AdmissionDecision
	// isResumption is set where the caller resumes a stream of an earlier attempt.
	isResumption bool
	// overdue follows the announced readiness that the request waits for, and notices when it is overdue.
	overdue waiting.OverdueTracker
	// estimate is the expected time to the first byte from the chosen server.
	estimate time.Duration
	// hint is what the last response announced about its server, and sentAt when the request left.
	hint   inventory.Hint
	sentAt time.Time
	// serverLiveness is the result of probing the server whose response broke off.
	serverLiveness backendconn.Liveness
	// isTrial is set from claiming a trial until its one send is over, and trialOf what it is a trial of.
	isTrial bool
	trialOf poison.Fingerprint
	// writingSince is when the server of the current attempt wrote its first event, zero before, and
	// writtenEvents how many it wrote.
	// reportedProgress is set once the parts of the prompt were reported to run well.
	writingSince     time.Time
	writtenEvents    int
	reportedProgress bool
	// countedDemand is what the request was last counted as demand for.
	countedDemand dispatch.Requirements
	// allowedRegions are the regions in which the request may run, according to regionsTable.
	allowedRegions locality.Regions
	regionsTable   *routetable.Table
	// cachedFingerprint is the request's fingerprint, computed on first use.
	cachedFingerprint *poison.Fingerprint
	// cachedParts are the fingerprints of the shared parts of its prompt.
	cachedParts []poison.Fingerprint
}

// serve handles the request to its end.
func (x *exchange) serve() {
	defer x.releaseMemory()
	if x.handler.isClosed.Load() {
		x.refuse(reasonNodeStopping, nodeStoppingRetryDelay)
		return
	}
	x.handler.awaitReady(x.request.Context())
	x.table = x.handler.table.Load()
	if x.table == nil || !x.handler.isReady() {
		x.refuse(reasonNoConfiguration, configurationRetryDelay)
		return
	}
	// The body may have come long after the header.
	if !x.prepare() || x.refuseIfStopping() {
		return
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), clock.Until(x.deadline))
	defer cancel()
	defer x.endAtStop(cancel)()
	x.ctx = ctx
	if !x.checkRegions() || !x.resolveOrigin() || !x.takeQuota() {
		return
	}
	if x.shouldForward() && x.forward() || !x.settleOrigin() {
		return
	}
	x.countRequest()
	x.sendUntilDone()
}

// prepare reads the request, authenticates the caller and finds the route. It responds to requests that
// are denied.
func (x *exchange) prepare() bool {
	head, err := x.handler.options.Dialect.ReadHead(x.request.Header)
	if err != nil {
		x.deny(http.StatusBadRequest, err.Error())
		return false
	}
	x.head, x.lastEventID = head, head.LastEventID
	route, ok := x.table.Match(x.request.Host, x.request.URL.Path)
	if !ok {
		x.deny(http.StatusNotFound, "no route")
		return false
	}
	x.route = route
	if !x.authenticate() {
		return false
	}
	x.setService(x.chooseService(route))
	if !x.readBody() {
		return false
	}
	x.setDeadline()
	x.header = endToEndHeader(x.request.Header, x.handler.options.Dialect.IsEndToEnd)
	x.handler.options.Dialect.DropReserved(x.header)
	return true
}

// setService sets the service that serves the request.
func (x *exchange) setService(service string) {
	x.service = service
	x.needsModel = x.table.Services[service].Engine != nil
}

// defaultTimeout is how long a request may take where neither the caller nor the route sets a limit.
const defaultTimeout = 30 * time.Second

// setDeadline sets the deadline from the caller's header and the route's timeout.
func (x *exchange) setDeadline() {
	elapsed, timeout := time.Duration(0), defaultTimeout
	if x.forwarded != nil {
		elapsed = x.forwarded.Elapsed
	}
	if x.head.Deadline > 0 {
		timeout = elapsed + x.head.Deadline
		x.isRetry = x.handler.isLikelyRetry(x.route, timeout) || x.forwarded != nil && x.forwarded.IsRetry
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
}

// connectionHeaders concern one connection only and are not forwarded (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeader is the header without hop-by-hop fields. End-to-end fields of the dialect stay even if
// the sender lists them in Connection.
func endToEndHeader(header http.Header, isEndToEnd func(name string) bool) http.Header {
	kept := header.Clone()
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !isEndToEnd(name) {
				delete(kept, name)
			}
		}
	}
	for _, name := range connectionHeaders {
		kept.Del(name)
	}
	return kept
}

// maxSends bounds the sends of one request, retries at the same server included.
const maxSends = 4

// sendUntilDone sends the request until it has a final response.
func (x *exchange) sendUntilDone() {
	if x.isBarred() {
		x.refuseBarred()
		return
	}
	x.countDemand()
	for sends := 0; ; sends++ {
		choice, ok := x.chooseServer()
		if !ok {
			return
		}
		x.isResend = sends > 0 || x.wasForwarded
		if x.isResend && !x.hasRetryLeft() {
			x.endAttempt(choice, dispatch.OutcomeAbandoned)
			x.refuseWithoutRetry()
			return
		}
		result := x.attempt(choice)
		if result == attemptDone {
			return
		}
		if result == attemptNotSent {
			sends--
		} else {
			x.isTrial = false
		}
		if sends+1 >= maxSends || len(x.failedServers) >= maxSends {
			x.giveUp("too_many_sends")
			return
		}
	}
}

// chooseServer waits for a server, or has a peer take the request where this node reaches none. Where
// ok is false the final response was given.
func (x *exchange) chooseServer() (choice dispatch.Choice, ok bool) {
	for {
		choice, result := x.waitForServer()
		if result != waitUnreachable {
			return choice, result == waitChosen
		}
		if x.forward() {
			return choice, false
		}
	}
}

// countDemand counts the request as demand for its model.
func (x *exchange) countDemand() {
	if !x.needsModel {
		return
	}
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { x.countDemandFor(core, x.requirements()) })
}

// requirements are what a server must have to take the request.
func (x *exchange) requirements() dispatch.Requirements {
	return dispatch.Requirements{Service: x.service, Model: x.head.Model, Adapter: x.head.Adapter, Regions: x.currentRegions(), SoftwareVersion: x.requiredVersion()}
}

// dispatchRequest describes the request to the dispatcher. Copies of a suspect request get the same
// ColocationKey, so that they run on the same server.
func (x *exchange) dispatchRequest() dispatch.Request {
	request := dispatch.Request{Service: x.service, Exclude: x.failedServers, Regions: x.currentRegions(), SoftwareVersion: x.requiredVersion()}
	request.BeginsStream = x.route.RetryPolicy == routetable.RetryResume && !x.isGoingOn()
	if x.needsModel {
		request.Model, request.Adapter = x.head.Model, x.head.Adapter
		request.Parts = x.head.PromptParts
		request.PromptTokens = x.head.PromptTokens
	}
	if len(x.sentTo) >= x.maxServers() {
		request.AllowedServers = x.sentTo
	}
	if x.poisonStatus() == poison.StatusSuspect {
		request.ColocationKey = x.fingerprint().Key()
	}
	return request
}

// endAttempt tells the dispatcher how the attempt ended.
func (x *exchange) endAttempt(choice dispatch.Choice, outcome dispatch.Outcome) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.End(clock.Now(), choice.Attempt, outcome) })
}

// isRetryable reports whether the request may be sent again although it may have run.
func (x *exchange) isRetryable() bool {
	return x.route.RetryPolicy == routetable.RetrySafe || x.route.RetryPolicy == routetable.RetryResume
}

// wasSentTo reports whether the request was sent to the server.
func (x *exchange) wasSentTo(serverID string) bool { return slices.Contains(x.sentTo, serverID) }

// callerGone reports whether the caller closed its connection.
func (x *exchange) callerGone() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}

// finish logs and reports the final response.
func (x *exchange) finish(outcome string, status int, reason string) {
	x.endOrigin()
	if outcome == outcomeAnswered && x.sends > 0 {
		x.handler.durations.record(x.route.Name, clock.Since(x.sentAt))
	}
	if x.handler.OnFinished != nil {
		x.handler.OnFinished(x.routeKind(), outcome, clock.Since(x.arrived))
	}
	x.log("request_"+outcome, status, reason)
}

// routeKind labels metrics with the kind of the route: route names would give them an unbounded number
// of series.
func (x *exchange) routeKind() string {
	switch {
	case x.route == nil:
		return "none"
	case x.route.Stream:
		return "stream"
	case x.route.RetryPolicy == routetable.RetrySafe:
		return "safe"
	default:
		return "unsafe"
	}
}
