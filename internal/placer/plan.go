package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// round is the planning of one service's servers at one time.
type round struct {
	core    *Core
	now     time.Time
	service string
	engine  *routetable.Engine
	servers []*server
	// placed is where models stand now, and rooms what making room costs; both
	// are worked out once and again after an order.
	placed map[string]*placement
	rooms  map[roomKey]room
	// bounded are the interests in each model of callers whose requests may run in some
	// regions only; nil before they are looked up.
	bounded map[string][]boundedInterest
}

// interest is what is wanted of a model, or nil.
func (r *round) interest(model string) *interest {
	return r.core.demand.interests[dispatch.Requirements{Service: r.service, Model: model}]
}

func (c *Core) plan(now time.Time) {
	names := make([]string, 0, len(c.table.Services))
	for name, service := range c.table.Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	c.demand.countWaits(now)
	for _, name := range names {
		r := &round{
			core: c, now: now, service: name, engine: c.table.Services[name].Engine, servers: c.serversOf(name),
		}
		r.planModels()
		r.planAdapters()
	}
}

func (c *Core) serversOf(service string) []*server {
	var servers []*server
	for _, s := range c.sorted() {
		if s.info.Service == service {
			servers = append(servers, s)
		}
	}
	return servers
}

// planModels orders loads of the models that lack copies, and makes room for them.
func (r *round) planModels() {
	for _, wanted := range r.wants() {
		r.loadSomewhere(wanted)
	}
}

// wants lists the models that lack copies, the most urgent first.
func (r *round) wants() []want {
	var wants []want
	for name, model := range r.engine.Models {
		needed := r.needed(name)
		if needed == 0 {
			continue
		}
		copies, known := r.copiesOf(name), r.interest(name)
		stood := copies
		if known.isStuck(r.now) && !r.isLoading(name) && copies < needed+maxBeyond {
			// The copies that there are cannot be reached.
			copies = 0
		}
		if copies >= needed {
			continue
		}
		wanted := want{model: model, copies: copies, stood: stood, waiting: r.core.demand.waitsFor(r.service, name)}
		if known != nil {
			wanted.rate = known.fast.requests
		}
		wanted.need = r.needOf(wanted, known)
		wants = append(wants, wanted)
	}
	wants = append(wants, r.boundedWants()...)
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(
			-cmp.Compare(a.need, b.need),
			// A copy that must stand in some region may do for those who ask for any.
			-compareBool(a.regions.IsBounded(), b.regions.IsBounded()),
			-cmp.Compare(a.waiting, b.waiting),
			-cmp.Compare(a.rate/float64(a.copies+1), b.rate/float64(b.copies+1)),
			strings.Compare(a.model.Name, b.model.Name),
			strings.Compare(a.regions.String(), b.regions.String()),
		)
	})
	return wants
}

// maxBeyond bounds the copies beyond those needed that requests which cannot
// reach any get.
const maxBeyond = 2

// choice is one way to load a model.
type choice struct {
	server  *server
	victims []string
	source  Source
	takes   time.Duration
	// wait is the time until the server can take an order.
	wait time.Duration
	cost float64
}

// intentTime is how long a server that was emptied is kept for a model.
const intentTime = time.Second

// loadSomewhere orders one more copy of the model, or the first unload that makes
// room for it, where that may be done now.
func (r *round) loadSomewhere(wanted want) {
	model := wanted.model
	if r.isMadeRoomFor(model.Name, wanted.regions) || r.core.isLoadPaused(r.now, r.service, model.Name) {
		return
	}
	if r.copiesIn(model.Name, wanted.regions) > wanted.stood {
		// One was ordered for others just now.
		return
	}
	best := r.choose(wanted)
	if best.server == nil || best.wait > 0 {
		// A server that is busy now, and has the weights, is worth waiting for.
		return
	}
	if len(best.victims) > 0 {
		best.server.intent = intent{model: model.Name, source: best.source, takes: best.takes, until: r.now.Add(intentTime)}
		r.orderUnload(best.server, best.victims[0], "room_for_"+model.Name)
		return
	}
	r.orderLoad(best, model, wanted.need.String())
}

// choose returns the way to load the model that costs least, busy servers
// included; its server is nil where there is none.
func (r *round) choose(wanted want) choice {
	model, need := wanted.model, wanted.need
	best := choice{cost: math.Inf(1)}
	mayAskStore := r.storeAllows(model.Name, need >= needDisplaced)
	for _, s := range r.servers {
		wait, isKnown := s.freeIn(r.now)
		if !isKnown || s.has(model.Name) || s.isKeptFor(r.now, model.Name) || !r.isIn(s, wanted.regions) {
			continue
		}
		takes, source := s.loadTime(model)
		if source == SourceStore && !mayAskStore {
			continue
		}
		if wait.Seconds()+takes.Seconds() >= best.cost+intentBonus {
			continue
		}
		victims, penalty := r.roomFor(s, model)
		cost := wait.Seconds() + takes.Seconds() + penalty + r.placeCost(s, model.Name)
		if s.isMeantFor(r.now, model.Name) {
			cost -= intentBonus
		}
		if penalty > need.maxPenalty() {
			continue
		}
		if cost < best.cost {
			best = choice{server: s, victims: victims, source: source, takes: takes, wait: wait, cost: cost}
		}
	}
	return best
}

// intentBonus makes a load go where room was made for it.
const intentBonus = 1.0

// hasIntent reports whether the server is kept for some model.
func (s *server) hasIntent(now time.Time) bool {
	return s.intent.model != "" && now.Before(s.intent.until)
}

func (s *server) isMeantFor(now time.Time, model string) bool {
	return s.hasIntent(now) && s.intent.model == model
}

// isMadeRoomFor reports whether a server in the regions that is being emptied for the
// model cannot take it yet. No other is emptied for it meanwhile.
func (r *round) isMadeRoomFor(model string, regions locality.Regions) bool {
	for _, s := range r.servers {
		if r.isIn(s, regions) && s.isMeantFor(r.now, model) && s.takesOrders() && !s.canTake(r.now) {
			return true
		}
	}
	return false
}

// isKeptFor reports whether room was made for another model.
func (s *server) isKeptFor(now time.Time, model string) bool {
	return s.hasIntent(now) && s.intent.model != model
}

func (r *round) orderLoad(best choice, model routetable.Model, reason string) {
	s := best.server
	takes := best.takes
	if best.source == SourceStore {
		r.core.storeLoads[r.service] = append(r.core.storeLoads[r.service], r.now)
		r.core.reserved[r.service]--
		takes = time.Duration(float64(takes) * max(1, float64(r.storeLoading(model.Name)+1)/r.core.limitOf(r.service).width()))
	}
	ready := r.now.Add(takes + loadMargin)
	s.loading = &loading{model: model.Name, source: best.source, ready: ready, told: ready}
	r.ordered()
	r.core.give(s, Order{Operation: Load, Model: model.Name, Source: best.source, Reason: reason})
}

// loadMargin covers the way of an order and what a load takes beyond its time.
const loadMargin = 40 * time.Millisecond

func (r *round) orderUnload(s *server, model, reason string) {
	s.unloading = model
	r.ordered()
	r.core.give(s, Order{Operation: Unload, Model: model, Reason: reason})
}

// give books the order and hands it out.
func (c *Core) give(s *server, order Order) {
	order.ServerID, order.StartedAtMs = s.info.ID, s.info.StartedAtMs
	order.Address = s.info.Address
	order.ExpectedSequence = s.sequence
	s.ordering = &order
	c.effects.Orders = append(c.effects.Orders, order)
	c.effects.ViewsChanged = true
}
