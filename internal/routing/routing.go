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

// Options configure a Core. Zero values are replaced by the defaults.
type Options struct {
	Zone fleet.Zone
	Seed uint64
	// EngineSlots is the assumed number of concurrent requests of an engine until its reports show
	// the actual one.
	EngineSlots int
	// ReportLag is the assumed age of a report when it arrives.
	ReportLag time.Duration
	// StaleAfter is the age from which a report is no longer relied on alone.
	StaleAfter time.Duration
	// SlowStart is the time in which the load on a new replica is ramped up.
	SlowStart time.Duration
	// OtherZoneCost is added to the score of a back end in another zone.
	OtherZoneCost time.Duration
	// PrefillSaved is the time saved by each prompt block in the cache.
	PrefillSaved time.Duration
	// MaxEjectedShare is the share of a model's replicas, or of a service's back ends, that may be
	// ejected as outliers at a time.
	MaxEjectedShare float64
	Defects         Defects
}

// Defects are faults to inject. Only tests and the simulator set them.
type Defects struct {
	// TrustReports ignores the node's own attempts in flight.
	TrustReports bool
	// IgnoreLeaving picks back ends that are leaving.
	IgnoreLeaving bool
	// NoEjectionCap ejects every outlier.
	NoEjectionCap bool
	// FirstBest picks the best of all candidates by score instead of the best of two.
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

// attempt is an attempt of this node in flight at a back end.
type attempt struct {
	target  *target
	model   fleet.ModelVersion
	started time.Time
	// incarnation is the back end's incarnation when it was picked.
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
	// zones are the zones that have a table.
	zones       map[fleet.Zone]bool
	evacuations *evacuation.Table
	topology    locality.Map
	attempts    map[Ticket]*attempt
	// scheduledChanges are the times at which a model's capacity may grow without a message,
	// earliest first.
	scheduledChanges []scheduledChange
	// refreshUntil is the time until which nothing is sent after a pause of the process; zero if
	// there was none.
	refreshUntil time.Time
	effects      []Effect
}

// New returns a core that knows no back ends.
func New(options Options) *Core {
	return &Core{
		options:   options.withDefaults(),
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		targets:   make(map[fleet.BackendName]*target),
		byModel:   make(map[fleet.ModelVersion][]*target),
		byService: make(map[string][]*target),
		leaving:   make(map[fleet.BackendName]bool),
		zones:     make(map[fleet.Zone]bool),
		attempts:  make(map[Ticket]*attempt),

		evacuations: evacuation.New(),
	}
}

// Step handles one message. The effects are valid until the next Step.
func (c *Core) Step(now time.Time, message Message) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	c.endRefresh(now)
	switch message := message.(type) {
	case Tables:
		c.applyTables(now, message.Tables)
	case Leaving:
		c.applyLeaving(message.Backends)
	case Evacuations:
		c.applyEvacuations(now, message.Snapshot)
	case Topology:
		c.topology = message.Map
		c.emitAllCapacityChanges()
	case Pick:
		c.pick(now, message)
	case PickService:
		c.pickService(now, message)
	case HintReceived:
		c.receiveHint(now, message)
	case FirstToken:
		c.handleFirstToken(now, message)
	case Ended:
		c.handleEnded(now, message)
	case Resumed:
		c.handleResumed(now)
	case Tick:
		c.emitScheduledChanges(now)
		c.emitProbeableCircuits(now)
	}
	return c.effects
}

// NextWake returns the time at which the next Tick is due: when an open circuit may be probed, a
// scheduled capacity change happens, or the refresh after a pause ends. It is zero if none is due.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	for _, target := range c.targets {
		at := target.circuit.openUntil
		if !at.IsZero() && !target.circuit.probeAnnounced && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	if len(c.scheduledChanges) > 0 && (wake.IsZero() || c.scheduledChanges[0].at.Before(wake)) {
		wake = c.scheduledChanges[0].at
	}
	if !c.refreshUntil.IsZero() && (wake.IsZero() || c.refreshUntil.Before(wake)) {
		wake = c.refreshUntil
	}
	return wake
}

// scheduledChange is a time at which the capacity for a model may grow.
type scheduledChange struct {
	at    time.Time
	model fleet.ModelVersion
}

func (c *Core) scheduleChange(at time.Time, model fleet.ModelVersion) {
	change := scheduledChange{at: at, model: model}
	// A backoff usually ends long after the refusals that follow it, so search from the end.
	index := len(c.scheduledChanges)
	for index > 0 && c.scheduledChanges[index-1].at.After(at) {
		index--
	}
	if index > 0 && c.scheduledChanges[index-1] == change {
		return
	}
	c.scheduledChanges = slices.Insert(c.scheduledChanges, index, change)
}

func (c *Core) emitScheduledChanges(now time.Time) {
	for len(c.scheduledChanges) > 0 && !c.scheduledChanges[0].at.After(now) {
		model := c.scheduledChanges[0].model
		c.scheduledChanges = c.scheduledChanges[1:]
		if !model.IsZero() {
			c.emit(CapacityChanged{Model: model})
		}
	}
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) applyTables(now time.Time, tables []fleet.RouteTable) {
	seen := make(map[fleet.BackendName]bool, len(c.targets))
	changed := false
	clear(c.zones)
	for _, table := range tables {
		c.zones[table.Zone] = true
		for _, engine := range table.Engines {
			seen[engine.Name] = true
			changed = c.target(engine.Name).applyEngine(now, engine, c.options) || changed
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
	// Most tables only contain newer reports, which the indexes don't depend on.
	if changed {
		c.rebuildIndexes()
	}
	c.emitAllCapacityChanges()
}

// emitAllCapacityChanges emits CapacityChanged for every model.
func (c *Core) emitAllCapacityChanges() {
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

// rebuildIndexes rebuilds the indexes by model and by service.
func (c *Core) rebuildIndexes() {
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

func (c *Core) applyLeaving(backends []fleet.BackendName) {
	clear(c.leaving)
	for _, name := range backends {
		c.leaving[name] = true
	}
}

// applyEvacuations emits CapacityChanged for all models at once: requests that wait for an engine
// of an evacuated zone have to wait for another one.
func (c *Core) applyEvacuations(now time.Time, snapshot evacuation.Snapshot) {
	if len(c.evacuations.ApplyPeerSnapshot(now, snapshot)) > 0 {
		c.emitAllCapacityChanges()
	}
}

// HasZone reports whether any zone that has a table is in service and lies in the regions.
func (c *Core) HasZone(regions locality.Regions) bool {
	for zone := range c.zones {
		if c.isInService(zone, regions) {
			return true
		}
	}
	return false
}

// isInService reports whether attempts within the regions may start in the zone.
func (c *Core) isInService(zone fleet.Zone, regions locality.Regions) bool {
	return !c.evacuations.IsEvacuated(string(zone)) && regions.Allows(c.topology.Region(string(zone)))
}

// AllEvacuated reports whether every zone that has a table is evacuated, so that there is nowhere
// to send a request.
func (c *Core) AllEvacuated() bool {
	return len(c.zones) > 0 && !c.HasZone(locality.Regions{})
}

func (c *Core) handleFirstToken(now time.Time, message FirstToken) {
	attempt, found := c.attempts[message.Ticket]
	if !found {
		return
	}
	attempt.target.circuit.recordSuccess()
	attempt.target.health.addFirstToken(message.After)
	c.ejectIfSlow(now, attempt)
}

func (c *Core) handleEnded(now time.Time, ended Ended) {
	attempt, found := c.attempts[ended.Ticket]
	if !found {
		return
	}
	delete(c.attempts, ended.Ticket)
	target := attempt.target
	target.ended(now, attempt.started, c.options.ReportLag)
	if attempt.incarnation == target.engine.Incarnation {
		c.recordResult(now, attempt, ended.Result)
	}
	if !attempt.model.IsZero() {
		c.emit(CapacityChanged{Model: attempt.model})
	}
}

// recordResult applies the result of an attempt to the incarnation that it was sent to.
func (c *Core) recordResult(now time.Time, attempt *attempt, result Result) {
	target := attempt.target
	switch result {
	case ResultOK:
		target.circuit.recordSuccess()
		target.health.addResult(now, false)
	case ResultFailed, ResultUnreachable:
		target.circuit.recordFailure(now, result == ResultUnreachable, c.random)
		target.health.addResult(now, true)
	case ResultRefused:
		// The refusal came before anything ran: the table may lag behind the back end.
		target.circuit.releaseProbe()
		target.refuse(now, attempt.model)
		c.scheduleChange(now.Add(refusalPause), attempt.model)
	case ResultAbandoned:
		target.circuit.releaseProbe()
	}
}

// emitProbeableCircuits emits CapacityChanged for the models of targets whose open circuit may now
// be probed, once for each time that a circuit opens.
func (c *Core) emitProbeableCircuits(now time.Time) {
	for _, model := range c.models() {
		for _, target := range c.byModel[model] {
			circuit := &target.circuit
			if !circuit.openUntil.IsZero() && !circuit.openUntil.After(now) && !circuit.probeAnnounced {
				c.emit(CapacityChanged{Model: model})
			}
		}
	}
	for _, target := range c.targets {
		if !target.circuit.openUntil.After(now) {
			target.circuit.probeAnnounced = true
		}
	}
}
