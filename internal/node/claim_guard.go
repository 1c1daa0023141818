package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// grantedAttempt is an attempt that this node was granted and whose outcome the keepers
// still wait for.
type grantedAttempt struct {
	keepers  []claim.Seat
	complete claim.Complete
	// expiresAt is when the attempt is dropped if nobody has completed it.
	expiresAt time.Time
}

const (
	// acquireTimeout bounds the time to collect votes from a majority of the keepers.
	acquireTimeout = 2 * time.Second
	// completeTimeout bounds the delivery of an outcome to one keeper, retries included.
	completeTimeout = 10 * time.Second
	// completeRetryInterval is the time between two attempts to deliver an outcome to a
	// keeper.
	completeRetryInterval = 250 * time.Millisecond
	// attemptRetention is how long an attempt that nobody completed is kept after its
	// deadline.
	attemptRetention = 10 * time.Minute
	noTableRetry     = time.Second
)

// Acquire implements claim.Guard.
func (c *Claims) Acquire(ctx context.Context, request claim.Request) claim.Decision {
	table := c.currentTable()
	if len(table.Slots) == 0 {
		c.requestTableRefresh()
		return claim.Decision{Verdict: claim.NoMajority, RetryAfter: noTableRetry}
	}
	attempt, seed := c.newAttempt()
	deadline := time.Now().Add(acquireTimeout)
	if limit, found := ctx.Deadline(); found && limit.Before(deadline) {
		deadline = limit
	}
	asker := claim.NewAsker(claim.AskerOptions{
		Request:    request,
		Attempt:    attempt,
		Node:       c.seat.Name,
		Deadline:   deadline,
		RandomSeed: seed,
	})
	finish := c.runAsker(asker, table.Slots[table.SlotOf(request.Key)])
	c.mergeSlots([]claim.Slot{finish.Slot})
	switch finish.Decision.Verdict {
	case claim.Granted:
		c.rememberAttempt(ctx, attempt, request, finish)
	case claim.NoMajority:
		c.requestTableRefresh()
	}
	return finish.Decision
}

// newAttempt returns an attempt name that is unique in the fleet, and a random seed for it.
// The name starts with a hash, so that no node's attempts always sort first.
func (c *Claims) newAttempt() (string, uint64) {
	c.mutex.Lock()
	c.sequence++
	sequence := c.sequence
	c.mutex.Unlock()
	name := fmt.Sprintf("%s-%x-%d", c.seat.Name, c.seat.Boot, sequence)
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(name))
	return fmt.Sprintf("%016x-%s", digest.Sum64(), name), digest.Sum64()
}

// runAsker performs the asker's effects and feeds it the replies until it finishes, at the
// latest at its deadline.
func (c *Claims) runAsker(asker *claim.Asker, slot claim.Slot) claim.Finish {
	answers := make(chan claim.VoteReceived, claim.SeatsPerSlot)
	done := make(chan struct{})
	defer close(done)
	var message claim.AskerMessage = claim.Begin{Slot: slot}
	for {
		for _, effect := range asker.Step(time.Now(), message) {
			switch effect := effect.(type) {
			case claim.RequestGrant:
				c.runInBackground(func() { c.requestGrant(effect, answers, done) })
			case claim.Release:
				c.runInBackground(func() { c.reportOutcome(c.lifetime, effect.To, effect.Complete) })
			case claim.Finish:
				return effect
			}
		}
		timer := time.NewTimer(time.Until(asker.NextWake()))
		select {
		case message = <-answers:
		case <-timer.C:
			message = claim.Tick{}
		}
		timer.Stop()
	}
}

// requestGrant asks one keeper for its vote and delivers the reply; a failed call yields an
// empty reply.
func (c *Claims) requestGrant(request claim.RequestGrant, answers chan<- claim.VoteReceived, done <-chan struct{}) {
	ctx, cancel := context.WithTimeout(c.lifetime, keeperCallTimeout)
	defer cancel()
	vote := claim.VoteReceived{From: request.To, Version: request.Grant.Slot.Version, Reply: c.sendGrant(ctx, request)}
	select {
	case answers <- vote:
	case <-done:
	}
}

func (c *Claims) sendGrant(ctx context.Context, request claim.RequestGrant) claim.GrantReply {
	if request.To.SameProcess(c.seat) {
		reply, err := callKeeper[claim.GrantReply](ctx, c, request.Grant)
		if err != nil {
			return claim.GrantReply{}
		}
		return reply
	}
	response, err := c.dependencies.Pool.To(request.To.Address).Claims.Grant(ctx, encodeGrant(request.Grant))
	if err != nil {
		return claim.GrantReply{}
	}
	return decodeGrantReply(response)
}

func (c *Claims) rememberAttempt(ctx context.Context, attempt string, request claim.Request, finish claim.Finish) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for name, other := range c.attempts {
		if now.After(other.expiresAt) {
			delete(c.attempts, name)
		}
	}
	endsAt := now
	if deadline, found := ctx.Deadline(); found && deadline.After(now) {
		endsAt = deadline
	}
	c.attempts[attempt] = grantedAttempt{
		keepers:   finish.Asked,
		expiresAt: endsAt.Add(attemptRetention),
		complete: claim.Complete{
			Key:         request.Key,
			Fingerprint: request.Fingerprint,
			Attempt:     attempt,
			Window:      request.Window,
			Slot:        finish.Slot,
		},
	}
}

// Complete implements claim.Guard. It returns once the deliveries to a majority of the
// keepers have ended or the context ends. Delivery continues in the background until every
// keeper that was asked has stored the outcome or completeTimeout has passed for it.
func (c *Claims) Complete(ctx context.Context, key, attempt string, outcome claim.Outcome, answer *claim.Answer) {
	c.mutex.Lock()
	pending, found := c.attempts[attempt]
	delete(c.attempts, attempt)
	c.mutex.Unlock()
	if !found || pending.complete.Key != key {
		return
	}
	pending.complete.Outcome = outcome
	pending.complete.Answer = answer
	done := make(chan struct{})
	c.runInBackground(func() {
		defer close(done)
		c.reportOutcome(c.lifetime, pending.keepers, pending.complete)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// reportOutcome sends the outcome to all the keepers concurrently, and to the seats of newer
// slot versions that they name. It returns when the deliveries to a majority of the keepers
// have ended, by success or by timeout.
func (c *Claims) reportOutcome(ctx context.Context, seats []claim.Seat, complete claim.Complete) {
	delivered := make(chan struct{}, len(seats))
	reporter := &outcomeReporter{claims: c, complete: complete, reported: make(map[fleet.NodeName]bool)}
	for _, seat := range seats {
		c.runInBackground(func() {
			reporter.report(ctx, seat)
			delivered <- struct{}{}
		})
	}
	for range claim.Majority(seats) {
		select {
		case <-delivered:
		case <-ctx.Done():
			return
		}
	}
}
