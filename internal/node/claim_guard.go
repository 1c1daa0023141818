package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// granted is an attempt of this node whose outcome the keepers wait for.
type granted struct {
	asked    []claim.Seat
	complete claim.Complete
	// until is when an attempt that nobody completed is dropped.
	until time.Time
}

const (
	// acquireTimeout bounds the search for a majority.
	acquireTimeout = 2 * time.Second
	// completeTimeout bounds the telling of an outcome, retries included.
	completeTimeout = 10 * time.Second
	// completeRetry is the time between two tries to tell a keeper.
	completeRetry = 250 * time.Millisecond
	// forgottenAttempt is how long after its deadline an attempt that nobody
	// completed is dropped.
	forgottenAttempt = 10 * time.Minute
	noTableRetry     = time.Second
)

// Acquire implements claim.Guard.
func (c *Claims) Acquire(ctx context.Context, request claim.Request) claim.Decision {
	table := c.currentTable()
	if len(table.Slots) == 0 {
		c.wakeTable()
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
	c.takeSlots([]claim.Slot{finish.Slot})
	switch finish.Decision.Verdict {
	case claim.Granted:
		c.remember(ctx, attempt, request, finish)
	case claim.NoMajority:
		c.wakeTable()
	}
	return finish.Decision
}

// newAttempt returns a name unique in the fleet. It begins with a hash, so
// that no node's attempts always sort first.
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

// runAsker feeds the asker until it finishes; its deadline ends it.
func (c *Claims) runAsker(asker *claim.Asker, slot claim.Slot) claim.Finish {
	answers := make(chan claim.VoteReceived, claim.SeatsPerSlot)
	done := make(chan struct{})
	defer close(done)
	var message claim.AskerMessage = claim.Begin{Slot: slot}
	for {
		for _, effect := range asker.Step(time.Now(), message) {
			switch effect := effect.(type) {
			case claim.RequestGrant:
				c.goBackground(func() { c.askGrant(effect, answers, done) })
			case claim.Release:
				c.goBackground(func() { c.tellOutcome(c.lifetime, effect.To, effect.Complete) })
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

// askGrant asks one keeper and always answers.
func (c *Claims) askGrant(ask claim.RequestGrant, answers chan<- claim.VoteReceived, done <-chan struct{}) {
	ctx, cancel := context.WithTimeout(c.lifetime, keeperCallTimeout)
	defer cancel()
	voted := claim.VoteReceived{From: ask.To, Version: ask.Grant.Slot.Version, Reply: c.grantAt(ctx, ask)}
	select {
	case answers <- voted:
	case <-done:
	}
}

func (c *Claims) grantAt(ctx context.Context, ask claim.RequestGrant) claim.GrantReply {
	if ask.To.SameProcess(c.seat) {
		reply, err := call[claim.GrantReply](ctx, c, ask.Grant)
		if err != nil {
			return claim.GrantReply{}
		}
		return reply
	}
	response, err := c.dependencies.Pool.To(ask.To.Address).Claims.Grant(ctx, encodeGrant(ask.Grant))
	if err != nil {
		return claim.GrantReply{}
	}
	return decodeGrantReply(response)
}

func (c *Claims) remember(ctx context.Context, attempt string, request claim.Request, finish claim.Finish) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for name, other := range c.attempts {
		if now.After(other.until) {
			delete(c.attempts, name)
		}
	}
	end := now
	if deadline, found := ctx.Deadline(); found && deadline.After(now) {
		end = deadline
	}
	c.attempts[attempt] = granted{
		asked: finish.Asked,
		until: end.Add(forgottenAttempt),
		complete: claim.Complete{
			Key:         request.Key,
			Fingerprint: request.Fingerprint,
			Attempt:     attempt,
			Window:      request.Window,
			Slot:        finish.Slot,
		},
	}
}

// Complete implements claim.Guard. It returns once a majority of the keepers
// has stored the outcome or the context ends; the telling goes on until every
// keeper that was asked has it or could not be reached for long.
func (c *Claims) Complete(ctx context.Context, key, attempt string, outcome claim.Outcome, answer *claim.Answer) {
	c.mutex.Lock()
	held, found := c.attempts[attempt]
	delete(c.attempts, attempt)
	c.mutex.Unlock()
	if !found || held.complete.Key != key {
		return
	}
	held.complete.Outcome = outcome
	held.complete.Answer = answer
	told := make(chan struct{})
	c.goBackground(func() {
		defer close(told)
		c.tellOutcome(c.lifetime, held.asked, held.complete)
	})
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// tellOutcome tells all the keepers at once, and those of newer versions that
// they name, and returns when a majority of the slot's seats has it.
func (c *Claims) tellOutcome(ctx context.Context, seats []claim.Seat, complete claim.Complete) {
	stored := make(chan struct{}, len(seats))
	outcomes := &outcomeTeller{claims: c, complete: complete, told: make(map[fleet.NodeName]bool)}
	for _, seat := range seats {
		c.goBackground(func() {
			outcomes.tell(ctx, seat)
			stored <- struct{}{}
		})
	}
	for range claim.Majority(seats) {
		select {
		case <-stored:
		case <-ctx.Done():
			return
		}
	}
}
