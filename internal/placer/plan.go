package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// planRound plans the servers of one service at one point in time.
type planRound struct {
	core    *Core
	now     time.Time
	service string
	engine  *routetable.Engine
	servers []*server
	// placements and evictions cache the current placements and the costs of making room. They
	// are computed on first use and again after an order.
	placements map[string]*placement
	evictions  map[evictionKey]eviction
	// constrainedDemands caches the demand that is bound by a constraint, by model; nil before the
	// first use.
	constrainedDemands map[string][]constrainedDemand
}

// demandFor returns the demand for a model without a region restriction, or nil.
func (r *planRound) demandFor(model string) *demandRecord {
	return r.core.demand.records[dispatch.Requirements{Service: r.service, Model: model}]
}

// plan issues orders for the servers of each service.
func (c *Core) plan(now time.Time) {
	names := make([]string, 0, len(c.table.Services))
	for name, service := range c.table.Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	c.demand.refreshTotals(now)
	for _, name := range names {
		r := &planRound{
			core: c, now: now, service: name, engine: c.table.Services[name].Engine, servers: c.serversOf(name),
		}
		r.planModels()
		r.planAdapters()
	}
}

func (c *Core) serversOf(service string) []*server {
	var servers []*server
	for _, s := range c.serversByID() {
		if s.info.Service == service {
			servers = append(servers, s)
		}
	}
	return servers
}

// planModels orders loads of models in short supply, and makes room for them.
func (r *planRound) planModels() {
	for _, shortage := range r.shortages() {
		r.scheduleLoad(shortage)
	}
}

// shortages lists the models in short supply, the most urgent first.
func (r *planRound) shortages() []modelShortage {
	var shortages []modelShortage
	for name, model := range r.engine.Models {
		needed := r.neededCopies(name)
		if needed == 0 {
			continue
		}
		copies, demand := r.copiesOf(name), r.demandFor(name)
		initialCopies := copies
		if demand.isStuck(r.now) && !r.isLoading(name) && copies < needed+maxExtraCopies {
			// The existing copies are unreachable.
			copies = 0
		}
		if copies >= needed {
			continue
		}
		shortage := modelShortage{model: model, copies: copies, initialCopies: initialCopies, waiting: r.core.demand.waitingFor(r.service, name)}
		if demand != nil {
			shortage.rate = demand.fastRate.requests
		}
		shortage.priority = r.priorityOf(shortage, demand)
		shortages = append(shortages, shortage)
	}
	shortages = append(shortages, r.constrainedShortages()...)
	slices.SortFunc(shortages, func(a, b modelShortage) int {
		return cmp.Or(
			-cmp.Compare(a.priority, b.priority),
			// A copy that meets a constraint may also serve requests without one.
			-compareBool(a.constraint.isBounded(), b.constraint.isBounded()),
			-cmp.Compare(a.waiting, b.waiting),
			-cmp.Compare(a.rate/float64(a.copies+1), b.rate/float64(b.copies+1)),
			strings.Compare(a.model.Name, b.model.Name),
			strings.Compare(a.constraint.String(), b.constraint.String()),
		)
	})
	return shortages
}

// maxExtraCopies limits the copies beyond those needed that are added because requests cannot
// reach any copy.
const maxExtraCopies = 2

// loadOption is one way to load a model.
type loadOption struct {
	server   *server
	victims  []string
	source   Source
	loadTime time.Duration
	// wait is the time until the server can accept an order.
	wait time.Duration
	cost float64
}

// reservationTime is how long a server on which room was made stays reserved for the model.
const reservationTime = time.Second

// scheduleLoad orders one more copy of the model, or the first unload that makes room for it, if
// that is possible now.
func (r *planRound) scheduleLoad(shortage modelShortage) {
	model := shortage.model
	if r.isRoomBeingMade(model.Name, shortage.constraint) || r.core.isLoadPaused(r.now, r.service, model.Name) {
		return
	}
	if r.copiesMeeting(model.Name, shortage.constraint) > shortage.initialCopies {
		// A copy was just ordered for another shortage of the same model.
		return
	}
	best := r.cheapestLoad(shortage)
	if best.server == nil || best.wait > 0 {
		// Waiting for a busy server that has the weights is cheaper than loading elsewhere.
		return
	}
	if len(best.victims) > 0 {
		best.server.reservation = reservation{model: model.Name, source: best.source, loadTime: best.loadTime, until: r.now.Add(reservationTime)}
		r.orderUnload(best.server, best.victims[0], "room_for_"+model.Name)
		return
	}
	r.orderLoad(best, model, shortage.priority.String())
}

// cheapestLoad returns the cheapest way to load the model, including on servers that are busy.
// Its server is nil if there is none.
func (r *planRound) cheapestLoad(shortage modelShortage) loadOption {
	model, priority := shortage.model, shortage.priority
	best := loadOption{cost: math.Inf(1)}
	mayUseStore := r.mayStartStoreLoad(model.Name, priority >= priorityDisplaced)
	for _, s := range r.servers {
		wait, isKnown := s.timeUntilFree(r.now)
		if !isKnown || s.hasModel(model.Name) || s.isReservedForOther(r.now, model.Name) || !r.meets(s, shortage.constraint) {
			continue
		}
		loadTime, source := s.loadTime(model)
		if source == SourceStore && !mayUseStore {
			continue
		}
		if wait.Seconds()+loadTime.Seconds() >= best.cost+reservationBonus {
			continue
		}
		victims, penalty := r.evictionFor(s, model)
		cost := wait.Seconds() + loadTime.Seconds() + penalty + r.localityCost(s, model.Name)
		if s.isReservedFor(r.now, model.Name) {
			cost -= reservationBonus
		}
		if penalty > priority.maxPenalty() {
			continue
		}
		if cost < best.cost {
			best = loadOption{server: s, victims: victims, source: source, loadTime: loadTime, wait: wait, cost: cost}
		}
	}
	return best
}

// reservationBonus directs a load to the server on which room was made for it.
const reservationBonus = 1.0

// isReserved reports whether the server is reserved for any model.
func (s *server) isReserved(now time.Time) bool {
	return s.reservation.model != "" && now.Before(s.reservation.until)
}

func (s *server) isReservedFor(now time.Time, model string) bool {
	return s.isReserved(now) && s.reservation.model == model
}

// isRoomBeingMade reports whether a server that meets the constraint is reserved for the model but cannot
// accept its load yet. Meanwhile, no room is made on another server.
func (r *planRound) isRoomBeingMade(model string, c constraint) bool {
	for _, s := range r.servers {
		if r.meets(s, c) && s.isReservedFor(r.now, model) && s.isSchedulable() && !s.canAcceptOrder(r.now) {
			return true
		}
	}
	return false
}

// isReservedForOther reports whether the server is reserved for another model.
func (s *server) isReservedForOther(now time.Time, model string) bool {
	return s.isReserved(now) && s.reservation.model != model
}

// orderLoad issues a load order and records the load in progress.
func (r *planRound) orderLoad(option loadOption, model routetable.Model, reason string) {
	s := option.server
	loadTime := option.loadTime
	if option.source == SourceStore {
		r.core.storeLoads[r.service] = append(r.core.storeLoads[r.service], r.now)
		r.core.loadBudget[r.service]--
		loadTime = time.Duration(float64(loadTime) * max(1, float64(r.countStoreLoads(model.Name)+1)/r.core.storeLimitFor(r.service).fullSpeedLoads()))
	}
	readyAt := r.now.Add(loadTime + loadMargin)
	s.loading = &modelLoad{model: model.Name, source: option.source, readyAt: readyAt, announcedReadyAt: readyAt}
	r.invalidateCaches()
	r.core.issueOrder(s, Order{Operation: Load, Model: model.Name, Source: option.source, Reason: reason})
}

// loadMargin covers the transmission of an order and the overhead of a load.
const loadMargin = 40 * time.Millisecond

func (r *planRound) orderUnload(s *server, model, reason string) {
	s.unloading = model
	r.invalidateCaches()
	r.core.issueOrder(s, Order{Operation: Unload, Model: model, Reason: reason})
}

// issueOrder records the order as pending and adds it to the effects.
func (c *Core) issueOrder(s *server, order Order) {
	order.ServerID, order.StartedAtMs = s.info.ID, s.info.StartedAtMs
	order.Address = s.info.Address
	order.ExpectedSequence = s.sequence
	s.pendingOrder = &order
	c.effects.Orders = append(c.effects.Orders, order)
	c.effects.ViewsChanged = true
}
