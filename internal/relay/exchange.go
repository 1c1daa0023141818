package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// exchange is one caller's request from arrival to its final answer.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	ctx     context.Context
	table   *routetable.Table
	route   *routetable.Route
	service string
	// tenant owns the caller's key; nil where none is needed.
	tenant *routetable.Tenant
	// counted is what was counted for it against the tenant's quota.
	counted  float64
	engine   bool
	head     Head
	body     []byte
	header   http.Header
	deadline time.Time
	returned bool

	// sent are the servers that the request was sent to.
	sent []string
	// failed are servers that are not asked again.
	failed []string
	// ran is set once the request may have run.
	ran bool
	// headSent is set once the answer's head went to the caller.
	headSent bool
	// lastEvent is the last whole event that the caller got.
	lastEvent string
	events    int
	pace      pace
	waited    time.Duration
	// waitsSince is when the choice of a server began that is under way.
	waitsSince time.Time
	serverID   string
	// watch follows when what the request waits for is expected.
	watch waiting.OverdueTracker
	// estimate is the time to the first byte that was expected of the server.
	estimate time.Duration
	// hint is what the last answer told of its server, and sentAt when its request left.
	hint   inventory.Hint
	sentAt time.Time
	// serverEnd is what became of the server whose answer broke off.
	serverEnd backendconn.Liveness
	// isTrial is set from the claim of a trial until its one send is over.
	isTrial bool
	// asked is what it was last counted as demand for.
	asked dispatch.Requirements
	// allowed are the regions in which it may run, by the table allowedBy.
	allowed   locality.Regions
	allowedBy *routetable.Table
	// identity is the request's fingerprint once it was needed.
	identity *poison.Fingerprint
}

func (x *exchange) serve() {
	x.handler.awaitKnowledge(x.request.Context())
	x.table = x.handler.table.Load()
	if x.table == nil || !x.handler.knows() {
		x.refuse(reasonNoConfiguration, configurationWait)
		return
	}
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), clock.Until(x.deadline))
	defer cancel()
	x.ctx = ctx
	if !x.hasPlace() || !x.withinQuota() {
		return
	}
	x.handler.countRequest(x.service)
	x.run()
}

// admit reads the request and finds its route. It answers those that go no
// further.
func (x *exchange) admit() bool {
	head, err := x.handler.options.Dialect.ReadHead(x.request.Header)
	if err != nil {
		x.deny(http.StatusBadRequest, err.Error())
		return false
	}
	x.head = head
	route, ok := x.table.Match(x.request.Host, x.request.URL.Path)
	if !ok {
		x.deny(http.StatusNotFound, "no route")
		return false
	}
	x.route = route
	if !x.authenticate() {
		return false
	}
	x.service = x.handler.part(route)
	x.engine = x.table.Services[x.service].Engine != nil
	if !x.readBody() {
		return false
	}
	x.setDeadline()
	x.header = forwarded(x.request.Header, x.handler.options.Dialect.IsEndToEnd)
	x.handler.options.Dialect.DropReserved(x.header)
	return true
}

// defaultDeadline is how long a request is held where neither the caller nor
// the route gives a bound.
const defaultDeadline = 30 * time.Second

func (x *exchange) setDeadline() {
	held := defaultDeadline
	if x.head.Deadline > 0 {
		held = x.head.Deadline
		x.returned = x.handler.hasReturned(x.route, held)
	}
	if x.route.Timeout > 0 {
		held = min(held, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(held)
}

func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if limit > 0 && x.request.ContentLength > limit {
		x.writer.Header().Set("Connection", "close")
		x.deny(http.StatusRequestEntityTooLarge, "body over the limit")
		return false
	}
	reader := io.Reader(x.request.Body)
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	var err error
	if length := x.request.ContentLength; length >= 0 {
		x.body = make([]byte, length)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
	}
	switch {
	case err != nil:
		x.log("request_unread", 0, err.Error())
		panic(http.ErrAbortHandler)
	case limit > 0 && int64(len(x.body)) > limit:
		x.writer.Header().Set("Connection", "close")
		x.deny(http.StatusRequestEntityTooLarge, "body over the limit")
		return false
	}
	return true
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded is the header without what concerns one connection only. A field that is
// meant for the other end stays, though the sender names it in Connection.
func forwarded(header http.Header, isEndToEnd func(name string) bool) http.Header {
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

// maxSends bounds the sends of one request, repeats at one server included.
const maxSends = 4

// run sends the request until it has a final answer.
func (x *exchange) run() {
	if x.isBarred() {
		x.answerBarred()
		return
	}
	x.countDemand()
	x.lastEvent = x.head.LastEventID
	hasRepeat := false
	for sends := 0; ; sends++ {
		choice, ok := x.pick()
		if !ok {
			return
		}
		// A repeat that was drawn holds until something was sent: a request may be held
		// back at cold servers many times.
		hasRepeat = hasRepeat || sends > 0 && x.mayRepeat()
		if sends > 0 && !hasRepeat {
			x.release(choice, dispatch.OutcomeAbandoned)
			x.handler.Metrics.BudgetEmpty.Add(1)
			x.giveUp("no_budget")
			return
		}
		verdict := x.attempt(choice)
		if verdict == verdictDone {
			return
		}
		if verdict == verdictNotSent {
			sends--
		} else {
			hasRepeat, x.isTrial = false, false
		}
		if sends+1 >= maxSends || len(x.failed) >= maxSends {
			x.giveUp("too_many_sends")
			return
		}
	}
}

func (x *exchange) countDemand() {
	if !x.engine {
		return
	}
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { x.countAsked(core, x.wanted()) })
}

func (x *exchange) wanted() dispatch.Requirements {
	return dispatch.Requirements{Service: x.service, Model: x.head.Model, Adapter: x.head.Adapter, Regions: x.regions()}
}

func (x *exchange) ask() dispatch.Request {
	ask := dispatch.Request{Service: x.service, Exclude: x.failed, Regions: x.regions()}
	if x.engine {
		ask.Model, ask.Adapter = x.head.Model, x.head.Adapter
		ask.Parts = x.head.PromptParts
		ask.PromptTokens = x.head.PromptTokens
	}
	if len(x.sent) >= x.route.MaxAttempts {
		ask.AllowedServers = x.sent
	}
	if x.standing() == poison.StatusSuspect {
		ask.ColocationKey = x.fingerprint().Key()
	}
	return ask
}

// mayRepeat draws a repeat from the budget that all nodes share.
func (x *exchange) mayRepeat() bool {
	if !x.handler.takeRepeat(x.service) {
		return false
	}
	x.handler.Metrics.Retries.Add(1)
	return true
}

func (x *exchange) release(choice dispatch.Choice, outcome dispatch.Outcome) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.End(clock.Now(), choice.Attempt, outcome) })
}

// isRepeatable reports whether the request may be sent again though it may
// have run.
func (x *exchange) isRepeatable() bool {
	return x.route.RetryPolicy == routetable.RetrySafe || x.route.RetryPolicy == routetable.RetryResume
}

func (x *exchange) hasSent(serverID string) bool { return slices.Contains(x.sent, serverID) }

// hasLeft reports whether the caller is gone.
func (x *exchange) hasLeft() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}

// finish notes the final answer.
func (x *exchange) finish(outcome string, status int, reason string) {
	if x.handler.OnFinished != nil {
		x.handler.OnFinished(x.routeKind(), outcome, clock.Since(x.arrived))
	}
	x.log("request_"+outcome, status, reason)
}

// routeKind is the kind of route for metrics, which would grow without bound by
// the routes' names.
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

func (x *exchange) log(event string, status int, reason string) {
	entry := x.handler.options.Logger.Info()
	entry.Str("request", x.head.RequestID).Int("status", status).Str("reason", reason)
	if x.route != nil {
		entry.Str("route", x.route.Name).Str("service", x.service)
		if x.tenant != nil {
			entry.Str("tenant", x.tenant.Name)
		}
		if x.route.LatencyGoal > 0 {
			entry.Int64("goal_ms", x.route.LatencyGoal.Milliseconds())
		}
		if x.route.EventGapGoal > 0 {
			entry.Int64("gap_goal_ms", x.route.EventGapGoal.Milliseconds())
		}
	}
	if x.table != nil {
		entry.Int64("config", x.table.Version)
	}
	if x.head.Model != "" {
		entry.Str("model", x.head.Model).Str("adapter", x.head.Adapter).Int("prompt", x.head.PromptTokens)
	}
	if x.estimate > 0 {
		entry.Str("estimate_ms", milliseconds(x.estimate))
	}
	entry.Str("server", x.serverID).Str("sent", strings.Join(x.sent, ","))
	entry.Str("waited_ms", milliseconds(x.waitedSoFar())).Str("took_ms", milliseconds(clock.Since(x.arrived)))
	if x.pace.first > 0 {
		entry.Str("first_ms", milliseconds(x.pace.first)).Str("pause_ms", milliseconds(x.pace.longestPause))
	}
	if x.allowed.IsBounded() {
		entry.Str("regions", x.allowed.String())
	}
	if x.returned {
		entry.Bool("returned", true)
	}
	if x.hint.Draining {
		entry.Bool("server_leaving", true)
	}
	if x.hint.Backoff > 0 {
		entry.Str("rest_ms", milliseconds(x.hint.Backoff))
	}
	if x.hint.Limit.IsSet() {
		entry.Float64("server_limit", x.hint.Limit.PerSecond)
	}
	if x.serverEnd != "" {
		entry.Str("fingerprint", x.fingerprint().String()).Str("server_end", string(x.serverEnd))
	}
	if event == "request_"+outcomeRefused && x.route != nil {
		var supply dispatch.ServerCounts
		x.handler.options.Dispatch.Do(func(core *dispatch.Core) { supply = core.ServerCounts(clock.Now(), x.service) })
		entry.Int("servers", supply.Known).Int("servers_going", supply.Draining).Int("servers_closed", supply.Evacuated).
			Int("servers_resting", supply.BackingOff).Int("servers_limited", supply.RateLimited)
	}
	entry.Int("events", x.events).Msg(event)
}

// waitedSoFar is how long the request has waited for servers, the choice that is
// under way included.
func (x *exchange) waitedSoFar() time.Duration {
	if x.waitsSince.IsZero() {
		return x.waited
	}
	return x.waited + clock.Since(x.waitsSince)
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}
