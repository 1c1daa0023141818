package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// storeLimitFor returns the concurrency limit for the weight store of a service.
func (c *Core) storeLimitFor(service string) *storeLimit {
	limit, ok := c.storeLimits[service]
	if !ok {
		limit = newStoreLimit(c.options.LoadsAtOnce[service])
		c.storeLimits[service] = limit
	}
	return limit
}

// LoadsAtOnce returns the learned number of concurrent loads at full speed for each weight store,
// to be handed to later leaders.
func (c *Core) LoadsAtOnce() map[string]float64 {
	learned := make(map[string]float64, len(c.storeLimits))
	for service, limit := range c.storeLimits {
		if len(limit.slowEstimates) > 0 {
			learned[service] = limit.fullSpeedLoads()
		}
	}
	return learned
}

// LoadLimit returns the number of concurrent loads allowed for the weight store of a server's
// service, or 0 if the server is unknown.
func (c *Core) LoadLimit(serverID string) int {
	s, ok := c.servers[serverID]
	if !ok {
		return 0
	}
	return c.storeLimitFor(s.info.Service).allowed()
}

// mayLoadFromStore reports whether the server may be loading from the weight store, possibly by
// order of an earlier leader.
func (s *server) mayLoadFromStore() bool {
	if s.loading != nil {
		return s.loading.source == SourceStore
	}
	return s.busy && !s.synced && !s.isBusyWithOtherOrder()
}

// isBusyWithOtherOrder reports whether the server is known to be busy with something other than a
// load from the weight store: the last order it accepted came from this leader and was of another
// kind. An unload, of an adapter too, keeps a server busy until the requests using it have
// finished.
func (s *server) isBusyWithOtherOrder() bool {
	last := s.lastAcceptedOrder
	if last == nil || s.unconfirmedOrder != nil || s.sequence != last.ExpectedSequence+1 {
		return false
	}
	return last.Operation != Load || last.Adapter != "" || last.Source != SourceStore
}

// hasStartedStoreLoad reports whether the server has begun a load from the weight store.
func (s *server) hasStartedStoreLoad() bool {
	if s.loading != nil {
		return s.loading.run != nil
	}
	return s.busy && !s.synced && !s.isBusyWithOtherOrder()
}

// trackStoreLoad starts measuring the load that the server has just accepted, if it is from the
// weight store.
func (c *Core) trackStoreLoad(now time.Time, s *server) {
	engine := c.engineOf(s.info.Service)
	if s.loading == nil || s.loading.source != SourceStore || engine == nil {
		return
	}
	concurrent := 1
	for _, other := range c.servers {
		if other.info.Service == s.info.Service && other != s && other.hasStartedStoreLoad() {
			concurrent++
		}
	}
	s.loading.run = newLoadRun(now, engine.Models[s.loading.model].Load, concurrent)
}

// recordLoadCompletion learns from a load that a report shows as complete. The content of the
// report may be up to maxReportAge old.
func (c *Core) recordLoadCompletion(now time.Time, s *server) {
	if s.loading == nil || !s.hasModel(s.loading.model) {
		return
	}
	delete(c.loadCrashes, modelKey{s.info.Service, s.loading.model})
	if s.loading.run == nil {
		return
	}
	c.storeLimitFor(s.info.Service).recordCompletion(s.loading.run)
}

// minReadyAtChange is the change of a load's expected end from which it is published again.
const minReadyAtChange = 300 * time.Millisecond

// updateLoadEstimates extends the measurements of all loads from weight stores to now, and
// updates their expected ends.
func (c *Core) updateLoadEstimates(now time.Time) {
	concurrentLoads := make(map[string]int)
	for _, s := range c.servers {
		if s.mayLoadFromStore() {
			concurrentLoads[s.info.Service]++
		}
	}
	overdue := make(map[string][]*loadRun)
	for _, s := range c.serversByID() {
		if s.loading == nil || s.loading.run == nil {
			continue
		}
		limit, concurrent := c.storeLimitFor(s.info.Service), concurrentLoads[s.info.Service]
		s.loading.run.extend(now, concurrent)
		if s.loading.run.isLate() {
			overdue[s.info.Service] = append(overdue[s.info.Service], s.loading.run)
		}
		s.loading.readyAt = now.Add(limit.remaining(s.loading.run, concurrent) + loadMargin)
		if moved := s.loading.readyAt.Sub(s.loading.announcedReadyAt); moved > minReadyAtChange || moved < -minReadyAtChange {
			s.loading.announcedReadyAt = s.loading.readyAt
			c.effects.ViewsChanged = true
		}
	}
	for service, runs := range overdue {
		c.storeLimitFor(service).recordOverdue(runs)
	}
}

// maxBusyReportInterval limits the pause between reports of a loading server.
const maxBusyReportInterval = 500 * time.Millisecond

// busyReportDelay returns the pause before the next report of a busy server.
func (s *server) busyReportDelay(now time.Time) time.Duration {
	if s.loading == nil || s.loading.run == nil {
		return busyReportInterval
	}
	return max(busyReportInterval, min(maxBusyReportInterval, s.loading.readyAt.Sub(now)/2))
}

// countStoreLoads counts the loads from the weight store that are in progress, or for which room
// is being made, except for the given model.
func (r *planRound) countStoreLoads(model string) int {
	count := 0
	for _, s := range r.servers {
		isLoading := s.mayLoadFromStore()
		isPlanned := s.reservation.source == SourceStore && s.isReservedForOther(r.now, model)
		if isLoading || isPlanned {
			count++
		}
	}
	return count
}

const (
	// lostAnswerMargin is the part of the load limit kept free for orders whose answers are lost.
	lostAnswerMargin = 2
	// burstLoads is the number of loads that the platform's limit on weight store loads permits
	// in any window in addition to the rate.
	burstLoads = 3
	// nonUrgentShare is the share of the limits available to loads that no request waits for.
	nonUrgentShare = 0.6
)

// maxLoadsPerWindow returns the number of loads from the weight store that may begin within any
// window.
func (c *Core) maxLoadsPerWindow(engine *routetable.Engine) int {
	return int(engine.LoadsPerSecond*c.options.Window.Seconds()*c.options.Overage) + burstLoads - lostAnswerMargin
}

// mayStartStoreLoad reports whether one more load from the weight store may begin.
func (r *planRound) mayStartStoreLoad(model string, urgent bool) bool {
	if r.core.loadBudget[r.service] <= 0 {
		return false
	}
	maxPerWindow := float64(r.core.maxLoadsPerWindow(r.engine))
	maxConcurrent := r.core.storeLimitFor(r.service).allowed()
	if !urgent {
		maxPerWindow *= nonUrgentShare
		maxConcurrent = max(1, maxConcurrent/2)
	}
	return float64(len(r.core.storeLoads[r.service])) < maxPerWindow && r.countStoreLoads(model) < maxConcurrent
}
