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

// need is why a model should have one more copy, the weakest first. It bounds
// what may be dropped for it.
type need int

const (
	// needSpare is for a copy beside those that the traffic needs.
	needSpare need = iota
	// needReturn is for a model that was asked for lately, stands nowhere, and
	// that nobody waits for now. Without a bound, models that are more than the
	// places would take turns for ever.
	needReturn
	// needThroughput is for a model whose copies cannot bear its traffic.
	needThroughput
	// needWaiting is for a model that requests wait for.
	needWaiting
)

// String names the need in logs.
func (n need) String() string {
	return [...]string{"spare", "return", "throughput", "waiting"}[n]
}

// maxPenalty bounds what is dropped for a copy.
func (n need) maxPenalty() float64 {
	switch n {
	case needWaiting:
		return math.MaxFloat64
	case needThroughput:
		return maxThroughputPenalty
	default:
		return maxSparePenalty
	}
}

const (
	// maxSparePenalty leaves the last copy of what was asked for lately alone.
	maxSparePenalty = 0.25
	// maxThroughputPenalty allows to drop the last copy of a model that is idle
	// and whose callers bear a load.
	maxThroughputPenalty = 0.6
)

// want is one model that has fewer copies than wanted.
type want struct {
	model   routetable.Model
	copies  int
	waiting int
	rate    float64
	need    need
}

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
}

// placement is where one model stands.
type placement struct {
	// copies are the servers that hold the model or are loading it, and do not
	// leave.
	copies    int
	isLoading bool
	// slotsUsed is the share of one server's slots that the model's requests take,
	// added up over its servers.
	slotsUsed float64
	// zones are those in which a server holds the model.
	zones map[string]int
}

// placementOf is where the model stands now.
func (r *round) placementOf(model string) *placement {
	if r.placed == nil {
		r.place()
	}
	if known, ok := r.placed[model]; ok {
		return known
	}
	return &placement{}
}

func (r *round) place() {
	r.placed = make(map[string]*placement, len(r.engine.Models))
	of := func(model string) *placement {
		known, ok := r.placed[model]
		if !ok {
			known = &placement{zones: make(map[string]int)}
			r.placed[model] = known
		}
		return known
	}
	for _, s := range r.servers {
		used := r.slotsUsed(s)
		for model := range s.held {
			known := of(model)
			known.slotsUsed += used[model]
			known.zones[s.info.Zone]++
			if !s.info.Draining && s.unloading != model {
				known.copies++
			}
		}
		if s.loading == nil {
			continue
		}
		known := of(s.loading.model)
		known.isLoading = true
		if !s.info.Draining && (!s.has(s.loading.model) || s.unloading == s.loading.model) {
			known.copies++
		}
	}
}

// slotsUsed is the share of a server's slots that requests for each model take:
// how many run is known for the server alone, and dealt out by rates.
func (r *round) slotsUsed(s *server) map[string]float64 {
	if s.running == 0 || s.info.Slots == 0 {
		return nil
	}
	rates, total := make(map[string]float64, len(s.held)), 0.0
	for model := range s.held {
		if known := r.interest(model); known != nil {
			rates[model] = known.fast.requests
			total += known.fast.requests
		}
	}
	for model, rate := range rates {
		rates[model] = rate / max(total, minRate) * float64(s.running) / float64(s.info.Slots)
	}
	return rates
}

// minRate keeps the shares of models that nobody asks for now at nothing.
const minRate = 0.01

// ordered forgets what an order changed.
func (r *round) ordered() {
	r.placed = nil
	r.rooms = nil
}

// interest is what is wanted of a model, or nil.
func (r *round) interest(model string) *interest {
	return r.core.demand.interests[dispatch.Wanted{Service: r.service, Model: model}]
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
func (r *round) needed(model string) int {
	known := r.interest(model)
	if known == nil || r.now.Sub(known.lastAsk) > interestAge {
		return 0
	}
	known.fade(r.now)
	return max(r.copiesFor(known.fast), r.copiesForAdapters(model), r.copiesForSlots(model))
}

// kept is the number of copies that are kept by the demand of some time, which
// falls more slowly than it rises.
func (r *round) kept(model string) int {
	known := r.interest(model)
	if known == nil {
		return 0
	}
	known.fade(r.now)
	return max(r.copiesFor(known.fast), r.copiesFor(known.slow), r.copiesForAdapters(model), r.copiesForSlots(model))
}

// adapterSpread is the places for adapters that are wanted for each adapter that
// is asked for: copies do not hold quite different ones.
const adapterSpread = 1.5

// copiesForAdapters is the number of copies that have places for the adapters
// that are asked for.
func (r *round) copiesForAdapters(model string) int {
	variety := r.core.demand.variety[dispatch.Wanted{Service: r.service, Model: model}]
	if variety == 0 || r.engine.AdapterSlots == 0 {
		return 0
	}
	count := int(math.Ceil(float64(variety) * adapterSpread / float64(r.engine.AdapterSlots)))
	return min(count, max(1, len(r.servers)/2))
}

// fullShare is the share of a server's slots from which on a burst would queue
// there, so that its models get further copies.
const fullShare = 0.7

// copiesForSlots is the number of copies at which none is full.
func (r *round) copiesForSlots(model string) int {
	count := int(math.Ceil(r.placementOf(model).slotsUsed / fullShare))
	return min(count, max(1, len(r.servers)/2))
}

// copiesForTokens is the number of copies that can read the prompts.
func copiesForTokens(flow flow) int { return 1 + int(flow.tokens/copyTokens) }

func (r *round) copiesFor(flow flow) int {
	count := copiesForTokens(flow)
	if flow.requests > spareRate {
		count = max(count, 2)
	}
	return min(count, max(1, len(r.servers)/2))
}

func (r *round) planModels() {
	for _, wanted := range r.wants() {
		r.loadSomewhere(wanted.model, wanted.need)
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
		if known.isStuck(r.now) && !r.isLoading(name) && copies < needed+maxBeyond {
			// The copies that there are cannot be reached.
			copies = 0
		}
		if copies >= needed {
			continue
		}
		wanted := want{model: model, copies: copies, waiting: r.core.demand.waitsFor(r.service, name)}
		if known != nil {
			wanted.rate = known.fast.requests
		}
		wanted.need = r.needOf(wanted, known)
		wants = append(wants, wanted)
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(
			-cmp.Compare(a.need, b.need),
			-cmp.Compare(a.waiting, b.waiting),
			-cmp.Compare(a.rate/float64(a.copies+1), b.rate/float64(b.copies+1)),
			strings.Compare(a.model.Name, b.model.Name),
		)
	})
	return wants
}

// needOf is why the model should have one more copy.
func (r *round) needOf(wanted want, known *interest) need {
	switch {
	case wanted.copies == 0 && wanted.waiting > 0:
		return needWaiting
	case wanted.copies == 0:
		return needReturn
	case known != nil && wanted.copies < copiesForTokens(known.fast), wanted.copies < max(r.copiesForAdapters(wanted.model.Name), r.copiesForSlots(wanted.model.Name)):
		return needThroughput
	default:
		return needSpare
	}
}

// maxBeyond bounds the copies beyond those needed that requests which cannot
// reach any get.
const maxBeyond = 2

func (r *round) isLoading(model string) bool { return r.placementOf(model).isLoading }

// copiesOf counts the servers that hold the model or are loading it, and do not
// leave.
func (r *round) copiesOf(model string) int { return r.placementOf(model).copies }

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

func (r *round) loadSomewhere(model routetable.Model, need need) {
	if r.isMadeRoomFor(model.Name) {
		return
	}
	best := choice{cost: math.Inf(1)}
	mayAskStore := r.storeAllows(model.Name, need == needWaiting)
	for _, s := range r.servers {
		wait, isKnown := s.freeIn(r.now)
		if !isKnown || s.has(model.Name) || s.isKeptFor(r.now, model.Name) {
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
		cost := wait.Seconds() + takes.Seconds() + penalty + r.sameZone(s, model.Name)
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
	if best.server == nil || best.wait > 0 {
		// A server that is busy now, and has the weights, is worth waiting for.
		return
	}
	if len(best.victims) > 0 {
		best.server.intent = intent{model: model.Name, source: best.source, takes: best.takes, until: r.now.Add(intentTime)}
		r.orderUnload(best.server, best.victims[0], "room_for_"+model.Name)
		return
	}
	r.orderLoad(best, model, need.String())
}

// sameZoneCost is the malus for a zone that has a copy already.
const sameZoneCost = 0.15

func (r *round) sameZone(at *server, model string) float64 {
	if r.placementOf(model).zones[at.info.Zone] > 0 {
		return sameZoneCost
	}
	return 0
}

// intentBonus makes a load go where room was made for it.
const intentBonus = 1.0

func (s *server) isMeantFor(now time.Time, model string) bool {
	return s.intent.model == model && now.Before(s.intent.until)
}

// isMadeRoomFor reports whether a server that is being emptied for the model
// cannot take it yet. No other is emptied for it meanwhile.
func (r *round) isMadeRoomFor(model string) bool {
	for _, s := range r.servers {
		if s.isMeantFor(r.now, model) && !s.info.Draining && !s.canTake(r.now) {
			return true
		}
	}
	return false
}

// isKeptFor reports whether room was made for another model.
func (s *server) isKeptFor(now time.Time, model string) bool {
	return s.intent.model != "" && s.intent.model != model && now.Before(s.intent.until)
}

func (r *round) orderLoad(best choice, model routetable.Model, reason string) {
	s := best.server
	takes := best.takes
	if best.source == SourceStore {
		r.core.storeLoads[r.service] = append(r.core.storeLoads[r.service], r.now)
		r.core.reserved[r.service]--
		takes = time.Duration(float64(takes) * max(1, float64(r.storeLoading(model.Name)+1)/r.core.limitOf(r.service).atOnce))
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
	order.ServerID = s.info.ID
	order.Address = s.info.Address
	order.Expected = s.sequence
	s.ordering = &order
	c.effects.Orders = append(c.effects.Orders, order)
	c.effects.Changed = true
}

// storeLoading counts the loads from the weight store that are under way, or
// for which a server is being emptied.
func (r *round) storeLoading(besides string) int {
	count := 0
	for _, s := range r.servers {
		isLoading := s.mayLoadFromStore()
		isMeant := s.intent.source == SourceStore && s.isKeptFor(r.now, besides)
		if isLoading || isMeant {
			count++
		}
	}
	return count
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
func (r *round) storeAllows(model string, urgent bool) bool {
	if r.core.reserved[r.service] <= 0 {
		return false
	}
	allowed := float64(r.core.loadsPerWindow(r.engine))
	atOnce := r.core.limitOf(r.service).allowed()
	if !urgent {
		allowed *= idleShare
		atOnce = max(1, atOnce/2)
	}
	return float64(len(r.core.storeLoads[r.service])) < allowed && r.storeLoading(model) < atOnce
}
