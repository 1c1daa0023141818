package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/poison"
)

const (
	// newsTime is left for news that are under way before it is decided on a request
	// whose model nobody has announced: an order takes up to a period of the leader's,
	// and what it decided another to come here.
	newsTime = 100 * time.Millisecond
	// announcedError and guessedError are by how much the time until a model is there
	// may be wrong, in parts of it: of a load that the leader has announced, and of one
	// that nobody has begun.
	announcedError = 0.15
	guessedError   = 0.5
	// refusalMargin covers what a caller's clock and the network add.
	refusalMargin = 20 * time.Millisecond
	// orderTime is what passes before a load begins that nobody has announced.
	orderTime = 250 * time.Millisecond
	// swapTime is taken for a server to finish the runs of the model that makes
	// room.
	swapTime = 500 * time.Millisecond
	// readTime is taken to pass between a server being ready and the answer's
	// first byte.
	readTime = 100 * time.Millisecond
	// recheckTime bounds how long a waiting request sleeps.
	recheckTime = 250 * time.Millisecond
	// finishMargin is left before the deadline for the final answer.
	finishMargin = 10 * time.Millisecond
)

// pick chooses a server, and waits for one where that is worth it. Where ok is
// false the final answer was given.
func (x *exchange) pick() (choice dispatch.Choice, ok bool) {
	core := x.handler.options.Dispatch
	started := clock.Now()
	x.waitsSince = started
	waits := false
	var counted dispatch.Wanted
	defer func() {
		x.waited += clock.Since(started)
		x.waitsSince = time.Time{}
		if waits {
			x.handler.waiting.Add(-1)
			core.Do(func(c *dispatch.Core) { c.Waits(counted, -1) })
		}
	}()
	for {
		var changed <-chan struct{}
		var readyIn, ordersIn time.Duration
		var known, isEvacuated bool
		core.Do(func(c *dispatch.Core) {
			now := clock.Now()
			if choice, ok = c.Pick(now, x.ask()); ok {
				return
			}
			changed = c.Changed()
			readyIn, known = c.ReadyIn(now, x.wanted())
			ordersIn = c.OrdersIn(now)
			isEvacuated = c.IsEvacuated(x.service)
			counted = x.countWaiting(c, counted, waits)
		})
		if ok {
			return choice, true
		}
		if !waits {
			waits = true
			if x.handler.waiting.Add(1) > int64(x.handler.options.MaxWaiting) {
				x.refuse(reasonQueueFull, time.Second)
				return choice, false
			}
			x.handler.options.Wanted()
		}
		if isEvacuated {
			x.refuseEvacuated()
			return choice, false
		}
		if !x.hasPlace() {
			return choice, false
		}
		if !known {
			readyIn = x.usualLoad(ordersIn)
		}
		if !x.keepsWaiting(x.expect(readyIn, known)) {
			return choice, false
		}
		x.sleep(changed, started, readyIn, known)
	}
}

// expectation is when a model that a request waits for is expected to be there.
type expectation struct {
	readyIn time.Duration
	// announced is set where the leader has announced the load.
	announced bool
	// overdue is how long ago it should have been there.
	overdue time.Duration
}

// expect notes since when the model is overdue.
func (x *exchange) expect(readyIn time.Duration, announced bool) expectation {
	now := clock.Now()
	if !announced || readyIn > 0 {
		x.overdueSince = time.Time{}
		return expectation{readyIn: readyIn, announced: announced}
	}
	if x.overdueSince.IsZero() {
		x.overdueSince = now
	}
	return expectation{announced: true, overdue: now.Sub(x.overdueSince)}
}

// atWorst is the time until the model is there, as long as it may well become. What is
// overdue is expected to take as long again.
func (e expectation) atWorst() time.Duration {
	share := guessedError
	if e.announced {
		share = announcedError
	}
	return time.Duration((1+share)*float64(e.readyIn)) + e.overdue
}

// keepsWaiting decides on a request that has no server now. Where it is false
// the final answer was given.
func (x *exchange) keepsWaiting(expected expectation) bool {
	now := clock.Now()
	left := x.deadline.Sub(now)
	if x.hasLeft() {
		x.leave()
		return false
	}
	if left <= finishMargin {
		x.giveUp(reasonDeadline)
		return false
	}
	if x.isBarred() {
		x.answerBarred()
		return false
	}
	if x.standing() == poison.StandingOnTrial {
		// Copies that waited at several nodes would be tried together.
		x.refuse(reasonPoison, x.comeBack(max(expected.readyIn, expected.overdue)+refusalMargin))
		return false
	}
	if until := x.handler.drainUntil.Load(); until != nil && !now.Before(*until) {
		x.giveUp("node_stops")
		return false
	}
	if !x.engine && len(x.failed) > 0 {
		// Every server of the service was tried; none will change its mind.
		x.giveUp(reasonRejected)
		return false
	}
	elapsed := now.Sub(x.arrived)
	if (!expected.announced && elapsed < newsTime) || x.headSent || x.ran {
		return true
	}
	if !x.engine && !expected.announced {
		return x.keepsWaitingForServer(elapsed, left)
	}
	if elapsed+expected.atWorst()+readTime > x.patience() {
		reason := reasonTooLate
		if x.isHeldByCold() {
			reason = reasonColdServers
		}
		x.refuse(reason, x.comeBack(max(expected.readyIn, expected.overdue)+refusalMargin))
		return false
	}
	return true
}

// Callers give up a stream whose first event, or next, does not come within the
// longest of these: a fixed time, a multiple of the objective, and one of the
// longest pause that is in time.
const (
	patienceLeast = 2 * time.Second
	patienceGoals = 4
	patienceGaps  = 8
)

// patience is how long the caller waits for an answer to begin.
func (x *exchange) patience() time.Duration {
	held := x.deadline.Sub(x.arrived)
	if !x.route.Stream {
		return held
	}
	return min(held, max(patienceLeast, patienceGoals*x.route.Goal, patienceGaps*x.route.GapGoal))
}

// usualLoad is the time of a load that nobody has announced yet, and that can be
// ordered in ordersIn.
func (x *exchange) usualLoad(ordersIn time.Duration) time.Duration {
	service := x.table.Services[x.service]
	if service.Engine == nil {
		return serverReturnTime
	}
	model := service.Engine.Models[x.head.Model]
	takes := model.Load
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		switch core.NearestCopy(clock.Now(), x.wanted()) {
		case dispatch.CopyInMemory:
			takes = swapTime + model.MemoryLoad
		case dispatch.CopyOnDisk:
			takes = swapTime + model.DiskLoad
		}
	})
	return ordersIn + orderTime + takes
}

// sleep waits for news, or until the next decision is due.
func (x *exchange) sleep(changed <-chan struct{}, started time.Time, readyIn time.Duration, known bool) {
	pause := min(recheckTime, clock.Until(x.deadline)-finishMargin)
	if decided := newsTime - clock.Since(started); decided > 0 {
		pause = min(pause, decided+time.Millisecond)
	}
	if known && readyIn > 0 {
		pause = min(pause, readyIn+time.Millisecond)
	}
	timer := time.NewTimer(max(pause, time.Millisecond))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// knowledgePatience is how long a request waits at a node that has just started for
// what the node has to know: it asks the store at once then, which takes some 20 ms.
// Where all nodes start together each of their first callers was sent away.
const knowledgePatience = 300 * time.Millisecond

func (h *Handler) awaitKnowledge(ctx context.Context) {
	if h.options.Knows == nil || h.options.Knows() || h.waiting.Load() >= int64(h.options.MaxWaiting) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, knowledgePatience)
	defer cancel()
	h.waiting.Add(1)
	defer h.waiting.Add(-1)
	h.options.AwaitKnowledge(ctx)
}
