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

// want is one model that has fewer copies than wanted.
type want struct {
	model   routetable.Model
	copies  int
	needed  int
	waiting int
	rate    float64
}

func (c *Core) plan(now time.Time) {
	names := make([]string, 0, len(c.table.Services))
	for name, service := range c.table.Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	c.countWaits(now)
	for _, name := range names {
		engine := c.table.Services[name].Engine
		servers := c.serversOf(name)
		c.planModels(now, name, engine, servers)
		c.planAdapters(now, name, engine, servers)
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

// Thresholds of demand.
const (
	// copyTokens is the prompt tokens in a second that call for one more copy.
	copyTokens = 12000.0
	// spareRate is the requests in a second from which a model has two copies,
	// so that the loss of one leaves another.
	spareRate = 0.5
	// interestAge is how long a model that was asked for is kept wanted.
	interestAge = 20 * time.Second
)

// needed is the number of copies that a model should have by the demand of now.
func (c *Core) needed(now time.Time, service, model string, servers int) int {
	known, ok := c.interests[dispatch.Wanted{Service: service, Model: model}]
	if !ok || now.Sub(known.lastAsk) > interestAge {
		return 0
	}
	known.fade(now)
	return copiesFor(known.fast, servers)
}

// kept is the number of copies that are kept by the demand of some time, which
// falls more slowly than it rises.
func (c *Core) kept(now time.Time, service, model string, servers int) int {
	known, ok := c.interests[dispatch.Wanted{Service: service, Model: model}]
	if !ok {
		return 0
	}
	known.fade(now)
	return max(copiesFor(known.fast, servers), copiesFor(known.slow, servers))
}

func copiesFor(flow flow, servers int) int {
	count := 1 + int(flow.tokens/copyTokens)
	if flow.requests > spareRate {
		count = max(count, 2)
	}
	return min(count, max(1, servers/2))
}

func (c *Core) planModels(now time.Time, service string, engine *routetable.Engine, servers []*server) {
	for _, wanted := range c.wants(now, service, engine, servers) {
		urgent := wanted.copies == 0
		c.loadSomewhere(now, service, engine, servers, wanted.model, urgent)
	}
}

// wants lists the models that lack copies, the most urgent first.
func (c *Core) wants(now time.Time, service string, engine *routetable.Engine, servers []*server) []want {
	var wants []want
	for name, model := range engine.Models {
		needed := c.needed(now, service, name, len(servers))
		if needed == 0 {
			continue
		}
		copies := copiesOf(servers, name)
		known := c.interests[dispatch.Wanted{Service: service, Model: name}]
		reachable := copies
		if known.isStuck(now) && !isLoading(servers, name) && copies < needed+maxBeyond {
			reachable = 0
		}
		if reachable >= needed {
			continue
		}
		copies = reachable
		wanted := want{model: model, copies: copies, needed: needed, waiting: c.waitsFor(service, name)}
		if known != nil {
			wanted.rate = known.fast.requests
		}
		wants = append(wants, wanted)
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(
			cmp.Compare(min(a.copies, 1), min(b.copies, 1)),
			-cmp.Compare(a.waiting, b.waiting),
			-cmp.Compare(a.rate/float64(a.copies+1), b.rate/float64(b.copies+1)),
			strings.Compare(a.model.Name, b.model.Name),
		)
	})
	return wants
}

// maxBeyond bounds the copies beyond those needed that requests which cannot
// reach any get.
const maxBeyond = 2

func isLoading(servers []*server, model string) bool {
	for _, s := range servers {
		if s.loading != nil && s.loading.model == model {
			return true
		}
	}
	return false
}

// copiesOf counts the servers that hold the model or are loading it, and do not
// leave.
func copiesOf(servers []*server, model string) int {
	count := 0
	for _, s := range servers {
		if s.info.Draining {
			continue
		}
		if (s.has(model) && s.unloading != model) || (s.loading != nil && s.loading.model == model) {
			count++
		}
	}
	return count
}

// choice is one way to load a model.
type choice struct {
	server  *server
	victims []string
	source  Source
	takes   time.Duration
	cost    float64
}

// intentTime is how long a server that was emptied is kept for a model.
const intentTime = time.Second

func (c *Core) loadSomewhere(now time.Time, service string, engine *routetable.Engine, servers []*server, model routetable.Model, urgent bool) {
	best := choice{cost: math.Inf(1)}
	for _, s := range servers {
		if !s.canTake(now) || s.has(model.Name) || s.isKeptFor(now, model.Name) {
			continue
		}
		takes, source := s.loadTime(model)
		if source == SourceStore && !c.storeAllows(now, service, engine, model.Name, urgent) {
			continue
		}
		victims, penalty := c.victims(now, service, engine, servers, s, model)
		cost := takes.Seconds() + penalty + c.sameZone(servers, s, model.Name)
		if s.isMeantFor(now, model.Name) {
			cost -= intentBonus
		}
		if !urgent && penalty > maxSparePenalty {
			continue
		}
		if cost < best.cost {
			best = choice{server: s, victims: victims, source: source, takes: takes, cost: cost}
		}
	}
	if best.server == nil {
		return
	}
	if len(best.victims) > 0 {
		best.server.intent = intent{model: model.Name, source: best.source, until: now.Add(intentTime)}
		c.orderUnload(best.server, best.victims[0], "room_for_"+model.Name)
		return
	}
	best.server.intent = intent{}
	reason := "replica"
	if urgent {
		reason = "wanted"
	}
	c.orderLoad(now, service, engine, servers, best, model, reason)
}

// maxSparePenalty bounds what is given up for one more copy of a model that
// has some.
const maxSparePenalty = 0.25

// sameZoneCost is the malus for a zone that has a copy already.
const sameZoneCost = 0.15

func (c *Core) sameZone(servers []*server, at *server, model string) float64 {
	for _, s := range servers {
		if s != at && s.info.Zone == at.info.Zone && s.has(model) {
			return sameZoneCost
		}
	}
	return 0
}

// intentBonus makes a load go where room was made for it.
const intentBonus = 1.0

func (s *server) isMeantFor(now time.Time, model string) bool {
	return s.intent.model == model && now.Before(s.intent.until)
}

// isKeptFor reports whether room was made for another model.
func (s *server) isKeptFor(now time.Time, model string) bool {
	return s.intent.model != "" && s.intent.model != model && now.Before(s.intent.until)
}

func (c *Core) orderLoad(now time.Time, service string, engine *routetable.Engine, servers []*server, best choice, model routetable.Model, reason string) {
	s := best.server
	takes := best.takes
	if best.source == SourceStore {
		c.storeLoads[service] = append(c.storeLoads[service], now)
		c.reserved[service]--
		takes = time.Duration(float64(takes) * max(1, float64(storeLoading(now, servers, model.Name)+1)/float64(loadsAtOnce(engine))))
	}
	s.loading = &loading{model: model.Name, source: best.source, began: now, ready: now.Add(takes + loadMargin)}
	c.give(s, Order{Operation: Load, Model: model.Name, Source: best.source, Reason: reason})
}

// loadMargin covers the way of an order and what a load takes beyond its time.
const loadMargin = 40 * time.Millisecond

func (c *Core) orderUnload(s *server, model, reason string) {
	s.unloading = model
	c.give(s, Order{Operation: Unload, Model: model, Reason: reason})
}

// give books the order and hands it out.
func (c *Core) give(s *server, order Order) {
	order.ServerID = s.info.ID
	order.Address = s.info.Address
	order.Expected = s.sequence
	s.ordering = &order
	c.effects.Orders = append(c.effects.Orders, order)
	c.effects.Changed = true
}

// storeLoading counts the loads from the weight store that are under way, or
// for which a server is being emptied.
func storeLoading(now time.Time, servers []*server, besides string) int {
	count := 0
	for _, s := range servers {
		isLoading := s.loading != nil && s.loading.source == SourceStore
		isMeant := s.intent.source == SourceStore && s.isKeptFor(now, besides)
		if isLoading || isMeant {
			count++
		}
	}
	return count
}

// loadsAtOnce is the number of loads that the weight store's rate keeps under
// way at a time, which is where loads begin to slow each other.
func loadsAtOnce(engine *routetable.Engine) int {
	total, count := 0.0, 0
	for _, model := range engine.Models {
		total += model.Load.Seconds()
		count++
	}
	if count == 0 {
		return 1
	}
	return max(1, int(engine.LoadsPerSecond*total/float64(count)))
}

const (
	// spareLoads is what is left of the bound for orders whose answer is lost.
	spareLoads = 2
	// boundExtra is the number of loads that the bound grants in any window
	// beyond the rate; see the platform's rule on the weight store.
	boundExtra = 3
	// idleShare is the part of the bound that loads take which nobody waits for.
	idleShare = 0.6
)

func (c *Core) loadsPerWindow(engine *routetable.Engine) int {
	return int(engine.LoadsPerSecond*c.options.Window.Seconds()*c.options.Overage) + boundExtra - spareLoads
}

// storeAllows reports whether one more load from the weight store may begin.
func (c *Core) storeAllows(now time.Time, service string, engine *routetable.Engine, model string, urgent bool) bool {
	if c.reserved[service] <= 0 {
		return false
	}
	allowed := float64(c.loadsPerWindow(engine))
	atOnce := loadsAtOnce(engine)
	if !urgent {
		allowed *= idleShare
		atOnce = max(1, atOnce/2)
	}
	return float64(len(c.storeLoads[service])) < allowed && storeLoading(now, c.serversOf(service), model) < atOnce
}
