package edge

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/relay"
)

// fallbackDelay is how long after its start a node may send to limited servers without a
// coordinator. By then it has received the fleet size, or cannot get it.
const fallbackDelay = 3 * time.Second

// admissions keeps the requests sent by all nodes to cold and to rate-limited servers within
// those servers' capacity. The quota coordinator grants them. It is safe for concurrent use.
type admissions struct {
	node *Node
	mu   sync.Mutex
	// warmUps and limits hold what this node granted as the coordinator, for cold servers and
	// for rate-limited ones. warmUpFallback and limitFallback are its own allowances without a
	// coordinator.
	warmUps, limits               *quota.Coordinator
	warmUpFallback, limitFallback *admission.FallbackAllowance
	// risks counts the sends to brittle servers that this node decided alone, and grantedRisks those
	// that it granted as the coordinator.
	risks, grantedRisks *admission.RejectionLedger
	riskFallback        *admission.FallbackAllowance
	// fleetSizeReceived is true once the store, or a node that knows it, reported the fleet
	// size.
	fleetSizeReceived atomic.Bool
	// Counters for metrics.
	admitted, uncoordinated, limitedAdmitted, returnedGrants, riskHeld atomic.Int64
}

func newAdmissions(node *Node) *admissions {
	return &admissions{
		node:           node,
		warmUps:        quota.NewCoordinator(admission.WarmUpTolerance()),
		limits:         quota.NewCoordinator(admission.RateLimitTolerance()),
		warmUpFallback: admission.NewWarmUpFallback(node.options.PeerAddress),
		limitFallback:  admission.NewRateLimitFallback(node.options.PeerAddress),
		risks:          admission.NewRejectionLedger(),
		grantedRisks:   admission.NewRejectionLedger(),
		riskFallback:   admission.NewRejectionFallback(node.options.PeerAddress),
	}
}

var _ relay.Admission = (*admissions)(nil)

// serverLimits holds the limits on requests to one start of a server, as this node knows them.
type serverLimits struct {
	phase   admission.Phase
	service string
	limit   admission.RateLimit
	// perSecond is the rate limit if isLimited is set.
	perSecond float64
	isLimited bool
}

// needsGrant reports whether a request needs a grant.
func (b serverLimits) needsGrant() bool { return b.phase != admission.Warm || b.isLimited }

// limitsOf returns what this node knows of the start.
func (c *admissions) limitsOf(now time.Time, start inventory.Start) (current serverLimits) {
	c.node.dispatch.Do(func(core *dispatch.Core) {
		current.phase, current.service = core.ColdPhase(now, start.ID)
		current.limit, current.isLimited = core.RateLimit(start)
	})
	current.perSecond, _ = current.limit.PerSecond()
	return current
}

// Admit implements relay.Admission.
func (c *admissions) Admit(ctx context.Context, start inventory.Start, request relay.AdmissionRequest) relay.AdmissionDecision {
	now := clock.Now()
	decision := c.admit(ctx, now, start, c.limitsOf(now, start), request)
	if decision.Granted {
		c.admitRisk(ctx, start, &decision)
	}
	return decision
}

// AdmitInternalCall implements relay.Admission, for orders and questions for reports.
func (c *admissions) AdmitInternalCall(ctx context.Context, start inventory.Start, request relay.AdmissionRequest) relay.AdmissionDecision {
	now := clock.Now()
	current := c.limitsOf(now, start)
	current.phase = admission.Warm
	return c.admit(ctx, now, start, current, request)
}

// internalCall is the admission request of calls that no caller waits for: behind all urgent requests.
var internalCall = relay.AdmissionRequest{Priority: maxLimitPriority}

func (c *admissions) admit(ctx context.Context, now time.Time, start inventory.Start, current serverLimits, request relay.AdmissionRequest) relay.AdmissionDecision {
	if !current.needsGrant() {
		return relay.AdmissionDecision{Granted: true}
	}
	if current.phase != admission.Warm && c.warmUpBound(current.service).MaxRequests() == 0 {
		decision := c.admitWhenWarm(now, start.ID, current.phase)
		if !decision.Granted || !current.isLimited {
			return decision
		}
		current.phase = admission.Warm
	}
	for _, coordinator := range c.node.peers.coordinators(now) {
		// A grant's lifetime counts from its request: preceding calls to unresponsive
		// coordinators may take longer than the grant lasts.
		requestedAt := clock.Now()
		answer := c.node.quotas.ask(ctx, coordinator.Address, grantRequest(requestedAt, start, current, request))
		if answer == nil {
			continue
		}
		c.receiveLimit(start, answer)
		return c.countGranted(current, relay.AdmissionDecision{
			Granted: answer.Kind == peerpb.QuotaCall_GRANTED, ValidUntil: requestedAt.Add(admission.GrantLifetime), GrantedBy: coordinator.Address,
			CoversStartQuestion: current.isLimited && answer.Cost >= callsWithQuestion, RetryAfter: time.Duration(answer.RetryMs) * time.Millisecond,
		})
	}
	return c.countGranted(current, c.admitUncoordinated(start, current))
}

// callsWithQuestion is the cost of a request with the question for its server's start, which a coordinator
// repeats in its answer if it granted both.
const callsWithQuestion = 2

// grantRequest builds the call that asks a coordinator for one request to the start.
func grantRequest(now time.Time, start inventory.Start, current serverLimits, request relay.AdmissionRequest) *peerpb.QuotaCall {
	cost := int64(1)
	if request.WithStartQuestion {
		cost = callsWithQuestion
	}
	return &peerpb.QuotaCall{
		Kind: peerpb.QuotaCall_ASK, Server: start.ID, Born: start.StartedAtMs, Service: current.service, Cost: cost,
		Priority: uint32(max(0, request.Priority)), Ramping: current.phase == admission.Ramp, Warm: current.phase == admission.Warm,
		Limit: encodeLimit(now, current.limit.Latest()), GoingOn: request.IsGoingOn,
	}
}

// receiveLimit applies what a coordinator knows of a server's rate limit.
func (c *admissions) receiveLimit(start inventory.Start, answer *peerpb.QuotaCall) {
	if limit, ok := decodeLimit(clock.Now(), answer.Limit); ok {
		c.node.hints.receivePeerLimit(clock.Now(), start, limit)
	}
}

// admitWhenWarm decides for a server that accepts nothing while cold; no coordinator is needed.
func (c *admissions) admitWhenWarm(now time.Time, serverID string, phase admission.Phase) relay.AdmissionDecision {
	var remaining time.Duration
	c.node.dispatch.Do(func(core *dispatch.Core) { remaining, _ = core.ColdRemaining(now, serverID) })
	return relay.AdmissionDecision{Granted: phase != admission.Cold, RetryAfter: remaining}
}

func (c *admissions) countGranted(current serverLimits, decision relay.AdmissionDecision) relay.AdmissionDecision {
	switch {
	case !decision.Granted:
	case current.phase != admission.Warm:
		c.admitted.Add(1)
	default:
		c.limitedAdmitted.Add(1)
	}
	return decision
}

// ReturnGrant implements relay.Admission: it returns an unused grant of a rate-limited server so
// that others may use it. A grant of a cold server expires before that.
func (c *admissions) ReturnGrant(start inventory.Start, decision relay.AdmissionDecision) {
	current := c.limitsOf(clock.Now(), start)
	if !current.isLimited || !decision.Granted || decision.GrantedBy == "" {
		return
	}
	c.returnedGrants.Add(1)
	call := grantRequest(clock.Now(), start, current, relay.AdmissionRequest{})
	call.Kind, call.Cost, call.Asker = peerpb.QuotaCall_USED, -1, c.node.options.PeerAddress
	if decision.GrantedBy == c.node.options.PeerAddress {
		c.decide(clock.Now(), call)
		return
	}
	c.node.peers.sendQuota(decision.GrantedBy, call)
}

// admitUncoordinated decides when no coordinator responds. Servers in their ramp phase are warm;
// only the burst has to be limited.
func (c *admissions) admitUncoordinated(start inventory.Start, current serverLimits) relay.AdmissionDecision {
	c.uncoordinated.Add(1)
	now := clock.Now()
	decision := relay.AdmissionDecision{ValidUntil: now.Add(admission.GrantLifetime), RetryAfter: unansweredPause}
	if current.phase == admission.Ramp && !current.isLimited {
		decision.Granted = true
		return decision
	}
	if !c.mayUseFallback(now) {
		return decision
	}
	nodes, _ := c.node.quotas.fleetSize(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	decision.Granted = c.takeFallback(now, start, current, nodes)
	return decision
}

// takeFallback draws on the fallback allowance of every limit of the server. c.mu must be held.
func (c *admissions) takeFallback(now time.Time, start inventory.Start, current serverLimits, nodes int) bool {
	limit := admission.RateLimitBound{PerSecond: current.perSecond}
	if current.isLimited && !c.limitFallback.Take(now, accountName(start), limit.MaxRequests(), nodes) {
		return false
	}
	return current.phase != admission.Cold || c.warmUpFallback.Take(now, start.ID, c.warmUpBound(current.service).MaxRequests(), nodes)
}

// mayUseFallback reports whether this node has listened long enough and knows the fleet size.
func (c *admissions) mayUseFallback(now time.Time) bool {
	return c.isSingleNode() || (c.knowsFleetSize(now) && now.Sub(c.node.started) >= fallbackDelay)
}

// isSingleNode reports whether this node is configured without peers.
func (c *admissions) isSingleNode() bool { return len(c.node.options.Tunables.PeerSeeds) == 0 }

// knowsFleetSize reports whether this node knows the fleet size. If a fleet that is split into
// three parts restarts entirely, each part would consider itself the whole fleet, and together
// they would grant three times the allowed rate.
func (c *admissions) knowsFleetSize(now time.Time) bool {
	return c.fleetSizeReceived.Load() || now.Sub(c.node.started) >= fleetSizeLearningPeriod
}

// learnFleetSize records that the store, or a node that knows it, reported the fleet size; 0
// means it did not.
func (c *admissions) learnFleetSize(nodes int) {
	if nodes > 0 {
		c.fleetSizeReceived.Store(true)
	}
}

// maxLimitPriority bounds the priority in calls for rate-limited servers: what is reserved for
// more urgent requests must leave room for one request in a small burst.
const maxLimitPriority = 2

// accountName returns the account name of a start.
func accountName(start inventory.Start) string {
	return start.ID + "/" + strconv.FormatInt(start.StartedAtMs, 10)
}

// decide answers a call as the coordinator, or takes back an unused grant. The newer of the rate
// limits known to the caller and to this node applies.
func (c *admissions) decide(now time.Time, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	answer := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_UNKNOWN, Id: call.Id, Server: call.Server}
	if !c.mayCoordinate(now) || !c.node.quotas.isCoordinator(now) {
		return answer
	}
	_, reach := c.node.quotas.fleetSize(now)
	if reach < quota.MinReach {
		return answer
	}
	start := inventory.Start{ID: call.Server, StartedAtMs: call.Born}
	if call.Brittle > 0 {
		return c.decideRisk(now, call, start, answer)
	}
	if limit, ok := decodeLimit(now, call.Limit); ok {
		c.node.hints.receivePeerLimit(now, start, limit)
	}
	current := c.limitsOf(now, start)
	answer.Limit = encodeLimit(now, current.limit.Latest())
	if call.Kind == peerpb.QuotaCall_USED {
		c.refund(now, start, current, reach)
		return answer
	}
	decision := c.decideLimits(now, call, start, current, reach)
	answer.Kind, answer.RetryMs = peerpb.QuotaCall_REFUSED, uint32(min(decision.RetryAfter, maxWireAge).Milliseconds())
	if decision.Granted {
		answer.Kind, answer.Cost = peerpb.QuotaCall_GRANTED, grantedCalls(call)
	}
	return answer
}

// grantedCalls is how many calls a grant covers.
func grantedCalls(call *peerpb.QuotaCall) int64 { return min(max(1, call.Cost), callsWithQuestion) }

// decideLimits checks every limit of the server; a request needs a grant from each. The question for the
// server's start counts for its rate limit alone, since cold servers accept it.
func (c *admissions) decideLimits(now time.Time, call *peerpb.QuotaCall, start inventory.Start, current serverLimits, reach float64) quota.Decision {
	limit := admission.RateLimitBound{PerSecond: current.perSecond}.Quota()
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := quota.Decision{Granted: true}
	if current.isLimited {
		acquire := c.limits.Acquire
		if call.GoingOn {
			acquire = c.limits.AcquireAhead
		}
		decision = acquire(now, accountName(start), limit, reach, float64(grantedCalls(call)), min(int(call.Priority), maxLimitPriority))
	}
	if !decision.Granted || call.Warm {
		return decision
	}
	bound := c.warmUpBound(call.Service)
	allowance := bound.Quota()
	if call.Ramping && current.phase != admission.Cold {
		allowance = bound.RampQuota()
	}
	decision = c.warmUps.Acquire(now, call.Server, allowance, reach, 1, int(call.Priority))
	decision.Granted = decision.Granted && allowance.PerSecond > 0
	if !decision.Granted && current.isLimited {
		for range grantedCalls(call) {
			c.limits.Refund(now, accountName(start), limit, reach)
		}
	}
	return decision
}

// refund takes back a grant that was not used.
func (c *admissions) refund(now time.Time, start inventory.Start, current serverLimits, reach float64) {
	if !current.isLimited {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.Refund(now, accountName(start), admission.RateLimitBound{PerSecond: current.perSecond}.Quota(), reach)
}

// mayCoordinate reports whether this node has listened long enough to know which nodes precede
// it, and knows the fleet size.
func (c *admissions) mayCoordinate(now time.Time) bool {
	return c.isSingleNode() || (c.knowsFleetSize(now) && now.Sub(c.node.started) >= coordinatorDelay)
}

// warmUpBound returns the bound for cold servers of the service. An unknown service has no
// capacity.
func (c *admissions) warmUpBound(service string) admission.WarmUpBound {
	bound := admission.WarmUpBound{Overage: c.node.options.ColdOverage, Slack: c.node.options.ColdSlack}
	if table := c.node.handler.Table(); table != nil {
		bound.PerSecond = table.Services[service].ColdStart.PerSecond
	}
	return bound
}

// withColdState fills in the remaining cold time of each server as known now.
func (c *admissions) withColdState(now time.Time, servers []inventory.Server) []inventory.Server {
	c.node.dispatch.Do(func(core *dispatch.Core) {
		for i := range servers {
			servers[i].ColdRemaining, servers[i].ReportsCold = core.ColdRemaining(now, servers[i].ID)
		}
	})
	return servers
}

// decodeColdRemaining decodes a server's remaining cold time as sent by a peer; false means that
// the peer does not know it.
func decodeColdRemaining(encoded uint32) (remaining time.Duration, reported bool) {
	if encoded == 0 {
		return 0, false
	}
	return min(time.Duration(encoded-1)*time.Millisecond, admission.MaxColdTime), true
}

func encodeColdRemaining(remaining time.Duration, reported bool) uint32 {
	if !reported {
		return 0
	}
	return 1 + uint32(min(max(0, remaining), admission.MaxColdTime).Milliseconds())
}

// observe is called in each period. It lets the coordinator notice when it was suspended, and
// logs servers that turned cold or warm.
func (c *admissions) observe(now time.Time) {
	isCoordinator := c.node.quotas.isCoordinator(now)
	c.mu.Lock()
	c.warmUps.Observe(now)
	c.limits.Observe(now)
	c.grantedRisks.Observe(now, isCoordinator)
	c.mu.Unlock()
	var changes []dispatch.ColdChange
	c.node.dispatch.Do(func(core *dispatch.Core) { changes = core.ColdChanges(now) })
	for _, change := range changes {
		event := "server_warm"
		if change.IsCold {
			event = "server_cold"
		}
		c.node.options.Logger.Info().Str("server", change.ServerID).Str("zone", change.Zone).Str("by", string(change.Source)).
			Int64("left_ms", change.Remaining.Milliseconds()).Msg(event)
	}
}

// sweep drops obsolete state: the accounts of removed servers and, if another node coordinates,
// what this one granted before.
func (c *admissions) sweep(now time.Time) {
	isCoordinator := c.node.quotas.isCoordinator(now)
	c.node.dispatch.Do(func(core *dispatch.Core) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.warmUpFallback.Prune(now)
		c.limitFallback.Prune(now)
		c.riskFallback.Prune(now)
		c.risks.Prune(now)
		c.grantedRisks.Prune(now)
		if isCoordinator {
			c.warmUps.Prune(core.HasEntry)
			c.limits.Prune(func(account string) bool { return core.HasEntry(account[:strings.LastIndexByte(account, '/')]) })
		} else {
			c.warmUps.Forget()
			c.limits.Forget()
		}
	})
}
