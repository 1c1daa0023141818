package engine

import (
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// Core is the state machine of one engine.
type Core struct {
	options Options
	random  *rand.Rand
	faults  Faults
	effects []Effect
	book    books.Book
	nextID  LoadID
	leaving bool

	// A restart resets the fields below.
	incarnation  uint64
	fence        fleet.Fence
	role         string
	orderResults map[string]string // refusal reason by order ID, orderAccepted if none
	models       []*residentModel  // sorted by model
	checkpoints  *checkpointCache
	requests     map[fleet.RequestID]*sequence
	running      []*sequence
	waiting      []*sequence // by priority, then arrival
	// iterationEnd is zero while no iteration runs.
	iterationEnd time.Time
	expiries     []streamExpiry // by time
	reports      []fleet.LoadReport
	prefixes     *prefixCache
	meter        tokenMeter
}

// New returns an engine without loaded models.
func New(options Options) *Core {
	options = options.withDefaults()
	core := &Core{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	core.book = books.Book{Backend: options.Backend, MemoryBytes: options.MemoryBytes}
	core.reset(options.Incarnation)
	return core
}

// reset sets the state of a newly started engine.
func (c *Core) reset(incarnation uint64) {
	c.incarnation = incarnation
	c.book.Incarnation = incarnation
	c.fence = 0
	c.role = c.options.Role
	c.orderResults = map[string]string{}
	c.models = nil
	c.checkpoints = newCheckpointCache(c.options)
	c.requests = map[fleet.RequestID]*sequence{}
	c.running, c.waiting, c.expiries = nil, nil, nil
	c.iterationEnd = time.Time{}
	c.reports = nil
	c.prefixes = newPrefixCache(c.options, c.random)
	c.meter = tokenMeter{}
	c.book.PeakBytes = max(c.book.PeakBytes, c.options.KVReserveBytes)
}

// Step processes everything due by now, then the message, and returns the
// effects of both.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	c.catchUp(now)
	switch m := message.(type) {
	case Tick:
	case ReadState:
		c.emit(StateRead{Call: m.Call, State: c.State(now)})
	case TakeClaim:
		c.takeClaim(now, m)
	case TakeOrder:
		c.takeOrder(now, m)
	case WeightsDone:
		c.weightsDone(now, m)
	case Submit:
		c.submit(now, m)
	case Resume:
		c.resume(now, m)
	case Cancel:
		c.emit(Cancelled{Call: m.Call, Found: c.cancel(now, c.findAttempt(m.Request, m.Attempt))})
	case Detach:
		c.detach(now, m)
	case ReadCacheEvents:
		events := c.prefixes.eventsSince(m.Since, now.Add(-c.options.Timing.CacheEventLag))
		c.emit(CacheEventsRead{Call: m.Call, Events: events})
	case Leave:
		c.leave(now)
	case Restart:
		c.restart(now)
	case SetFaults:
		c.faults = m.Faults
	}
	c.catchUp(now)
	return c.effects
}

// NextWake returns the earliest time at which a Tick is needed, or zero if none
// is.
func (c *Core) NextWake() time.Time {
	wake := c.iterationEnd
	for _, model := range c.models {
		wake = earliest(wake, model.wake())
	}
	if len(c.expiries) > 0 {
		wake = earliest(wake, c.expiries[0].at)
	}
	return wake
}

// catchUp processes everything due by now in time order, each event at its own
// time.
func (c *Core) catchUp(now time.Time) {
	for {
		wake := c.NextWake()
		if wake.IsZero() || wake.After(now) {
			return
		}
		c.advance(wake)
	}
}

func (c *Core) advance(at time.Time) {
	c.expireStreams(at)
	c.advanceModels(at)
	if !c.iterationEnd.IsZero() && !c.iterationEnd.After(at) {
		c.endIteration(at)
	}
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) leave(now time.Time) {
	c.leaving = true
	if c.book.LeavingSince.IsZero() {
		c.book.LeavingSince = now
	}
}

// restart simulates a crash and restart of the engine process. The records in the
// book survive it.
func (c *Core) restart(now time.Time) {
	for _, model := range c.models {
		if model.fetching {
			c.emit(CancelFetch{Load: model.load})
		}
		c.closeResidency(now, model)
	}
	for _, reader := range c.sortedReaders() {
		c.emit(Broken{Call: reader})
	}
	for _, sequence := range c.running {
		c.book.Executions[sequence.executionIndex].Ended = now
	}
	c.reset(c.incarnation + 1)
}

// Idle reports whether no request runs or waits.
func (c *Core) Idle() bool {
	return len(c.running) == 0 && len(c.waiting) == 0
}

// Leaving reports whether the engine has announced that it is shutting down.
func (c *Core) Leaving() bool {
	return c.leaving
}

// State returns the state that the engine reports.
func (c *Core) State(now time.Time) fleet.EngineState {
	self := c.options.Backend
	self.Leaving = c.leaving
	state := fleet.EngineState{
		Backend:        self,
		Incarnation:    c.incarnation,
		Fence:          c.fence,
		Role:           c.role,
		MemoryBytes:    c.options.MemoryBytes,
		KVReserveBytes: c.options.KVReserveBytes,
		Tiers:          c.checkpoints.snapshot(),
		Report:         c.report(now),
	}
	for _, model := range c.models {
		state.Models = append(state.Models, model.loadedModel())
	}
	return state
}

// Book returns a copy of the engine's records. The busy time of models that are
// still resident is counted up to now.
func (c *Core) Book(now time.Time) books.Book {
	book := c.book
	book.Residencies = append([]books.Residency(nil), c.book.Residencies...)
	book.Executions = append([]books.Execution(nil), c.book.Executions...)
	for _, model := range c.models {
		if model.running > 0 {
			book.Residencies[model.residencyIndex].BusySeconds += now.Sub(model.busySince).Seconds()
		}
	}
	return book
}

func (c *Core) takeClaim(now time.Time, message TakeClaim) {
	claim := message.Claim
	granted := claim.Incarnation == c.incarnation && claim.Fence > c.fence
	if !granted && !c.options.Defects.NoFence {
		c.emit(FenceRefused{Call: message.Call, Refusal: c.fenceRefusal()})
		return
	}
	c.fence = claim.Fence
	c.emit(StateRead{Call: message.Call, State: c.State(now)})
}

func (c *Core) fenceRefusal() backend.FenceRefusal {
	return backend.FenceRefusal{Fence: c.fence, Incarnation: c.incarnation}
}

func earliest(one, other time.Time) time.Time {
	if one.IsZero() || (!other.IsZero() && other.Before(one)) {
		return other
	}
	return one
}
