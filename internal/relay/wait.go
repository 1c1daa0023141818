package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// waitResult says how a wait for a server ended.
type waitResult int

const (
	// waitChosen: a server was chosen.
	waitChosen waitResult = iota + 1
	// waitEnded: the caller got a final response.
	waitEnded
	// waitUnreachable: this node reaches no server of the service, and a peer is to take the request.
	waitUnreachable
)

// waitForServer chooses a server, and waits for one as long as that is worthwhile.
func (x *exchange) waitForServer() (choice dispatch.Choice, result waitResult) {
	core := x.handler.options.Dispatch
	started := clock.Now()
	x.waitingSince = started
	isWaiting := false
	var countedAs dispatch.Requirements
	if !x.checkVersion() {
		return choice, waitEnded
	}
	defer func() {
		x.waitedBefore += clock.Since(started)
		x.waitingSince = time.Time{}
		if isWaiting {
			x.handler.waiting.Add(-1)
			core.Do(func(c *dispatch.Core) { c.AddWaiting(countedAs, -1) })
		}
	}()
	for {
		if x.shouldForward() {
			return choice, waitUnreachable
		}
		ok := false
		var changed <-chan struct{}
		var readyIn, loadOrdersIn time.Duration
		var isAnnounced, isEvacuated bool
		var backingOff backingOffServers
		core.Do(func(c *dispatch.Core) {
			now := clock.Now()
			if choice, ok = c.Pick(now, x.dispatchRequest()); ok {
				return
			}
			changed = c.Changed()
			readyIn, isAnnounced = c.ReadyIn(now, x.requirements())
			loadOrdersIn = c.OrdersIn(now)
			backingOff.readyIn, backingOff.loadableElsewhere, backingOff.found = c.BackoffEndsIn(now, x.requirements())
			isEvacuated = c.IsEvacuated(x.service)
			countedAs = x.countWaiting(c, countedAs, isWaiting)
		})
		if ok {
			return choice, waitChosen
		}
		if !isWaiting {
			isWaiting = true
			if x.handler.waiting.Add(1) > int64(x.handler.options.MaxWaiting) {
				x.refuse(reasonQueueFull, time.Second)
				return choice, waitEnded
			}
			x.handler.options.OnWaiting()
		}
		if isEvacuated {
			x.refuseEvacuated()
			return choice, waitEnded
		}
		if !x.checkRegions() || !x.checkVersion() {
			return choice, waitEnded
		}
		if !isAnnounced {
			readyIn = x.estimateLoad(loadOrdersIn)
		}
		readyIn, isAnnounced = backingOff.earliest(readyIn, isAnnounced)
		estimate := x.estimateReady(readyIn, isAnnounced)
		if !x.keepWaiting(estimate) {
			return choice, waitEnded
		}
		x.waitForChange(changed, started, estimate)
	}
}

// backingOffServers describes the servers that have what the request needs and asked this node to back
// off, as dispatch.Core.BackoffEndsIn returns it.
type backingOffServers struct {
	readyIn                  time.Duration
	loadableElsewhere, found bool
}

// earliest is the end of the first backoff, if it is earlier than the readiness expected otherwise, or
// if nothing else is announced and no other server could load what is needed.
func (b backingOffServers) earliest(readyIn time.Duration, announced bool) (time.Duration, bool) {
	if b.found && (b.readyIn < readyIn || !announced && !b.loadableElsewhere) {
		return b.readyIn, true
	}
	return readyIn, announced
}

// estimateReady estimates when what the request waits for will be ready.
func (x *exchange) estimateReady(readyIn time.Duration, announced bool) waiting.ReadinessEstimate {
	return x.overdue.Estimate(clock.Now(), readyIn, announced)
}

// keepWaiting decides what becomes of a request that has no server now. Where it is false the final
// response was given.
func (x *exchange) keepWaiting(estimate waiting.ReadinessEstimate) bool {
	decision := waiting.Decide(clock.Now(), x.waitingRequest(), x.waitingState(), estimate)
	switch decision.Verdict {
	case waiting.KeepWaiting:
		return true
	case waiting.CallerGone:
		x.endCallerGone()
	case waiting.FailDeadline:
		x.giveUp(reasonDeadline)
	case waiting.RefuseBarred:
		x.refuseBarred()
	case waiting.RefuseOnTrial:
		x.refuse(reasonPoison, x.retryDelay(decision.ReadyIn))
	case waiting.FailNodeStopping:
		x.giveUp(reasonNodeStopping)
	case waiting.FailAllServersTried:
		x.giveUp(reasonRejected)
	case waiting.RefuseNoServer:
		x.refuse(reasonNoServer, x.retryDelay(decision.ReadyIn))
	case waiting.RefuseLoadTooSlow:
		x.refuse(x.lateReason(), x.retryDelay(decision.ReadyIn))
	}
	return false
}

// waitingRequest describes the request to package waiting.
func (x *exchange) waitingRequest() waiting.Request {
	return waiting.Request{
		Arrived: x.arrived, Deadline: x.deadline, Stream: x.route.Stream, LatencyGoal: x.route.LatencyGoal, EventGapGoal: x.route.EventGapGoal,
		NeedsModel: x.needsModel, IsRetry: x.isRetry,
	}
}

// waitingState is the request's current state for package waiting.
func (x *exchange) waitingState() waiting.State {
	schedule := x.handler.stopSchedule.Load()
	suspicion := x.suspicion()
	return waiting.State{
		CallerGone:      x.callerGone(),
		IsBarred:        suspicion.isBarred,
		IsOnTrial:       x.isTrial || suspicion.onTrial != nil,
		NodeStopping:    schedule != nil && !clock.Now().Before(schedule.RefuseWaitingAt),
		AllServersTried: !x.needsModel && len(x.failedServers) > 0,
		MayHaveRun:      x.headSent || x.mayHaveRun,
	}
}

// estimateLoad is the expected time of a model load that nobody has announced yet and that can be
// ordered in loadOrdersIn.
func (x *exchange) estimateLoad(loadOrdersIn time.Duration) time.Duration {
	service := x.table.Services[x.service]
	if service.Engine == nil {
		return waiting.ServerRegistrationTime
	}
	model := service.Engine.Models[x.head.Model]
	nearest := waiting.CopyInStore
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		switch core.NearestCopy(clock.Now(), x.requirements()) {
		case dispatch.CopyInMemory:
			nearest = waiting.CopyInMemory
		case dispatch.CopyOnDisk:
			nearest = waiting.CopyOnDisk
		}
	})
	return waiting.EstimateLoad(loadOrdersIn, nearest, waiting.LoadTimes{Store: model.Load, Disk: model.DiskLoad, Memory: model.MemoryLoad})
}

// waitForChange blocks until the dispatcher's state changes, the next check is due or the caller is gone.
func (x *exchange) waitForChange(changed <-chan struct{}, since time.Time, estimate waiting.ReadinessEstimate) {
	timer := time.NewTimer(waiting.RecheckDelay(clock.Now(), since, x.waitingRequest(), estimate))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// readyTimeout is how long a request waits at a node that has just started until the node is ready:
// it reads the store immediately then, which takes some 20 ms. When all nodes started at the same time,
// without this wait the first callers of each were refused.
const readyTimeout = 300 * time.Millisecond

// isReady reports whether the node knows enough to forward requests: a configuration, servers and, where
// zones are evacuated, which ones.
func (h *Handler) isReady() bool { return h.options.IsReady == nil || h.options.IsReady() }

// awaitReady waits until the node is ready, for readyTimeout at most.
func (h *Handler) awaitReady(ctx context.Context) {
	if h.isReady() || h.waiting.Load() >= int64(h.options.MaxWaiting) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	h.waiting.Add(1)
	defer h.waiting.Add(-1)
	h.options.AwaitReady(ctx)
}
