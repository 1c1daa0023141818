package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Core is the state of the leader during one term. It is not safe for concurrent use.
type Core struct {
	options Options
	table   *routetable.Table
	servers map[string]*server
	demand  *Demand
	// storeLoads holds the start times of the loads from each weight store that began, or may
	// have begun, within the last window.
	storeLoads map[string][]time.Time
	// storeLimits holds the concurrency limit of each weight store, by service.
	storeLimits map[string]*storeLimit
	// loadBudget is the number of loads from each weight store that may begin before the next
	// lease write.
	loadBudget map[string]int
	// loadCrashes holds the models whose loads crashed servers.
	loadCrashes map[modelKey]*loadCrashes
	// formerOrders are the unanswered orders to servers without an entry, those of earlier terms included.
	formerOrders *FormerOrders
	// sortedServers caches the servers in order of ID; nil after a server was added or removed.
	sortedServers []*server
	// evacuatedZones are the zones whose servers get no orders, and unavailable the single server
	// starts that get none.
	evacuatedZones []string
	unavailable    map[inventory.Start]bool
	effects        Effects
}

// New returns the core for a new term, which knows no servers yet.
func New(options Options) *Core {
	if options.Demand == nil {
		options.Demand = NewDemand()
	}
	if options.FormerOrders == nil {
		options.FormerOrders = NewFormerOrders()
	}
	return &Core{
		options:     options,
		servers:     make(map[string]*server),
		demand:      options.Demand,
		storeLoads:  make(map[string][]time.Time),
		storeLimits: make(map[string]*storeLimit),
		loadBudget:  make(map[string]int),
		loadCrashes: make(map[modelKey]*loadCrashes),

		formerOrders: options.FormerOrders,
	}
}

// SetTable applies a configuration.
func (c *Core) SetTable(table *routetable.Table) { c.table = table }

// loadsPerReservation is the number of loads from a weight store that may begin between two lease
// writes. The lease records them before they begin.
const loadsPerReservation = 6

// ReserveLoads returns, by service, the ages of the loads from its weight store that began within
// the last window or may begin before the next call. The result must be written to the lease
// before ConfirmReservation is called.
func (c *Core) ReserveLoads(now time.Time) map[string][]time.Duration {
	if c.table == nil {
		return nil
	}
	loads := make(map[string][]time.Duration)
	for name, service := range c.table.Services {
		if service.Engine == nil {
			continue
		}
		for _, at := range c.storeLoads[name] {
			loads[name] = append(loads[name], now.Sub(at))
		}
		for range loadsPerReservation {
			loads[name] = append(loads[name], 0)
		}
	}
	return loads
}

// ConfirmReservation is called once the lease contains the result of ReserveLoads.
func (c *Core) ConfirmReservation() {
	for name := range c.table.Services {
		c.loadBudget[name] = loadsPerReservation
	}
}

// AddPriorLoads adds the loads that earlier leaders may have begun.
func (c *Core) AddPriorLoads(loads map[string][]time.Time) {
	for name, startTimes := range loads {
		c.storeLoads[name] = append(c.storeLoads[name], startTimes...)
	}
}

// SetServers applies changes to the servers' store entries.
func (c *Core) SetServers(now time.Time, changes []inventory.Change) {
	for _, change := range changes {
		id := change.Server.ID
		existing, ok := c.servers[id]
		switch {
		case change.Gone:
			if ok {
				c.recordServerLoss(now, existing)
			}
			c.removeServer(now, id)
		case !ok:
			if engine := c.engineOf(change.Server.Service); engine != nil {
				c.addServer(now, change.Server)
			}
		case existing.info.Start() != change.Server.Start():
			c.replaceRestarted(now, existing, change.Server)
		default:
			existing.info = change.Server
			existing.isStartUnconfirmed, existing.conflictingEntry = false, nil
			existing.finishUnavailableLoad()
			c.reconcileEntry(now, existing)
		}
	}
}

// SetRunningRequests sets the number of requests that all nodes together have running on each
// server.
func (c *Core) SetRunningRequests(running map[string]int) {
	for id, s := range c.servers {
		s.running = running[id]
	}
}

// reconcileEntry requests a report if the store entry lists other models than this leader has
// recorded. Entries lag, so the report may bring nothing new.
func (c *Core) reconcileEntry(now time.Time, s *server) {
	if !s.synced || s.pendingOrder != nil || s.loading != nil {
		return
	}
	for _, model := range s.info.Models {
		if !s.hasModel(model.Name) {
			s.scheduleReport(now.Add(maxReportAge))
			return
		}
	}
	if len(s.info.Models) != len(s.models) {
		s.scheduleReport(now.Add(maxReportAge))
	}
}

// scheduleReport requests a report at the given time, unless an earlier one is already due.
func (s *server) scheduleReport(at time.Time) {
	if s.nextReportAt.IsZero() || at.Before(s.nextReportAt) {
		s.nextReportAt = at
	}
}

// engineOf returns the engine settings of a service, or nil if it is unknown or has none.
func (c *Core) engineOf(service string) *routetable.Engine {
	if c.table == nil {
		return nil
	}
	return c.table.Services[service].Engine
}

// Step advances to now and returns the calls to make. It issues orders only if mayOrder is set.
func (c *Core) Step(now time.Time, mayOrder bool) Effects {
	if c.table == nil {
		return Effects{}
	}
	c.advanceTo(now)
	if mayOrder {
		c.plan(now)
	}
	c.requestDueReports(now)
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// requestDueReports adds a report request for every server whose report is due.
func (c *Core) requestDueReports(now time.Time) {
	for _, s := range c.serversByID() {
		if s.nextReportAt.IsZero() || s.reportInFlight || s.isUnavailable || now.Before(s.nextReportAt) {
			continue
		}
		s.nextReportAt = time.Time{}
		s.reportInFlight = true
		c.effects.ReportRequests = append(c.effects.ReportRequests, ReportRequest{ServerID: s.info.ID, StartedAtMs: s.info.StartedAtMs, Address: s.info.Address})
	}
}

// serversByID returns the servers in order of ID, which makes decisions reproducible.
func (c *Core) serversByID() []*server {
	if c.sortedServers != nil {
		return c.sortedServers
	}
	c.sortedServers = make([]*server, 0, len(c.servers))
	for _, s := range c.servers {
		c.sortedServers = append(c.sortedServers, s)
	}
	slices.SortFunc(c.sortedServers, func(a, b *server) int { return strings.Compare(a.info.ID, b.info.ID) })
	return c.sortedServers
}

// Timing of reports and orders.
const (
	// maxReportAge is how old the content of a report may be.
	maxReportAge = 130 * time.Millisecond
	// busyReportInterval is the pause between reports of a server that is still busy.
	busyReportInterval = 120 * time.Millisecond
	// reportRetryDelay is the pause after a failed request for a report.
	reportRetryDelay = 500 * time.Millisecond
	// initialRetryPause is the pause after an order that found the server busy or did not reach
	// it. It doubles with each further one in a row, up to maxBusyPause for a busy server and up
	// to maxUnreachablePause for an unreachable one, which has usually crashed and restarts after
	// a second or more. With a fixed pause, a stopped server was sent the same order 13 times
	// within 2 s, and an unloading one 14 times.
	initialRetryPause   = 40 * time.Millisecond
	maxBusyPause        = 320 * time.Millisecond
	maxUnreachablePause = time.Second
	// busyTimeout is how long a server may be busy with an order before its report is requested.
	busyTimeout = 600 * time.Millisecond
	// refusedPause is the pause after an order that the server cannot execute.
	refusedPause = 2 * time.Second
	// adapterLoadTime is the assumed time to load an adapter from the store.
	adapterLoadTime = 50 * time.Millisecond
)

// advanceTo drops loads that have left the window, and updates the estimates of loads in
// progress.
func (c *Core) advanceTo(now time.Time) {
	for service, startTimes := range c.storeLoads {
		c.storeLoads[service] = slices.DeleteFunc(startTimes, func(at time.Time) bool {
			return now.Sub(at) > c.options.Window+windowSlack
		})
	}
	c.updateLoadEstimates(now)
	c.formerOrders.drop(now)
}

// windowSlack covers the delay between issuing an order and its arrival at the server.
const windowSlack = 300 * time.Millisecond
