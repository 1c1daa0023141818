package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Options are the constants of routing. Zero values are replaced by the
// defaults.
type Options struct {
	Zone fleet.Zone
	Seed uint64
	// EngineSlots is the number of requests that an engine is taken to run at
	// a time until its reports tell more.
	EngineSlots int
	// ReportLag is how old a report is taken to be when it comes in.
	ReportLag time.Duration
	// StaleAfter is the age from which a report alone is not believed.
	StaleAfter time.Duration
	// SlowStart is the time over which a fresh replica's room grows to full.
	SlowStart time.Duration
	// OtherZoneCost is added to the score of a back end in another zone.
	OtherZoneCost time.Duration
	// PrefillSaved is the time saved by each prompt block in the cache.
	PrefillSaved time.Duration
	// MaxEjectedShare is the part of the replicas of a model, or of the back
	// ends of a service, that may be ejected as outliers at a time.
	MaxEjectedShare float64
	Defects         Defects
}

// Defects are faults to plant. Only tests and the simulator set them.
type Defects struct {
	// TrustReports leaves out the node's own requests in flight.
	TrustReports bool
	// IgnoreLeaving picks back ends that leave.
	IgnoreLeaving bool
	// NoEjectionCap ejects every outlier.
	NoEjectionCap bool
	// FirstBest takes the best of all by score in place of the best of two.
	FirstBest bool
}

// Defaults of Options.
const (
	DefaultEngineSlots   = 16
	DefaultReportLag     = 300 * time.Millisecond
	DefaultStaleAfter    = 3 * time.Second
	DefaultSlowStart     = 5 * time.Second
	DefaultOtherZoneCost = 3 * time.Millisecond
	DefaultPrefillSaved  = 2 * time.Millisecond

	DefaultMaxEjectedShare = 0.34
)

func (o Options) withDefaults() Options {
	o.EngineSlots = cmp.Or(o.EngineSlots, DefaultEngineSlots)
	o.ReportLag = cmp.Or(o.ReportLag, DefaultReportLag)
	o.StaleAfter = cmp.Or(o.StaleAfter, DefaultStaleAfter)
	o.SlowStart = cmp.Or(o.SlowStart, DefaultSlowStart)
	o.OtherZoneCost = cmp.Or(o.OtherZoneCost, DefaultOtherZoneCost)
	o.PrefillSaved = cmp.Or(o.PrefillSaved, DefaultPrefillSaved)
	o.MaxEjectedShare = cmp.Or(o.MaxEjectedShare, DefaultMaxEjectedShare)
	return o
}

// flight is one attempt that the node has at a back end.
type flight struct {
	target  *target
	model   fleet.ModelVersion
	started time.Time
	// incarnation is that of the back end as it was picked.
	incarnation uint64
}

// Core is the routing of one node.
type Core struct {
	options Options
	random  *rand.Rand
	targets map[fleet.BackendName]*target
	// byModel and byService hold the targets sorted by name.
	byModel   map[fleet.ModelVersion][]*target
	byService map[string][]*target
	leaving   map[fleet.BackendName]bool
	// zones are those of the tables.
	zones       map[fleet.Zone]bool
	evacuations *evacuation.Table
	places      locality.Map
	flights     map[Ticket]*flight
	// announcements are the times at which a model's room may grow without a
	// message, oldest first.
	announcements []announcement
	effects       []Effect
}

// New returns a core that knows no back end.
func New(options Options) *Core {
	return &Core{
		options:   options.withDefaults(),
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		targets:   make(map[fleet.BackendName]*target),
		byModel:   make(map[fleet.ModelVersion][]*target),
		byService: make(map[string][]*target),
		leaving:   make(map[fleet.BackendName]bool),
		zones:     make(map[fleet.Zone]bool),
		flights:   make(map[Ticket]*flight),

		evacuations: evacuation.New(),
	}
}

// Step takes one message. The effects are valid until the next Step.
func (c *Core) Step(now time.Time, message Message) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	switch message := message.(type) {
	case Tables:
		c.takeTables(now, message.Tables)
	case Leaving:
		c.takeLeaving(message.Backends)
	case Evacuations:
		c.takeEvacuations(now, message.Snapshot)
	case Topology:
		c.places = message.Map
		c.announceAll()
	case Pick:
		c.pick(now, message)
	case PickService:
		c.pickService(now, message)
	case HintReceived:
		c.receiveHint(now, message)
	case FirstToken:
		c.firstToken(now, message)
	case Ended:
		c.ended(now, message)
	case Tick:
		c.makeAnnouncements(now)
		c.wakeCircuits(now)
	}
	return c.effects
}

// NextWake is when the next open circuit may be probed.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	for _, target := range c.targets {
		at := target.circuit.openUntil
		if !at.IsZero() && !target.circuit.announced && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	if len(c.announcements) > 0 && (wake.IsZero() || c.announcements[0].at.Before(wake)) {
		wake = c.announcements[0].at
	}
	return wake
}

type announcement struct {
	at    time.Time
	model fleet.ModelVersion
}

func (c *Core) announce(at time.Time, model fleet.ModelVersion) {
	wanted := announcement{at: at, model: model}
	// A rest ends long after the refusals that come behind it.
	index := len(c.announcements)
	for index > 0 && c.announcements[index-1].at.After(at) {
		index--
	}
	if index > 0 && c.announcements[index-1] == wanted {
		return
	}
	c.announcements = slices.Insert(c.announcements, index, wanted)
}

func (c *Core) makeAnnouncements(now time.Time) {
	for len(c.announcements) > 0 && !c.announcements[0].at.After(now) {
		model := c.announcements[0].model
		c.announcements = c.announcements[1:]
		if !model.IsZero() {
			c.emit(CapacityChanged{Model: model})
		}
	}
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) takeTables(now time.Time, tables []fleet.RouteTable) {
	seen := make(map[fleet.BackendName]bool, len(c.targets))
	changed := false
	clear(c.zones)
	for _, table := range tables {
		c.zones[table.Zone] = true
		for _, engine := range table.Engines {
			seen[engine.Name] = true
			changed = c.target(engine.Name).takeEngine(now, engine, c.options) || changed
		}
		for _, service := range table.Services {
			seen[service.Name] = true
			target := c.target(service.Name)
			changed = changed || target.backend.Kind != service.Kind || target.backend.Service != service.Service
			target.backend = service
		}
	}
	for name := range c.targets {
		if !seen[name] {
			delete(c.targets, name)
			changed = true
		}
	}
	// Most tables bring newer reports only, which the lists do not hold.
	if changed {
		c.index()
	}
	c.announceAll()
}

// announceAll has the room of each model asked for anew.
func (c *Core) announceAll() {
	for _, model := range c.models() {
		c.emit(CapacityChanged{Model: model})
	}
}

func (c *Core) target(name fleet.BackendName) *target {
	if known, found := c.targets[name]; found {
		return known
	}
	created := &target{}
	c.targets[name] = created
	return created
}

// index rebuilds the lists by model and by service.
func (c *Core) index() {
	names := make([]fleet.BackendName, 0, len(c.targets))
	for name := range c.targets {
		names = append(names, name)
	}
	slices.Sort(names)
	clear(c.byModel)
	clear(c.byService)
	for _, name := range names {
		target := c.targets[name]
		for _, loaded := range target.engine.Models {
			if loaded.State == fleet.LoadReady {
				c.byModel[loaded.Model] = append(c.byModel[loaded.Model], target)
			}
		}
		if target.backend.Kind == fleet.KindService {
			service := target.backend.Service
			c.byService[service] = append(c.byService[service], target)
		}
	}
}

func (c *Core) models() []fleet.ModelVersion {
	models := make([]fleet.ModelVersion, 0, len(c.byModel))
	for model := range c.byModel {
		models = append(models, model)
	}
	slices.SortFunc(models, fleet.ModelVersion.Compare)
	return models
}

func (c *Core) takeLeaving(backends []fleet.BackendName) {
	clear(c.leaving)
	for _, name := range backends {
		c.leaving[name] = true
	}
}

// takeEvacuations tells of the room of all models at once: what waits for an
// engine of an evacuated zone has to wait for another one.
func (c *Core) takeEvacuations(now time.Time, word evacuation.Snapshot) {
	if len(c.evacuations.ApplyPeerSnapshot(now, word)) > 0 {
		c.announceAll()
	}
}

// HasZone reports whether some zone that has a table is in service and lies in the
// regions.
func (c *Core) HasZone(regions locality.Regions) bool {
	for zone := range c.zones {
		if c.isInService(zone, regions) {
			return true
		}
	}
	return false
}

// isInService reports whether attempts that may run in the regions may begin in the
// zone.
func (c *Core) isInService(zone fleet.Zone, regions locality.Regions) bool {
	return !c.evacuations.IsEvacuated(string(zone)) && regions.Allows(c.places.Region(string(zone)))
}

// AllEvacuated reports whether every zone that has a table is evacuated, so that
// there is nowhere to send a request.
func (c *Core) AllEvacuated() bool {
	return len(c.zones) > 0 && !c.HasZone(locality.Regions{})
}

func (c *Core) firstToken(now time.Time, message FirstToken) {
	flight, found := c.flights[message.Ticket]
	if !found {
		return
	}
	flight.target.circuit.succeed()
	flight.target.health.addFirstToken(message.After)
	c.judgeSpeed(now, flight)
}

func (c *Core) ended(now time.Time, ended Ended) {
	flight, found := c.flights[ended.Ticket]
	if !found {
		return
	}
	delete(c.flights, ended.Ticket)
	target := flight.target
	target.ended(now, flight.started, c.options.ReportLag)
	switch ended.Result {
	case ResultOK:
		target.circuit.succeed()
		target.health.addResult(now, false)
	case ResultFailed, ResultUnreachable:
		target.circuit.fail(now, ended.Result == ResultUnreachable, c.random)
		target.health.addResult(now, true)
	case ResultRefused:
		// Said before anything ran: the table may lag behind the back end.
		target.circuit.release()
		target.refuse(now, flight.model)
		c.announce(now.Add(refusalPause), flight.model)
	case ResultAbandoned:
		target.circuit.release()
	}
	if !flight.model.IsZero() {
		c.emit(CapacityChanged{Model: flight.model})
	}
}

func (c *Core) wakeCircuits(now time.Time) {
	for _, model := range c.models() {
		for _, target := range c.byModel[model] {
			circuit := &target.circuit
			if !circuit.openUntil.IsZero() && !circuit.openUntil.After(now) && !circuit.announced {
				c.emit(CapacityChanged{Model: model})
			}
		}
	}
	for _, target := range c.targets {
		if !target.circuit.openUntil.After(now) {
			target.circuit.announced = true
		}
	}
}
