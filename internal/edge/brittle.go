package edge

import (
	"context"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/relay"
)

// brittlenessOf returns how many requests the server can reject in a second without failing; ok is
// false if it announced nothing.
func (c *admissions) brittlenessOf(now time.Time, start inventory.Start) (perSecond int, ok bool) {
	c.node.dispatch.Do(func(core *dispatch.Core) { perSecond, ok = core.Brittleness(now, core.ServiceOf(start.ID)) })
	return perSecond, ok
}

// admitRisk asks whether a brittle server may get one more request that it may have to reject. The
// node decides alone where its share of the rejections is one or more; otherwise the coordinator does.
func (c *admissions) admitRisk(ctx context.Context, start inventory.Start, decision *relay.AdmissionDecision) {
	now := clock.Now()
	perSecond, isBrittle := c.brittlenessOf(now, start)
	if !isBrittle {
		return
	}
	nodes, _ := c.node.quotas.fleetSize(now)
	share := admission.RejectionBound{PerSecond: perSecond}.PerNode(nodes)
	if c.isSingleNode() || share > 0 && c.knowsFleetSize(now) {
		c.takeOwnRisk(now, start, max(1, share), decision)
	} else {
		c.askForRisk(ctx, start, perSecond, nodes, decision)
	}
	if !decision.Granted {
		c.riskHeld.Add(1)
		c.ReturnGrant(start, relay.AdmissionDecision{Granted: true, GrantedBy: decision.GrantedBy})
	}
}

// takeOwnRisk decides by this node's share.
func (c *admissions) takeOwnRisk(now time.Time, start inventory.Start, share int, decision *relay.AdmissionDecision) {
	account := accountName(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	decision.Granted, decision.RetryAfter = c.risks.Take(now, account, share)
	if decision.Granted {
		decision.Settle = settleOnce(func(isRejected, hadAccepted bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			settleRisk(c.risks, account, isRejected, hadAccepted)
		})
	}
}

// settleOnce returns a function that passes on the first outcome, and a rejection that follows an
// acceptance.
func settleOnce(settle func(isRejected, hadAccepted bool)) func(isRejected bool) {
	var mu sync.Mutex
	isAccepted, isRejected := false, false
	return func(rejected bool) {
		mu.Lock()
		defer mu.Unlock()
		if isRejected || isAccepted && !rejected {
			return
		}
		settle(rejected, isAccepted)
		isAccepted, isRejected = !rejected, rejected
	}
}

func settleRisk(ledger *admission.RejectionLedger, account string, isRejected, hadAccepted bool) {
	if isRejected {
		ledger.Reject(clock.Now(), account, hadAccepted)
	} else {
		ledger.Accept(account)
	}
}

// askForRisk has the coordinator decide, or the fallback allowance if none answers.
func (c *admissions) askForRisk(ctx context.Context, start inventory.Start, perSecond, nodes int, decision *relay.AdmissionDecision) {
	for _, coordinator := range c.node.peers.coordinators(clock.Now()) {
		requestedAt := clock.Now()
		answer := c.node.quotas.ask(ctx, coordinator.Address, riskCall(start, perSecond))
		if answer == nil {
			continue
		}
		decision.Granted = answer.Kind == peerpb.QuotaCall_GRANTED
		decision.RetryAfter = time.Duration(answer.RetryMs) * time.Millisecond
		if expires := requestedAt.Add(admission.GrantLifetime); decision.ValidUntil.IsZero() || expires.Before(decision.ValidUntil) {
			decision.ValidUntil = expires
		}
		if decision.Granted {
			decision.Settle = settleOnce(func(isRejected, hadAccepted bool) {
				c.reportRisk(coordinator.Address, start, perSecond, isRejected, hadAccepted)
			})
		}
		return
	}
	c.uncoordinated.Add(1)
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	decision.Granted = c.mayUseFallback(now) && c.riskFallback.Take(now, accountName(start), float64(perSecond), nodes)
	decision.RetryAfter = unansweredPause
}

// riskCall asks for one send to a brittle server. A coordinator of an earlier build, which knows no
// brittle servers, grants it, since a warm server without a rate limit needs no other grant.
func riskCall(start inventory.Start, perSecond int) *peerpb.QuotaCall {
	return &peerpb.QuotaCall{
		Kind: peerpb.QuotaCall_ASK, Server: start.ID, Born: start.StartedAtMs, Cost: 1, Warm: true, Brittle: uint32(perSecond),
	}
}

// reportRisk tells the coordinator how a granted send ended: a cost of -1 means accepted, 0 rejected,
// and 1 rejected after it was reported as accepted.
func (c *admissions) reportRisk(coordinator string, start inventory.Start, perSecond int, isRejected, hadAccepted bool) {
	call := riskCall(start, perSecond)
	call.Kind, call.Asker = peerpb.QuotaCall_USED, c.node.options.PeerAddress
	switch {
	case !isRejected:
		call.Cost = -1
	case !hadAccepted:
		call.Cost = 0
	}
	if coordinator == c.node.options.PeerAddress {
		c.decide(clock.Now(), call)
		return
	}
	c.node.peers.sendQuota(coordinator, call)
}

// decideRisk answers a call for a brittle server as the coordinator.
func (c *admissions) decideRisk(now time.Time, call *peerpb.QuotaCall, start inventory.Start, answer *peerpb.QuotaCall) *peerpb.QuotaCall {
	account := accountName(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Kind == peerpb.QuotaCall_USED {
		settleRisk(c.grantedRisks, account, call.Cost >= 0, call.Cost > 0)
		return answer
	}
	limit := admission.RejectionBound{PerSecond: int(call.Brittle)}.Coordinated()
	granted, retryAfter := c.grantedRisks.Take(now, account, limit)
	answer.Kind, answer.RetryMs = peerpb.QuotaCall_REFUSED, uint32(retryAfter.Milliseconds())
	if granted {
		answer.Kind = peerpb.QuotaCall_GRANTED
	}
	return answer
}
