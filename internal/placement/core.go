package placement

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Options make a core.
type Options struct {
	Settings Settings
	// Policy replaces the core's own judgement of what stays; nil for none.
	Policy Policy
	// PreloadEvicts lets models that are loaded ahead evict others.
	PreloadEvicts bool
	// Disabled turns mechanisms off; only tests and the laboratory set it.
	Disabled DisabledMechanisms
}

// Core places the models of one zone. It is not safe for concurrent use.
type Core struct {
	settings Settings
	policy   Policy
	without  DisabledMechanisms
	// preloadEvicts is from the options.
	preloadEvicts bool

	models map[fleet.ModelVersion]catalog.ModelInfo
	// names are those of the models in order.
	names    []fleet.ModelVersion
	adapters map[fleet.AdapterName]catalog.AdapterInfo
	// adapterRoom is what a load leaves free for adapters, by model name.
	adapterRoom     map[string]int64
	coldStartWeight float64
	limits          map[fleet.ModelVersion]int
	standing        map[fleet.ModelVersion]int
	zones           int
	zoneIndex       int

	leading bool
	fence   fleet.Fence
	engines map[fleet.BackendName]*engine
	full    map[fleet.BackendName]bool
	orders  map[string]*order
	// loading counts the loads among orders by engine and model.
	loading map[placementKey]int
	counter uint64

	wants   map[fleet.ModelVersion]map[wantKey]timedWant
	history map[fleet.ModelVersion]*history
	store   storeShare
	// elsewhere are the models that another zone has ready or loads.
	elsewhere map[fleet.ModelVersion]bool
	// evacuated is set while the zone is out of service, displaced are models
	// that stood in such zones and are loaded here.
	evacuated bool
	displaced map[fleet.ModelVersion]bool
	// avoid holds engines at which a load of a model failed.
	avoid    map[placementKey]time.Time
	effects  []Effect
	lastPlan time.Time
	// dirty is set where something changed that decisions depend on; else
	// they are made anew only every planInterval.
	dirty bool
	// refused holds the refusals of the last plan.
	refused map[fleet.ModelVersion]Refuse
	timings timings
}

type wantKey struct {
	node    fleet.NodeName
	adapter fleet.AdapterName
	regions fleet.Regions
}

type timedWant struct {
	fleet.Want
	until time.Time
}

type placementKey struct {
	engine fleet.BackendName
	model  fleet.ModelVersion
}

// engine is an engine that the round holds.
type engine struct {
	state fleet.EngineState
	// asked is the sequence of the newest state.
	asked   uint64
	leaving bool
	silent  bool
	// loadingSince is when each load was first seen or ordered.
	loadingSince map[fleet.ModelVersion]time.Time
}

// order is one that was sent and whose effect no state has shown yet.
type order struct {
	backend.Order
	engine fleet.BackendName
	sent   time.Time
	// answered is set once the engine took it; the effect then shows in
	// states asked for after visibleAfter.
	answered     bool
	visibleAfter uint64
}

// New returns a core that holds no engine.
func New(options Options) *Core {
	core := &Core{
		settings: options.Settings,
		policy:   options.Policy,
		without:  options.Disabled,
		zones:    1,

		preloadEvicts: options.PreloadEvicts,

		engines: make(map[fleet.BackendName]*engine),
		full:    make(map[fleet.BackendName]bool),
		orders:  make(map[string]*order),
		loading: make(map[placementKey]int),
		wants:   make(map[fleet.ModelVersion]map[wantKey]timedWant),
		history: make(map[fleet.ModelVersion]*history),
		avoid:   make(map[placementKey]time.Time),
		refused: make(map[fleet.ModelVersion]Refuse),
		timings: newTimings(),
	}
	if core.policy == nil {
		core.policy = ownPolicy{core}
	}
	return core
}

const planInterval = 250 * time.Millisecond

// NextWake returns when Step(now, Tick{}) is wanted; zero for none.
func (c *Core) NextWake() time.Time {
	if !c.leading {
		return time.Time{}
	}
	wake := c.lastPlan.Add(planInterval)
	if turn := c.storeTurn(); !turn.IsZero() && turn.Before(wake) {
		return turn
	}
	return wake
}

// Step takes a message and returns what is to be done.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	c.dirty = c.dirty || changesDecisions(message)
	switch message := message.(type) {
	case Tick:
	case CatalogChanged:
		c.setCatalog(message)
	case RoundBegan:
		c.begin(now, message)
	case RoundEnded:
		c.finish()
	case LimitsChanged:
		c.limits, c.standing = message.Limits, message.Standing
		c.zones, c.zoneIndex = max(1, message.Zones), message.ZoneIndex
	case StoreUsage:
		c.store.others = message
	case ReplicasElsewhere:
		c.elsewhere = message.Models
	case ModelsDisplaced:
		c.displaced = message.Models
	case EnginesGone:
		c.dropGone(message.Engines)
	case EnginesLeaving:
		c.markLeaving(message.Engines)
	case EngineUnresponsive:
		if held := c.engines[message.Engine]; held != nil {
			held.silent = message.Unresponsive
		}
	case EngineStateReceived:
		c.see(now, message)
	case WantsReported:
		c.takeWants(now, message.Wants)
	case OrderAnswered:
		c.takeAnswer(now, message)
	}
	if c.leading && (c.dirty || !now.Before(c.NextWake())) {
		c.dirty = false
		c.plan(now)
	}
	return c.effects
}

// changesDecisions reports whether a message calls for a plan at once; states
// and wants do so only where they bring news.
func changesDecisions(message Message) bool {
	switch message.(type) {
	case CatalogChanged, RoundBegan, LimitsChanged, ModelsDisplaced, EnginesGone, EnginesLeaving:
		return true
	default:
		return false
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// mostAdapterRoom bounds the memory left for adapters beside a base. Without
// any, bases that fill an engine and all wait for adapters would keep each other
// from being evicted for ever.
const mostAdapterRoom = 1 << 30

func (c *Core) setCatalog(changed CatalogChanged) {
	c.models = make(map[fleet.ModelVersion]catalog.ModelInfo, len(changed.Models))
	for _, facts := range changed.Models {
		c.models[facts.Model] = facts
	}
	c.names = slices.SortedFunc(maps.Keys(c.models), fleet.ModelVersion.Compare)
	c.adapters = make(map[fleet.AdapterName]catalog.AdapterInfo, len(changed.Adapters))
	c.adapterRoom = make(map[string]int64)
	for _, facts := range changed.Adapters {
		c.adapters[facts.Adapter] = facts
		c.adapterRoom[facts.Model] = min(c.adapterRoom[facts.Model]+facts.MemoryBytes, mostAdapterRoom)
	}
	c.coldStartWeight = changed.ColdStartWeight
	c.evacuated = changed.Evacuated
}

// begin takes over the inventories of a round. Orders of earlier rounds are
// either in them or refused for their fence.
func (c *Core) begin(now time.Time, began RoundBegan) {
	c.finish()
	c.leading = true
	c.store.tokens = max(c.store.tokens, 1)
	c.fence = began.Fence
	for _, name := range slices.Sorted(maps.Keys(began.Held)) {
		state := began.Held[name]
		held := &engine{leaving: state.Leaving, loadingSince: make(map[fleet.ModelVersion]time.Time)}
		c.engines[name] = held
		c.adopt(now, held, state)
	}
	for _, name := range began.AssumedFull {
		c.full[name] = true
	}
}

func (c *Core) finish() {
	c.leading = false
	clear(c.engines)
	clear(c.full)
	clear(c.orders)
	clear(c.loading)
	clear(c.refused)
}

func (c *Core) dropGone(names []fleet.BackendName) {
	for _, name := range names {
		delete(c.full, name)
		delete(c.engines, name)
		for id, order := range c.orders {
			if order.engine == name {
				c.dropOrder(id)
			}
		}
	}
}

func (c *Core) markLeaving(names []fleet.BackendName) {
	for _, name := range names {
		if held := c.engines[name]; held != nil {
			held.leaving = true
		}
	}
}

// see takes a newer state of a held engine.
func (c *Core) see(now time.Time, seen EngineStateReceived) {
	held := c.engines[seen.State.Name]
	if held == nil || seen.QuerySequence < held.asked || seen.State.Fence != c.fence {
		return
	}
	held.asked = seen.QuerySequence
	held.leaving = held.leaving || seen.State.Leaving
	c.adopt(now, held, seen.State)
	for id, order := range c.orders {
		if order.engine == seen.State.Name && orderShown(now, order, seen) {
			c.dropOrder(id)
		}
	}
}

// orderShown reports whether the state accounts for the order: it was asked
// for after the order was taken, or it shows the effect. A state does not show
// an adapter that still loads: its order stays, else it would be sent again and
// again until then.
func orderShown(now time.Time, order *order, seen EngineStateReceived) bool {
	if order.answered && (order.Action != backend.ActionLoadAdapter || now.Sub(order.sent) >= adapterPatience) {
		return seen.QuerySequence > order.visibleAfter
	}
	loaded := seen.State.Find(order.Model)
	switch order.Action {
	case backend.ActionLoad:
		return loaded != nil
	case backend.ActionUnload:
		return loaded == nil || loaded.State == fleet.LoadUnloading
	case backend.ActionLoadAdapter:
		return loaded != nil && slices.Contains(loaded.Adapters, order.Adapter) ||
			order.answered && (loaded == nil || loaded.State != fleet.LoadReady) && seen.QuerySequence > order.visibleAfter
	default:
		return false
	}
}

// adapterPatience is how long an adapter may load before it is ordered again.
const adapterPatience = 5 * time.Second

func (c *Core) adopt(now time.Time, held *engine, state fleet.EngineState) {
	c.dirty = c.dirty || !reflect.DeepEqual(held.state.Models, state.Models)
	held.state = state
	since := make(map[fleet.ModelVersion]time.Time)
	for _, loaded := range state.Models {
		if loaded.State != fleet.LoadLoading {
			continue
		}
		since[loaded.Model] = now
		if earlier, known := held.loadingSince[loaded.Model]; known {
			since[loaded.Model] = earlier
		}
	}
	held.loadingSince = since
	c.finishLoads(now, state)
}

func (c *Core) takeAnswer(now time.Time, answer OrderAnswered) {
	order := c.orders[answer.ID]
	if order == nil {
		return
	}
	switch answer.Result {
	case OrderAccepted:
		order.answered = true
		order.visibleAfter = answer.QuerySequence
		c.timings.taken(now, order)
	case OrderRefused:
		c.dropOrder(answer.ID)
		c.timings.dropped(order.engine, order.Model)
		c.dirty = true
		c.avoid[placementKey{order.engine, order.Model}] = now.Add(avoidAfterRefusal)
	case OrderUnanswered:
	}
}

const avoidAfterRefusal = 2 * time.Second

func (c *Core) send(now time.Time, name fleet.BackendName, sent backend.Order) {
	c.sendFor(now, name, sent, false)
}

func (c *Core) sendFor(now time.Time, name fleet.BackendName, sent backend.Order, evicts bool) {
	c.counter++
	sent.ID = fmt.Sprintf("%s-%d", c.fence, c.counter)
	sent.Fence = c.fence
	sent.Incarnation = c.engines[name].state.Incarnation
	c.orders[sent.ID] = &order{Order: sent, engine: name, sent: now}
	if sent.Action == backend.ActionLoad {
		c.loading[placementKey{name, sent.Model}]++
	}
	c.emit(SendOrder{Engine: name, Order: sent, Evicts: evicts})
}

// dropOrder takes an order out of the flight, which may make room for another.
func (c *Core) dropOrder(id string) {
	c.dirty = true
	dropped := c.orders[id]
	delete(c.orders, id)
	if dropped.Action == backend.ActionLoad {
		c.loading[placementKey{dropped.engine, dropped.Model}]--
	}
}
