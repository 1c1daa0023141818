package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// HandleReport applies the report of a server; ok is false if the request for it failed.
func (c *Core) HandleReport(now time.Time, id string, report Report, ok bool) {
	s, known := c.servers[id]
	if !known {
		return
	}
	s.reportInFlight = false
	if !ok {
		s.scheduleReport(now.Add(reportRetryDelay))
		return
	}
	if start := (inventory.Start{ID: id, StartedAtMs: report.StartedAtMs}); report.StartedAtMs != 0 && start != s.info.Start() {
		if s = c.resolveReportedStart(now, s, start); s == nil {
			return
		}
	}
	if s.pendingOrder != nil || report.Sequence < s.sequence {
		// The report was made before the last order took effect.
		s.scheduleReport(now.Add(busyReportInterval))
		return
	}
	if report.Sequence > s.sequence {
		s.unconfirmedOrder = nil
	}
	c.applyReport(now, s, report)
}

// resolveReportedStart returns the server in the start that a report belongs to, or nil if that
// start has already been superseded.
func (c *Core) resolveReportedStart(now time.Time, existing *server, reported inventory.Start) *server {
	if existing.conflictingEntry != nil && existing.conflictingEntry.Start() == reported {
		// The server's clock went back: its report and its store entry agree on the earlier start
		// time.
		existing.isStartUnconfirmed = false
		return c.replaceRestarted(now, existing, *existing.conflictingEntry)
	}
	if existing.info.Start().IsLaterThan(reported) {
		// The report is from the previous start.
		existing.scheduleReport(now.Add(busyReportInterval))
		return nil
	}
	restarted := existing.info
	restarted.StartedAtMs, restarted.Models, restarted.InMemory = reported.StartedAtMs, nil, nil
	restarted.SoftwareVersion = ""
	replaced := c.replaceRestarted(now, existing, restarted)
	replaced.isStartUnconfirmed = true
	return replaced
}

// applyReport replaces what is known about a server with the content of its report.
func (c *Core) applyReport(now time.Time, s *server, report Report) {
	s.sequence = report.Sequence
	s.dropStaleOrders(now)
	models := make(map[string]*heldModel, len(report.Models))
	for _, model := range report.Models {
		models[model.Name] = s.mergeHeldModel(now, model)
	}
	for _, pending := range report.Pending {
		if model, ok := models[pending.Model]; ok && model.adapters[pending.Adapter] == nil {
			model.adapters[pending.Adapter] = &heldAdapter{readyAt: now.Add(adapterLoadTime), lastUsed: now}
		}
	}
	s.models = models
	s.setCachedWeights(report.InMemory, report.OnDisk)
	c.effects.ViewsChanged = true
	s.busy = report.Busy
	if report.Busy {
		s.synced = s.loading != nil || s.unloading != ""
		s.scheduleReport(now.Add(s.busyReportDelay(now)))
		return
	}
	c.recordLoadCompletion(now, s)
	s.loading = nil
	s.unloading = ""
	s.synced = true
	s.busySince = time.Time{}
}

// mergeHeldModel returns the state of a reported model, keeping the times already recorded for
// it.
func (s *server) mergeHeldModel(now time.Time, model inventory.HeldModel) *heldModel {
	existing, ok := s.models[model.Name]
	merged := &heldModel{loadedAt: now, adapters: make(map[string]*heldAdapter, len(model.Adapters))}
	if ok {
		merged.loadedAt = existing.loadedAt
	}
	for _, name := range model.Adapters {
		if ok && existing.adapters[name] != nil {
			merged.adapters[name] = existing.adapters[name]
			continue
		}
		merged.adapters[name] = &heldAdapter{readyAt: now, lastUsed: now}
	}
	return merged
}

// HandleOrderResult applies the result of an order.
func (c *Core) HandleOrderResult(now time.Time, order Order, result Result) {
	s, ok := c.servers[order.ServerID]
	if !ok || s.pendingOrder == nil || order.StartedAtMs != s.info.StartedAtMs {
		return
	}
	s.pendingOrder = nil
	if result != ResultBusy && !result.IsUnsent() {
		s.refusals = 0
	}
	switch result {
	case ResultTaken:
		s.sequence = order.ExpectedSequence + 1
		s.unconfirmedOrder = nil
		s.lastAcceptedOrder = &order
		s.busySince = time.Time{}
		c.applyAcceptedOrder(now, s, order)
		if s.loading != nil {
			s.scheduleReport(s.loading.readyAt)
		}
	case ResultHeld:
		c.rollBackOrder(s, order)
		s.scheduleReport(now)
	case ResultBusy:
		c.rollBackOrder(s, order)
		s.extendReservation(now, order)
		c.handleBusy(now, s)
	case ResultNotSent, ResultUnreached:
		c.rollBackOrder(s, order)
		s.pauseUntil = now.Add(s.nextRetryPause(maxUnreachablePause))
	case ResultUnknown:
		s.unconfirmedOrder = &order
		s.synced = false
		s.scheduleReport(now.Add(maxReportAge))
	case ResultGone:
		c.removeServer(now, order.ServerID)
	default:
		c.rollBackOrder(s, order)
		s.pauseUntil = now.Add(refusedPause)
		s.synced = false
		s.scheduleReport(now.Add(initialRetryPause))
	}
	c.effects.ViewsChanged = true
}

// handleBusy schedules a retry for a server that is still executing this leader's last order. If
// the server stays busy for busyTimeout, or its sequence number may have advanced, only a report
// can tell its state, so one is requested.
func (c *Core) handleBusy(now time.Time, s *server) {
	if s.busySince.IsZero() {
		s.busySince = now
	}
	s.pauseUntil = now.Add(s.nextRetryPause(maxBusyPause))
	if s.unconfirmedOrder == nil && now.Sub(s.busySince) < busyTimeout {
		return
	}
	s.synced = false
	s.scheduleReport(now.Add(initialRetryPause))
}

// nextRetryPause returns the pause after one more consecutive order that the server did not
// accept.
func (s *server) nextRetryPause(maxPause time.Duration) time.Duration {
	pause := min(maxPause, initialRetryPause<<min(s.refusals, maxPauseDoublings))
	s.refusals++
	return pause
}

// maxPauseDoublings prevents the shift from overflowing; every pause reaches its maximum with
// fewer doublings.
const maxPauseDoublings = 8

// extendReservation keeps the room made on a server reserved for a model while the server is
// still unloading. Otherwise the evicted model would be loaded again at once.
func (s *server) extendReservation(now time.Time, order Order) {
	if order.Operation == Load && order.Adapter == "" && s.reservation.model == order.Model {
		s.reservation.until = now.Add(reservationTime)
	}
}

// applyAcceptedOrder records the effects of an order that the server has accepted.
func (c *Core) applyAcceptedOrder(now time.Time, s *server, order Order) {
	switch {
	case order.Operation == Unload && order.Adapter == "":
		delete(s.models, order.Model)
		s.unloading = ""
	case order.Operation == Unload:
		if model, ok := s.models[order.Model]; ok {
			delete(model.adapters, order.Adapter)
		}
	case order.Operation == Load && order.Adapter == "":
		s.reservation = reservation{}
		c.trackStoreLoad(now, s)
	case order.Operation == Load:
		if model, ok := s.models[order.Model]; ok {
			model.adapters[order.Adapter] = &heldAdapter{readyAt: now.Add(adapterLoadTime), lastUsed: now}
		}
	}
}

// rollBackOrder reverts what was recorded when the order was issued. Adapter orders are recorded
// only once they are accepted, so there is nothing to revert for them.
func (c *Core) rollBackOrder(s *server, order Order) {
	if order.Operation == Load && order.Adapter == "" {
		s.loading = nil
	}
	if order.Operation == Unload && order.Adapter == "" {
		s.unloading = ""
	}
}
