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

// Options configure a core.
type Options struct {
	Settings Settings
	// Policy replaces the core's own policy; nil keeps that.
	Policy Policy
	// PreloadEvicts lets a preload evict other models.
	PreloadEvicts bool
	// Disabled disables mechanisms; only tests and simulations set it.
	Disabled DisabledMechanisms
}

// Core places the models of one zone. It is not safe for concurrent use.
type Core struct {
	settings Settings
	policy   Policy
	disabled DisabledMechanisms
	// preloadEvicts is Options.PreloadEvicts.
	preloadEvicts bool

	models map[fleet.ModelVersion]catalog.ModelInfo
	// names are the keys of models, sorted.
	names    []fleet.ModelVersion
	adapters map[fleet.AdapterName]catalog.AdapterInfo
	// adapterReserve is the memory that a load leaves free for the model's adapters, by model name.
	adapterReserve  map[string]int64
	coldStartWeight float64
	limits          map[fleet.ModelVersion]int
	// standing is the zone's part of the replicas to keep ready.
	standing  map[fleet.ModelVersion]int
	zones     int
	zoneIndex int

	// roundActive is set while the core may send orders.
	roundActive bool
	fence       fleet.Fence
	engines     map[fleet.BackendName]*engine
	assumedFull map[fleet.BackendName]bool
	orders      map[string]*order
	// loading counts the loads in flight by engine and model.
	loading      map[placementKey]int
	orderCounter uint64

	wants   map[fleet.ModelVersion]map[wantKey]expiringWant
	history map[fleet.ModelVersion]*history
	store   storeQuota
	// replicasElsewhere are the models that another zone has ready or is loading.
	replicasElsewhere map[fleet.ModelVersion]bool
	// evacuated is set while the zone is out of service. displaced are models whose
	// replicas were only in evacuated zones, to be preloaded here.
	evacuated bool
	displaced map[fleet.ModelVersion]bool
	// avoidUntil is until when an engine is not used for a model after a failed order.
	avoidUntil map[placementKey]time.Time
	effects    []Effect
	lastPlan   time.Time
	// dirty is set after a change that requires a new plan at once; without one a
	// plan is made every planInterval.
	dirty bool
	// refusals are the refusals of the last plan.
	refusals map[fleet.ModelVersion]Refuse
	timings  timings
}

type wantKey struct {
	node    fleet.NodeName
	adapter fleet.AdapterName
	regions fleet.Regions
}

type expiringWant struct {
	fleet.Want
	expiresAt time.Time
}

type placementKey struct {
	engine fleet.BackendName
	model  fleet.ModelVersion
}

// engine is an engine that is held in the current round.
type engine struct {
	state fleet.EngineState
	// lastQuery is the query sequence of the newest state.
	lastQuery    uint64
	leaving      bool
	unresponsive bool
	// loadingSince is when each running load was first observed.
	loadingSince map[fleet.ModelVersion]time.Time
}

// order is an order in flight: it was sent, and no state has shown its effect yet.
type order struct {
	backend.Order
	engine fleet.BackendName
	sentAt time.Time
	// accepted is set once the engine accepted the order; states queried after
	// visibleAfter then show its effect.
	accepted     bool
	visibleAfter uint64
}

// New returns a core without an active round.
func New(options Options) *Core {
	core := &Core{
		settings: options.Settings,
		policy:   options.Policy,
		disabled: options.Disabled,
		zones:    1,

		preloadEvicts: options.PreloadEvicts,

		engines:     make(map[fleet.BackendName]*engine),
		assumedFull: make(map[fleet.BackendName]bool),
		orders:      make(map[string]*order),
		loading:     make(map[placementKey]int),
		wants:       make(map[fleet.ModelVersion]map[wantKey]expiringWant),
		history:     make(map[fleet.ModelVersion]*history),
		avoidUntil:  make(map[placementKey]time.Time),
		refusals:    make(map[fleet.ModelVersion]Refuse),
		timings:     newTimings(),
	}
	if core.policy == nil {
		core.policy = defaultPolicy{core}
	}
	return core
}

// planInterval is the time between plans while nothing changes.
const planInterval = 250 * time.Millisecond

// NextWake returns the time at which to call Step with a Tick; zero if not needed.
func (c *Core) NextWake() time.Time {
	if !c.roundActive {
		return time.Time{}
	}
	wake := c.lastPlan.Add(planInterval)
	if next := c.nextStoreLoad(); !next.IsZero() && next.Before(wake) {
		return next
	}
	return wake
}

// Step processes a message and returns the effects to carry out.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	c.dirty = c.dirty || changesDecisions(message)
	switch message := message.(type) {
	case Tick:
	case CatalogChanged:
		c.setCatalog(message)
	case RoundBegan:
		c.beginRound(now, message)
	case RoundEnded:
		c.endRound()
	case LimitsChanged:
		c.limits, c.standing = message.Limits, message.Standing
		c.zones, c.zoneIndex = max(1, message.Zones), message.ZoneIndex
	case StoreUsage:
		c.store.others = message
	case ReplicasElsewhere:
		c.replicasElsewhere = message.Models
	case ModelsDisplaced:
		c.displaced = message.Models
	case EnginesGone:
		c.removeEngines(message.Engines)
	case EnginesLeaving:
		c.markLeaving(message.Engines)
	case EngineUnresponsive:
		if held := c.engines[message.Engine]; held != nil {
			held.unresponsive = message.Unresponsive
		}
	case EngineStateReceived:
		c.receiveState(now, message)
	case WantsReported:
		c.updateWants(now, message.Wants)
	case OrderAnswered:
		c.receiveOrderAnswer(now, message)
	}
	if c.roundActive && (c.dirty || !now.Before(c.NextWake())) {
		c.dirty = false
		c.plan(now)
	}
	return c.effects
}

// changesDecisions reports whether a message always requires a new plan at once.
// States and wants require one only where they contain a change.
func changesDecisions(message Message) bool {
	switch message.(type) {
	case CatalogChanged, RoundBegan, LimitsChanged, ModelsDisplaced, EnginesGone, EnginesLeaving:
		return true
	default:
		return false
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// maxAdapterReserve bounds the memory left free for adapters beside their base model.
// Without a reserve, base models that fill an engine and all wait for adapters would
// prevent each other's eviction forever.
const maxAdapterReserve = 1 << 30

func (c *Core) setCatalog(changed CatalogChanged) {
	c.models = make(map[fleet.ModelVersion]catalog.ModelInfo, len(changed.Models))
	for _, info := range changed.Models {
		c.models[info.Model] = info
	}
	c.names = slices.SortedFunc(maps.Keys(c.models), fleet.ModelVersion.Compare)
	c.adapters = make(map[fleet.AdapterName]catalog.AdapterInfo, len(changed.Adapters))
	c.adapterReserve = make(map[string]int64)
	for _, info := range changed.Adapters {
		c.adapters[info.Adapter] = info
		c.adapterReserve[info.Model] = min(c.adapterReserve[info.Model]+info.MemoryBytes, maxAdapterReserve)
	}
	c.coldStartWeight = changed.ColdStartWeight
	c.evacuated = changed.Evacuated
}

// beginRound takes over the engine states of a new round. Orders of earlier rounds
// are either reflected in them or will be refused because of their fence.
func (c *Core) beginRound(now time.Time, began RoundBegan) {
	c.endRound()
	c.roundActive = true
	c.store.tokens = max(c.store.tokens, 1)
	c.fence = began.Fence
	for _, name := range slices.Sorted(maps.Keys(began.Held)) {
		state := began.Held[name]
		held := &engine{leaving: state.Leaving, loadingSince: make(map[fleet.ModelVersion]time.Time)}
		c.engines[name] = held
		c.applyState(now, held, state)
	}
	for _, name := range began.AssumedFull {
		c.assumedFull[name] = true
	}
}

func (c *Core) endRound() {
	c.roundActive = false
	clear(c.engines)
	clear(c.assumedFull)
	clear(c.orders)
	clear(c.loading)
	clear(c.refusals)
}

func (c *Core) removeEngines(names []fleet.BackendName) {
	for _, name := range names {
		delete(c.assumedFull, name)
		delete(c.engines, name)
		for id, order := range c.orders {
			if order.engine == name {
				c.removeOrder(id)
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

// receiveState applies a state of a held engine unless it is outdated.
func (c *Core) receiveState(now time.Time, received EngineStateReceived) {
	held := c.engines[received.State.Name]
	if held == nil || received.QuerySequence < held.lastQuery || received.State.Fence != c.fence {
		return
	}
	held.lastQuery = received.QuerySequence
	held.leaving = held.leaving || received.State.Leaving
	c.applyState(now, held, received.State)
	for id, order := range c.orders {
		if order.engine == received.State.Name && accountsForOrder(now, order, received) {
			c.removeOrder(id)
		}
	}
}

// accountsForOrder reports whether the state reflects the order: it was queried after
// the order was accepted, or it shows the effect. A state does not show an adapter
// that is still loading, so its order is kept until adapterLoadTimeout; otherwise it
// would be sent repeatedly.
func accountsForOrder(now time.Time, order *order, received EngineStateReceived) bool {
	if order.accepted && (order.Action != backend.ActionLoadAdapter || now.Sub(order.sentAt) >= adapterLoadTimeout) {
		return received.QuerySequence > order.visibleAfter
	}
	loaded := received.State.Find(order.Model)
	switch order.Action {
	case backend.ActionLoad:
		return loaded != nil
	case backend.ActionUnload:
		return loaded == nil || loaded.State == fleet.LoadUnloading
	case backend.ActionLoadAdapter:
		return loaded != nil && slices.Contains(loaded.Adapters, order.Adapter) ||
			order.accepted && (loaded == nil || loaded.State != fleet.LoadReady) && received.QuerySequence > order.visibleAfter
	default:
		return false
	}
}

// adapterLoadTimeout is the time after which an adapter that is not loaded is ordered again.
const adapterLoadTimeout = 5 * time.Second

func (c *Core) applyState(now time.Time, held *engine, state fleet.EngineState) {
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
	c.reportFinishedLoads(now, state)
}

func (c *Core) receiveOrderAnswer(now time.Time, answer OrderAnswered) {
	order := c.orders[answer.ID]
	if order == nil {
		return
	}
	switch answer.Result {
	case OrderAccepted:
		order.accepted = true
		order.visibleAfter = answer.QuerySequence
		c.timings.loadAccepted(now, order)
	case OrderRefused:
		c.removeOrder(answer.ID)
		c.timings.loadDropped(order.engine, order.Model)
		c.dirty = true
		c.avoidUntil[placementKey{order.engine, order.Model}] = now.Add(avoidAfterRefusal)
	case OrderUnanswered:
	}
}

// avoidAfterRefusal is how long an engine is not used for a model after it refused an order.
const avoidAfterRefusal = 2 * time.Second

func (c *Core) send(now time.Time, name fleet.BackendName, outgoing backend.Order) {
	c.sendOrder(now, name, outgoing, false)
}

func (c *Core) sendOrder(now time.Time, name fleet.BackendName, outgoing backend.Order, evicts bool) {
	c.orderCounter++
	outgoing.ID = fmt.Sprintf("%s-%d", c.fence, c.orderCounter)
	outgoing.Fence = c.fence
	outgoing.Incarnation = c.engines[name].state.Incarnation
	c.orders[outgoing.ID] = &order{Order: outgoing, engine: name, sentAt: now}
	if outgoing.Action == backend.ActionLoad {
		c.loading[placementKey{name, outgoing.Model}]++
	}
	c.emit(SendOrder{Engine: name, Order: outgoing, Evicts: evicts})
}

// removeOrder removes an order in flight and requests a new plan, since that may allow another
// order.
func (c *Core) removeOrder(id string) {
	c.dirty = true
	dropped := c.orders[id]
	delete(c.orders, id)
	if dropped.Action == backend.ActionLoad {
		c.loading[placementKey{dropped.engine, dropped.Model}]--
	}
}
