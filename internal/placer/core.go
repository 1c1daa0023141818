package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Core is the leader's state of one term. It is not safe for concurrent use.
type Core struct {
	options Options
	table   *routetable.Table
	servers map[string]*server
	demand  *Demand
	// storeLoads are the times at which loads from the weight store began, or
	// may have begun, within the last window.
	storeLoads map[string][]time.Time
	// limits are the loads at once that each weight store bears, by service.
	limits map[string]*storeLimit
	// reserved are the loads that may begin until the lease is written again.
	reserved map[string]int
	// badLoads are the models under whose loads servers ended.
	badLoads map[modelKey]*badLoads
	// ordered are the servers by name, until one comes or goes.
	ordered []*server
	// evacuated are the zones whose servers get no orders, and away the single servers.
	evacuated []string
	away      map[inventory.Start]bool
	effects   Effects
}

// New returns the core of a term that knows nothing yet.
func New(options Options) *Core {
	if options.Demand == nil {
		options.Demand = NewDemand()
	}
	return &Core{
		options:    options,
		servers:    make(map[string]*server),
		demand:     options.Demand,
		storeLoads: make(map[string][]time.Time),
		limits:     make(map[string]*storeLimit),
		reserved:   make(map[string]int),
		badLoads:   make(map[modelKey]*badLoads),
	}
}

// SetTable puts a configuration in force.
func (c *Core) SetTable(table *routetable.Table) { c.table = table }

// reservedLoads is the number of loads from a weight store that may begin
// between two writes of the lease. The lease says so before they begin.
const reservedLoads = 6

// ReserveLoads returns the loads from each weight store that began within the last
// window or may begin until the next call, as the times since. What it returns
// must stand in the lease before Reserved is called.
func (c *Core) ReserveLoads(now time.Time) map[string][]time.Duration {
	if c.table == nil {
		return nil
	}
	reserve := make(map[string][]time.Duration)
	for name, service := range c.table.Services {
		if service.Engine == nil {
			continue
		}
		for _, at := range c.storeLoads[name] {
			reserve[name] = append(reserve[name], now.Sub(at))
		}
		for range reservedLoads {
			reserve[name] = append(reserve[name], 0)
		}
	}
	return reserve
}

// ConfirmReservation tells that the lease says what Reserve returned.
func (c *Core) ConfirmReservation() {
	for name := range c.table.Services {
		c.reserved[name] = reservedLoads
	}
}

// AddPriorLoads counts the loads that earlier leaders may have begun.
func (c *Core) AddPriorLoads(loads map[string][]time.Time) {
	for name, begun := range loads {
		c.storeLoads[name] = append(c.storeLoads[name], begun...)
	}
}

// SetServers takes changes of the servers' entries.
func (c *Core) SetServers(now time.Time, changes []inventory.Change) {
	for _, change := range changes {
		id := change.Server.ID
		known, ok := c.servers[id]
		switch {
		case change.Gone:
			if ok {
				c.lose(now, known)
			}
			delete(c.servers, id)
			c.ordered = nil
		case !ok:
			if engine := c.engineOf(change.Server.Service); engine != nil {
				added := newServer(change.Server, now)
				added.setCopies(change.Server.InMemory, change.Server.OnDisk)
				c.close(added)
				c.servers[id] = added
				c.ordered = nil
			}
		case known.info.Start() != change.Server.Start():
			c.startsAgain(now, known, change.Server)
		default:
			known.info = change.Server
			known.isTold, known.rival = false, nil
			known.endClosedLoad()
			c.checkEntry(now, known)
		}
	}
}

// SetRunningRequests takes the requests of all nodes at each server.
func (c *Core) SetRunningRequests(running map[string]int) {
	for id, s := range c.servers {
		s.running = running[id]
	}
}

// checkEntry asks for a report where the entry names other models than this
// leader knows of. The entry lags, so this may be for nothing.
func (c *Core) checkEntry(now time.Time, s *server) {
	if !s.synced || s.ordering != nil || s.loading != nil {
		return
	}
	for _, model := range s.info.Models {
		if !s.has(model.Name) {
			s.askReport(now.Add(reportLag))
			return
		}
	}
	if len(s.info.Models) != len(s.held) {
		s.askReport(now.Add(reportLag))
	}
}

func (s *server) askReport(at time.Time) {
	if s.reportAt.IsZero() || at.Before(s.reportAt) {
		s.reportAt = at
	}
}

func (c *Core) engineOf(service string) *routetable.Engine {
	if c.table == nil {
		return nil
	}
	return c.table.Services[service].Engine
}

// Step advances to now and returns what is to be done; orders only where
// mayOrder is set.
func (c *Core) Step(now time.Time, mayOrder bool) Effects {
	if c.table == nil {
		return Effects{}
	}
	c.advance(now)
	if mayOrder {
		c.plan(now)
	}
	c.collectReports(now)
	effects := c.effects
	c.effects = Effects{}
	return effects
}

func (c *Core) collectReports(now time.Time) {
	for _, s := range c.sorted() {
		if s.reportAt.IsZero() || s.reporting || s.isClosed || now.Before(s.reportAt) {
			continue
		}
		s.reportAt = time.Time{}
		s.reporting = true
		c.effects.ReportRequests = append(c.effects.ReportRequests, ReportRequest{ServerID: s.info.ID, StartedAtMs: s.info.StartedAtMs, Address: s.info.Address})
	}
}

// sorted returns the servers in the order of their names, so that decisions
// repeat.
func (c *Core) sorted() []*server {
	if c.ordered != nil {
		return c.ordered
	}
	c.ordered = make([]*server, 0, len(c.servers))
	for _, s := range c.servers {
		c.ordered = append(c.ordered, s)
	}
	slices.SortFunc(c.ordered, func(a, b *server) int { return strings.Compare(a.info.ID, b.info.ID) })
	return c.ordered
}

// Times of the conversation with a server.
const (
	// reportLag is how old a report may be.
	reportLag = 130 * time.Millisecond
	// recheck is the pause between reports of a server that is still busy.
	recheck = 120 * time.Millisecond
	// reportRetry is the pause after a report that did not come.
	reportRetry = 500 * time.Millisecond
	// busyPause is the pause after an order that found the server busy, or did not reach
	// it. It doubles with each further one in a row up to longestBusyPause, and up to
	// longestUnreachedPause at a server that cannot be reached: such a one ended, as a
	// rule, and starts anew after a second or more. At a fixed pause a server that was
	// gone got the same order 13 times in 2 s, and one that unloaded 14 times.
	busyPause             = 40 * time.Millisecond
	longestBusyPause      = 320 * time.Millisecond
	longestUnreachedPause = time.Second
	// busyPatience is how long a server may be busy with what it was ordered
	// before its report is asked for.
	busyPatience = 600 * time.Millisecond
	// refusedPause is the pause after an order that the server can't do.
	refusedPause = 2 * time.Second
	// adapterTime is taken for an adapter from the store.
	adapterTime = 50 * time.Millisecond
)

// advance ends what its time has come for.
func (c *Core) advance(now time.Time) {
	for service, begun := range c.storeLoads {
		c.storeLoads[service] = slices.DeleteFunc(begun, func(at time.Time) bool {
			return now.Sub(at) > c.options.Window+windowSlack
		})
	}
	c.followLoads(now)
}

// windowSlack covers the way of an order to its server.
const windowSlack = 300 * time.Millisecond
