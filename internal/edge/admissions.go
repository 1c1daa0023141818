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

// lotsAfter is how long after its start a node may send to bounded servers without a
// coordinator: by then it has heard how large the fleet is, or that it cannot.
const lotsAfter = 3 * time.Second

// admissions keeps what is sent to cold servers, and to those that name a rate limit, below what
// they bear, over all nodes: the coordinator of quotas grants it. It is safe for concurrent use.
type admissions struct {
	node *Node
	mu   sync.Mutex
	// warmUps and limits are what this node granted as the coordinator, of cold servers and of those
	// that name a rate limit, and warmUpLots and limitLots its own part without one.
	warmUps, limits       *quota.Coordinator
	warmUpLots, limitLots *admission.FallbackAllowance
	// isTold is set once this node was told how large the fleet is, by the store or by one
	// that knows.
	isTold atomic.Bool
	// Counters for metrics.
	admitted, alone, limitedAdmitted, givenBack atomic.Int64
}

func newAdmissions(node *Node) *admissions {
	return &admissions{
		node:       node,
		warmUps:    quota.NewCoordinator(admission.WarmUpTolerance()),
		limits:     quota.NewCoordinator(admission.RateLimitTolerance()),
		warmUpLots: admission.NewWarmUpFallback(node.options.PeerAddress),
		limitLots:  admission.NewRateLimitFallback(node.options.PeerAddress),
	}
}

var _ relay.Admission = (*admissions)(nil)

// bounds are what bounds the sends to one start of a server, as a node knows it.
type bounds struct {
	phase   admission.Phase
	service string
	limit   admission.RateLimit
	// perSecond is the rate limit where isLimited is set.
	perSecond float64
	isLimited bool
}

// any reports whether a grant is needed.
func (b bounds) any() bool { return b.phase != admission.Warm || b.isLimited }

// boundsOf is what this node knows of the start.
func (c *admissions) boundsOf(now time.Time, start inventory.Start) (known bounds) {
	c.node.dispatch.Do(func(core *dispatch.Core) {
		known.phase, known.service = core.ColdPhase(now, start.ID)
		known.limit, known.isLimited = core.RateLimit(start)
	})
	known.perSecond, _ = known.limit.PerSecond()
	return known
}

// Admit implements relay.Admission.
func (c *admissions) Admit(ctx context.Context, start inventory.Start, priority int) relay.AdmissionDecision {
	now := clock.Now()
	return c.admit(ctx, now, start, c.boundsOf(now, start), priority)
}

// AdmitInternalCall asks whether a call of the system itself, an order or the question for a report, may go to
// the start. Cold servers take them.
func (c *admissions) AdmitInternalCall(ctx context.Context, start inventory.Start) relay.AdmissionDecision {
	now := clock.Now()
	known := c.boundsOf(now, start)
	known.phase = admission.Warm
	return c.admit(ctx, now, start, known, callPriority)
}

// callPriority is that of the system's own calls: behind all urgent requests.
const callPriority = mostLimitPriority

func (c *admissions) admit(ctx context.Context, now time.Time, start inventory.Start, known bounds, priority int) relay.AdmissionDecision {
	if !known.any() {
		return relay.AdmissionDecision{Granted: true}
	}
	if known.phase != admission.Warm && c.bound(known.service).MaxRequests() == 0 {
		verdict := c.admitWhenWarm(now, start.ID, known.phase)
		if !verdict.Granted || !known.isLimited {
			return verdict
		}
		known.phase = admission.Warm
	}
	for _, coordinator := range c.node.peers.coordinators(now) {
		// A grant counts from its question: those to silent coordinators may take longer
		// than it holds.
		asked := clock.Now()
		answer := c.node.quotas.ask(ctx, coordinator.Address, question(asked, start, known, priority))
		if answer == nil {
			continue
		}
		c.hearAnswer(start, answer)
		return c.counted(known, relay.AdmissionDecision{
			Granted: answer.Kind == peerpb.QuotaCall_GRANTED, ValidUntil: asked.Add(admission.GrantLifetime), GrantedBy: coordinator.Address,
			RetryAfter: time.Duration(answer.RetryMs) * time.Millisecond,
		})
	}
	return c.counted(known, c.admitAlone(start, known))
}

// question asks a coordinator for a request to the start.
func question(now time.Time, start inventory.Start, known bounds, priority int) *peerpb.QuotaCall {
	return &peerpb.QuotaCall{
		Kind: peerpb.QuotaCall_ASK, Server: start.ID, Born: start.StartedAtMs, Service: known.service, Cost: 1,
		Priority: uint32(max(0, priority)), Ramping: known.phase == admission.Ramp, Warm: known.phase == admission.Warm,
		Limit: encodeLimit(now, known.limit.Latest()),
	}
}

// hearAnswer takes what a coordinator knows of a server's rate limit.
func (c *admissions) hearAnswer(start inventory.Start, answer *peerpb.QuotaCall) {
	if limit, ok := decodeLimit(clock.Now(), answer.Limit); ok {
		c.node.hints.receivePeerLimit(clock.Now(), start, limit)
	}
}

// admitWhenWarm decides on a server that takes nothing while it is cold: nobody has to be
// asked.
func (c *admissions) admitWhenWarm(now time.Time, serverID string, phase admission.Phase) relay.AdmissionDecision {
	var left time.Duration
	c.node.dispatch.Do(func(core *dispatch.Core) { left, _ = core.ColdRemaining(now, serverID) })
	return relay.AdmissionDecision{Granted: phase != admission.Cold, RetryAfter: left}
}

func (c *admissions) counted(known bounds, verdict relay.AdmissionDecision) relay.AdmissionDecision {
	switch {
	case !verdict.Granted:
	case known.phase != admission.Warm:
		c.admitted.Add(1)
	default:
		c.limitedAdmitted.Add(1)
	}
	return verdict
}

// ReturnGrant implements relay.Admission: others may use the grant of a limited server. The time of a
// cold one is over before.
func (c *admissions) ReturnGrant(start inventory.Start, verdict relay.AdmissionDecision) {
	known := c.boundsOf(clock.Now(), start)
	if !known.isLimited || !verdict.Granted || verdict.GrantedBy == "" {
		return
	}
	c.givenBack.Add(1)
	call := question(clock.Now(), start, known, 0)
	call.Kind, call.Cost, call.Asker = peerpb.QuotaCall_USED, -1, c.node.options.PeerAddress
	if verdict.GrantedBy == c.node.options.PeerAddress {
		c.decide(clock.Now(), call)
		return
	}
	c.node.peers.sendQuota(verdict.GrantedBy, call)
}

// admitAlone decides where no coordinator answers. Servers in their ramp are warm: only the
// burst is to be kept small.
func (c *admissions) admitAlone(start inventory.Start, known bounds) relay.AdmissionDecision {
	c.alone.Add(1)
	now := clock.Now()
	verdict := relay.AdmissionDecision{ValidUntil: now.Add(admission.GrantLifetime), RetryAfter: unansweredTime}
	if known.phase == admission.Ramp && !known.isLimited {
		verdict.Granted = true
		return verdict
	}
	if !c.mayUseLots(now) {
		return verdict
	}
	nodes, _ := c.node.quotas.fleetSize(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict.Granted = c.takeLots(now, start, known, nodes)
	return verdict
}

// takeLots uses the lots of all that bounds the server. The lock is held.
func (c *admissions) takeLots(now time.Time, start inventory.Start, known bounds, nodes int) bool {
	limit := admission.RateLimitBound{PerSecond: known.perSecond}
	if known.isLimited && !c.limitLots.Take(now, accountOf(start), limit.MaxRequests(), nodes) {
		return false
	}
	return known.phase != admission.Cold || c.warmUpLots.Take(now, start.ID, c.bound(known.service).MaxRequests(), nodes)
}

// mayUseLots reports whether this node has listened long enough, and knows the fleet.
func (c *admissions) mayUseLots(now time.Time) bool {
	return c.isAlone() || (c.knowsFleet(now) && now.Sub(c.node.started) >= lotsAfter)
}

// isAlone reports whether this node is to have no peers.
func (c *admissions) isAlone() bool { return len(c.node.options.Tunables.PeerSeeds) == 0 }

// knowsFleet reports whether this node knows how large the fleet is. Where all nodes of a
// fleet in three parts are killed, each part would take itself for all of it, and grant three
// times what may be.
func (c *admissions) knowsFleet(now time.Time) bool {
	return c.isTold.Load() || now.Sub(c.node.started) >= learnsSize
}

// learnFleet takes that the store, or a node that knows, told how large the fleet is; at
// nought it did not.
func (c *admissions) learnFleet(nodes int) {
	if nodes > 0 {
		c.isTold.Store(true)
	}
}

// mostLimitPriority bounds the rank of questions for limited servers: what is kept back for more
// urgent ones must leave room for a request in a small burst.
const mostLimitPriority = 2

// accountOf names the account of a start.
func accountOf(start inventory.Start) string {
	return start.ID + "/" + strconv.FormatInt(start.StartedAtMs, 10)
}

// decide answers as the coordinator, or takes back what was granted and not used. Of what the asker
// and this node know of the rate limit the newer counts.
func (c *admissions) decide(now time.Time, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	answer := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_UNKNOWN, Id: call.Id, Server: call.Server}
	if !c.mayGive(now) || c.node.quotas.better(now) != "" {
		return answer
	}
	_, reach := c.node.quotas.fleetSize(now)
	if reach < quota.MinReach {
		return answer
	}
	start := inventory.Start{ID: call.Server, StartedAtMs: call.Born}
	if limit, ok := decodeLimit(now, call.Limit); ok {
		c.node.hints.receivePeerLimit(now, start, limit)
	}
	known := c.boundsOf(now, start)
	answer.Limit = encodeLimit(now, known.limit.Latest())
	if call.Kind == peerpb.QuotaCall_USED {
		c.takeBack(now, start, known, reach)
		return answer
	}
	verdict := c.decideBounds(now, call, start, known, reach)
	answer.Kind, answer.RetryMs = peerpb.QuotaCall_REFUSED, uint32(min(verdict.RetryAfter, longestAge).Milliseconds())
	if verdict.Granted {
		answer.Kind = peerpb.QuotaCall_GRANTED
	}
	return answer
}

// decideBounds asks all that bounds the server: a request needs each of them.
func (c *admissions) decideBounds(now time.Time, call *peerpb.QuotaCall, start inventory.Start, known bounds, reach float64) quota.Decision {
	limit := admission.RateLimitBound{PerSecond: known.perSecond}.Quota()
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := quota.Decision{Granted: true}
	if known.isLimited {
		verdict = c.limits.Acquire(now, accountOf(start), limit, reach, 1, min(int(call.Priority), mostLimitPriority))
	}
	if !verdict.Granted || call.Warm {
		return verdict
	}
	bound := c.bound(call.Service)
	granted := bound.Quota()
	if call.Ramping && known.phase != admission.Cold {
		granted = bound.RampQuota()
	}
	verdict = c.warmUps.Acquire(now, call.Server, granted, reach, 1, int(call.Priority))
	verdict.Granted = verdict.Granted && granted.PerSecond > 0
	if !verdict.Granted && known.isLimited {
		c.limits.Refund(now, accountOf(start), limit, reach)
	}
	return verdict
}

// takeBack returns a grant that was not used.
func (c *admissions) takeBack(now time.Time, start inventory.Start, known bounds, reach float64) {
	if !known.isLimited {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.Refund(now, accountOf(start), admission.RateLimitBound{PerSecond: known.perSecond}.Quota(), reach)
}

// mayGive reports whether this node has listened long enough to know who is before it,
// and knows the fleet.
func (c *admissions) mayGive(now time.Time) bool {
	return c.isAlone() || (c.knowsFleet(now) && now.Sub(c.node.started) >= givesAfter)
}

// bound is that of a cold server of the service; one that is not known bears nothing.
func (c *admissions) bound(service string) admission.WarmUpBound {
	bound := admission.WarmUpBound{Overage: c.node.options.ColdOverage, Slack: c.node.options.ColdSlack}
	if table := c.node.handler.Table(); table != nil {
		bound.PerSecond = table.Services[service].ColdStart.PerSecond
	}
	return bound
}

// asOf returns the servers with what is known now of how long each is cold yet.
func (c *admissions) asOf(now time.Time, servers []inventory.Server) []inventory.Server {
	c.node.dispatch.Do(func(core *dispatch.Core) {
		for i := range servers {
			servers[i].ColdRemaining, servers[i].ReportsCold = core.ColdRemaining(now, servers[i].ID)
		}
	})
	return servers
}

// coldLeftOf is for how long a server is cold yet, by a peer; false where it does not say.
func coldLeftOf(wire uint32) (left time.Duration, told bool) {
	if wire == 0 {
		return 0, false
	}
	return min(time.Duration(wire-1)*time.Millisecond, admission.MaxColdTime), true
}

func encodeColdLeft(left time.Duration, told bool) uint32 {
	if !told {
		return 0
	}
	return 1 + uint32(min(max(0, left), admission.MaxColdTime).Milliseconds())
}

// observe is called in each period: a coordinator that stood still has to notice, and
// what turned cold or warm is logged.
func (c *admissions) observe(now time.Time) {
	c.mu.Lock()
	c.warmUps.Observe(now)
	c.limits.Observe(now)
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

// sweep drops what is not needed: the accounts of servers that are gone and, where
// another node grants, what this one granted before.
func (c *admissions) sweep(now time.Time) {
	isCoordinator := c.node.quotas.better(now) == ""
	c.node.dispatch.Do(func(core *dispatch.Core) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.warmUpLots.Prune(now)
		c.limitLots.Prune(now)
		if isCoordinator {
			c.warmUps.Prune(core.HasEntry)
			c.limits.Prune(func(account string) bool { return core.HasEntry(account[:strings.LastIndexByte(account, '/')]) })
		} else {
			c.warmUps.Forget()
			c.limits.Forget()
		}
	})
}
