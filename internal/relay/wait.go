package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// pick chooses a server, and waits for one where that is worth it. Where ok is
// false the final answer was given.
func (x *exchange) pick() (choice dispatch.Choice, ok bool) {
	core := x.handler.options.Dispatch
	started := clock.Now()
	x.waitsSince = started
	waits := false
	var counted dispatch.Requirements
	defer func() {
		x.waited += clock.Since(started)
		x.waitsSince = time.Time{}
		if waits {
			x.handler.waiting.Add(-1)
			core.Do(func(c *dispatch.Core) { c.AddWaiting(counted, -1) })
		}
	}()
	for {
		var changed <-chan struct{}
		var readyIn, ordersIn time.Duration
		var known, isEvacuated bool
		var rest restingCopies
		core.Do(func(c *dispatch.Core) {
			now := clock.Now()
			if choice, ok = c.Pick(now, x.ask()); ok {
				return
			}
			changed = c.Changed()
			readyIn, known = c.ReadyIn(now, x.wanted())
			ordersIn = c.OrdersIn(now)
			rest.left, rest.elsewhere, rest.found = c.BackoffEndsIn(now, x.wanted())
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
			x.handler.options.OnWaiting()
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
		readyIn, known = rest.orSooner(readyIn, known)
		expected := x.expect(readyIn, known)
		if !x.keepsWaiting(expected) {
			return choice, false
		}
		x.sleep(changed, started, expected)
	}
}

// restingCopies are servers that have what is wanted and rest, as dispatch.Core.Rests tells.
type restingCopies struct {
	left             time.Duration
	elsewhere, found bool
}

// orSooner is when such a server may be sent to again, where that is sooner than what else is
// expected, or nothing else is: no other server could load what is wanted.
func (r restingCopies) orSooner(readyIn time.Duration, announced bool) (time.Duration, bool) {
	if r.found && (r.left < readyIn || !announced && !r.elsewhere) {
		return r.left, true
	}
	return readyIn, announced
}

// expect is when what the request waits for is expected.
func (x *exchange) expect(readyIn time.Duration, announced bool) waiting.ReadinessEstimate {
	return x.watch.Estimate(clock.Now(), readyIn, announced)
}

// keepsWaiting decides on a request that has no server now. Where it is false
// the final answer was given.
func (x *exchange) keepsWaiting(expected waiting.ReadinessEstimate) bool {
	decision := waiting.Decide(clock.Now(), x.toDecide(), x.standsHow(), expected)
	switch decision.Verdict {
	case waiting.KeepWaiting:
		return true
	case waiting.CallerGone:
		x.leave()
	case waiting.FailDeadline:
		x.giveUp(reasonDeadline)
	case waiting.RefuseBarred:
		x.answerBarred()
	case waiting.RefuseOnTrial:
		x.refuse(reasonPoison, x.comeBack(decision.ReadyIn))
	case waiting.FailNodeStopping:
		x.giveUp(reasonStops)
	case waiting.FailAllServersTried:
		x.giveUp(reasonRejected)
	case waiting.RefuseNoServer:
		x.refuse(reasonNoServer, x.comeBack(decision.ReadyIn))
	case waiting.RefuseLoadTooSlow:
		x.refuse(x.reasonLate(), x.comeBack(decision.ReadyIn))
	}
	return false
}

// toDecide is the request as decisions go by it.
func (x *exchange) toDecide() waiting.Request {
	return waiting.Request{
		Arrived: x.arrived, Deadline: x.deadline, Stream: x.route.Stream, LatencyGoal: x.route.LatencyGoal, EventGapGoal: x.route.EventGapGoal,
		NeedsModel: x.engine, IsRetry: x.returned,
	}
}

// standsHow is how the request stands now.
func (x *exchange) standsHow() waiting.State {
	until := x.handler.drainUntil.Load()
	standing := x.standing()
	return waiting.State{
		CallerGone:      x.hasLeft(),
		IsBarred:        !x.isTrial && standing == poison.StatusBarred,
		IsOnTrial:       x.isTrial || standing == poison.StatusOnTrial,
		NodeStopping:    until != nil && !clock.Now().Before(*until),
		AllServersTried: !x.engine && len(x.failed) > 0,
		MayHaveRun:      x.headSent || x.ran,
	}
}

// usualLoad is the time of a load that nobody has announced yet, and that can be
// ordered in ordersIn.
func (x *exchange) usualLoad(ordersIn time.Duration) time.Duration {
	service := x.table.Services[x.service]
	if service.Engine == nil {
		return waiting.ServerRegistrationTime
	}
	model := service.Engine.Models[x.head.Model]
	nearest := waiting.CopyInStore
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		switch core.NearestCopy(clock.Now(), x.wanted()) {
		case dispatch.CopyInMemory:
			nearest = waiting.CopyInMemory
		case dispatch.CopyOnDisk:
			nearest = waiting.CopyOnDisk
		}
	})
	return waiting.EstimateLoad(ordersIn, nearest, waiting.LoadTimes{Store: model.Load, Disk: model.DiskLoad, Memory: model.MemoryLoad})
}

// sleep waits for news, or until the next decision is due.
func (x *exchange) sleep(changed <-chan struct{}, since time.Time, expected waiting.ReadinessEstimate) {
	timer := time.NewTimer(waiting.RecheckDelay(clock.Now(), since, x.toDecide(), expected))
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

// knows reports whether the node knows enough to send requests: a configuration, servers
// and, where zones are evacuated, which of them are.
func (h *Handler) knows() bool { return h.options.IsReady == nil || h.options.IsReady() }

func (h *Handler) awaitKnowledge(ctx context.Context) {
	if h.knows() || h.waiting.Load() >= int64(h.options.MaxWaiting) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, knowledgePatience)
	defer cancel()
	h.waiting.Add(1)
	defer h.waiting.Add(-1)
	h.options.AwaitReady(ctx)
}
