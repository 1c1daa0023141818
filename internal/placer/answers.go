package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// HandleReport takes a server's report; ok is false where none came.
func (c *Core) HandleReport(now time.Time, id string, report Report, ok bool) {
	s, known := c.servers[id]
	if !known {
		return
	}
	s.reporting = false
	if !ok {
		s.askReport(now.Add(reportRetry))
		return
	}
	if start := (inventory.Start{ID: id, StartedAtMs: report.StartedAtMs}); report.StartedAtMs != 0 && start != s.info.Start() {
		if s = c.startReported(now, s, start); s == nil {
			return
		}
	}
	if s.ordering != nil || report.Sequence < s.sequence {
		// The report is older than the last order.
		s.askReport(now.Add(recheck))
		return
	}
	if report.Sequence > s.sequence {
		s.unsure = nil
	}
	c.applyReport(now, s, report)
}

// startReported is the server as the start that its report is of; nil where that start is over.
func (c *Core) startReported(now time.Time, known *server, start inventory.Start) *server {
	if known.rival != nil && known.rival.Start() == start {
		// The server's clock went back, as the store says too.
		known.isTold = false
		return c.startsAgain(now, known, *known.rival)
	}
	if known.info.Start().IsLaterThan(start) {
		// An answer of the start before.
		known.askReport(now.Add(recheck))
		return nil
	}
	again := known.info
	again.StartedAtMs, again.Models, again.InMemory = start.StartedAtMs, nil, nil
	started := c.startsAgain(now, known, again)
	started.isTold = true
	return started
}

func (c *Core) applyReport(now time.Time, s *server, report Report) {
	s.sequence = report.Sequence
	s.dropStrays(now)
	fresh := make(map[string]*held, len(report.Models))
	for _, model := range report.Models {
		fresh[model.Name] = s.heldAs(now, model)
	}
	for _, pending := range report.Pending {
		if model, ok := fresh[pending.Model]; ok && model.adapters[pending.Adapter] == nil {
			model.adapters[pending.Adapter] = &adapter{ready: now.Add(adapterTime), lastUse: now}
		}
	}
	s.held = fresh
	s.setCopies(report.InMemory, report.OnDisk)
	c.effects.ViewsChanged = true
	s.busy = report.Busy
	if report.Busy {
		s.synced = s.loading != nil || s.unloading != ""
		s.askReport(now.Add(s.recheckIn(now)))
		return
	}
	c.loadEnded(now, s)
	s.loading = nil
	s.unloading = ""
	s.synced = true
	s.busySince = time.Time{}
}

// heldAs keeps what is known of a model that a report names.
func (s *server) heldAs(now time.Time, model inventory.HeldModel) *held {
	known, ok := s.held[model.Name]
	fresh := &held{since: now, adapters: make(map[string]*adapter, len(model.Adapters))}
	if ok {
		fresh.since = known.since
	}
	for _, name := range model.Adapters {
		if ok && known.adapters[name] != nil {
			fresh.adapters[name] = known.adapters[name]
			continue
		}
		fresh.adapters[name] = &adapter{ready: now, lastUse: now}
	}
	return fresh
}

// HandleOrderResult takes the answer to an order.
func (c *Core) HandleOrderResult(now time.Time, order Order, result Result) {
	s, ok := c.servers[order.ServerID]
	if !ok || s.ordering == nil || order.StartedAtMs != s.info.StartedAtMs {
		return
	}
	s.ordering = nil
	if result != ResultBusy && result != ResultNotSent {
		s.refusals = 0
	}
	switch result {
	case ResultTaken:
		s.sequence = order.ExpectedSequence + 1
		s.unsure = nil
		s.lastTaken = &order
		s.busySince = time.Time{}
		c.took(now, s, order)
		if s.loading != nil {
			s.askReport(s.loading.ready)
		}
	case ResultHeld:
		c.undo(s, order)
		s.askReport(now)
	case ResultBusy:
		c.undo(s, order)
		s.keepFor(now, order)
		c.foundBusy(now, s)
	case ResultNotSent:
		c.undo(s, order)
		s.pauseUntil = now.Add(s.nextPause(longestUnreachedPause))
	case ResultUnknown:
		s.unsure = &order
		s.synced = false
		s.askReport(now.Add(reportLag))
	case ResultGone:
		delete(c.servers, order.ServerID)
		c.ordered = nil
	default:
		c.undo(s, order)
		s.pauseUntil = now.Add(refusedPause)
		s.synced = false
		s.askReport(now.Add(busyPause))
	}
	c.effects.ViewsChanged = true
}

// foundBusy tries again soon at a server that is still carrying out this
// leader's last order. Where that goes on, or its count may have moved, only a
// report can tell.
func (c *Core) foundBusy(now time.Time, s *server) {
	if s.busySince.IsZero() {
		s.busySince = now
	}
	s.pauseUntil = now.Add(s.nextPause(longestBusyPause))
	if s.unsure == nil && now.Sub(s.busySince) < busyPatience {
		return
	}
	s.synced = false
	s.askReport(now.Add(busyPause))
}

// nextPause is the pause after one more order in a row that the server did not take.
func (s *server) nextPause(longest time.Duration) time.Duration {
	pause := min(longest, busyPause<<min(s.refusals, maxDoublings))
	s.refusals++
	return pause
}

// maxDoublings keeps the pause from running over; it is at its bounds before.
const maxDoublings = 8

// keepFor keeps a server that was emptied for a model, and is still unloading,
// for that model: the one that was dropped would come back at once.
func (s *server) keepFor(now time.Time, order Order) {
	if order.Operation == Load && order.Adapter == "" && s.intent.model == order.Model {
		s.intent.until = now.Add(intentTime)
	}
}

// took books an order that the server is carrying out.
func (c *Core) took(now time.Time, s *server, order Order) {
	switch {
	case order.Operation == Unload && order.Adapter == "":
		delete(s.held, order.Model)
		s.unloading = ""
	case order.Operation == Unload:
		if model, ok := s.held[order.Model]; ok {
			delete(model.adapters, order.Adapter)
		}
	case order.Operation == Load && order.Adapter == "":
		s.intent = intent{}
		c.loadBegan(now, s)
	case order.Operation == Load:
		if model, ok := s.held[order.Model]; ok {
			model.adapters[order.Adapter] = &adapter{ready: now.Add(adapterTime), lastUse: now}
		}
	}
}

// undo takes back what was booked when the order was given. Adapters are booked
// with the answer alone.
func (c *Core) undo(s *server, order Order) {
	if order.Operation == Load && order.Adapter == "" {
		s.loading = nil
	}
	if order.Operation == Unload && order.Adapter == "" {
		s.unloading = ""
	}
}
