package leadership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Settings are the intervals and timeouts of the core. None of them affects
// safety.
type Settings struct {
	// AnswerTimeout limits the wait for engines in each step of a round.
	AnswerTimeout time.Duration
	// YieldDelay is how long a node waits before its next round after it met a
	// greater fence.
	YieldDelay time.Duration
	// MinRoundInterval is the minimum time between the starts of two rounds. It
	// doubles, up to MaxRoundInterval, with each round that ends sooner than
	// MaxRoundInterval.
	MinRoundInterval time.Duration
	MaxRoundInterval time.Duration
}

// DefaultSettings returns the settings used outside tests.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout:    time.Second,
		YieldDelay:       2 * time.Second,
		MinRoundInterval: 250 * time.Millisecond,
		MaxRoundInterval: 4 * time.Second,
	}
}

// Defects are deliberately injected faults. Only tests and the simulator set
// them.
type Defects struct {
	// NoVerify establishes a round without reading the engines again.
	NoVerify bool
	// NoConservativeCount counts the engines that the round has not claimed as
	// empty.
	NoConservativeCount bool
	// StaleAllotment claims engines under the last received record without
	// reading the current one.
	StaleAllotment bool
}

// Options configure a Core.
type Options struct {
	Self     fleet.NodeName
	Zone     fleet.Zone
	Settings Settings
	// Holder identifies this process in its fences; it is a hash of the node's
	// name and boot ID.
	Holder  uint16
	Defects Defects
}

// phase is the current step of the round.
type phase int

const (
	phaseIdle phase = iota
	phaseReading
	phaseLearning
	phaseClaiming
	phaseVerifying
	phaseLeading
)

// engineProgress tracks one engine through the round.
type engineProgress struct {
	// asked is the ID of the request whose answer is awaited; 0 for none.
	asked       uint64
	read        bool
	incarnation uint64
	granted     bool
	state       fleet.EngineState
	verified    bool
}

// Core runs the rounds of one node. It is not safe for concurrent use.
type Core struct {
	options Options

	desired   bool
	addresses map[fleet.BackendName]string
	gone      map[fleet.BackendName]bool
	record    allotment.Record

	phase    phase
	deadline time.Time
	// notBefore is the earliest start of the next round.
	notBefore time.Time
	// interval is the current minimum time between rounds, startedAt the start
	// of the latest round.
	interval  time.Duration
	startedAt time.Time
	sequence  uint64
	learnID   uint64
	learned   allotment.Record
	// followed is the newest generation that was checked for changes that
	// require a new round.
	followed uint64
	fence    fleet.Fence
	highest  fleet.Fence
	engines  map[fleet.BackendName]*engineProgress
	effects  []Effect
}

// New returns a core that does not lead.
func New(options Options) *Core {
	return &Core{options: options}
}

// Leading reports whether a round is established.
func (c *Core) Leading() bool { return c.phase == phaseLeading }

// Fence returns the fence of the round.
func (c *Core) Fence() fleet.Fence { return c.fence }

// NextWake returns when Step(now, Tick{}) is due; zero if it is not needed.
func (c *Core) NextWake() time.Time {
	switch {
	case c.phase == phaseIdle && c.desired:
		return c.notBefore
	case c.phase == phaseIdle || c.phase == phaseLeading:
		return time.Time{}
	default:
		return c.deadline
	}
}

// Step handles a message and returns the effects to carry out.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	switch message := message.(type) {
	case Tick:
	case LeadershipDesired:
		c.setDesired(message)
	case EnginesListed:
		c.setEngines(message)
	case RecordReceived:
		c.adoptRecord(message.Record)
	case RecordLearned:
		c.recordLearned(now, message)
	case StateRead:
		c.stateRead(now, message)
	case ClaimAnswered:
		c.claimAnswered(now, message)
	case OrderRefused:
		c.orderRefused(now, message)
	case RestartRound:
		c.endRound(now, "renewed", 0)
	}
	c.advance(now)
	return c.effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) nextID() uint64 {
	c.sequence++
	return c.sequence
}

func (c *Core) setDesired(message LeadershipDesired) {
	c.desired = message.Lead
	if !message.Lead {
		c.stopRound(cmp.Or(message.Reason, "leadership no longer wanted"))
	}
}

func (c *Core) setEngines(listed EnginesListed) {
	c.addresses = listed.Addresses
	c.gone = listed.Gone
}

func (c *Core) adoptRecord(record allotment.Record) {
	if record.Generation > c.record.Generation {
		c.record = record
	}
}

// followRecord ends the round if a newer record requires a round under it: if
// an engine was added or a limit of the zone was lowered.
func (c *Core) followRecord(now time.Time) {
	if c.record.Generation <= c.followed {
		return
	}
	c.followed = c.record.Generation
	for _, name := range c.countedEngines(c.record) {
		if c.engines[name] == nil {
			c.endRound(now, "an engine was added", 0)
			return
		}
	}
	for _, decision := range c.record.Models {
		share := decision.Zones[c.options.Zone]
		if share.Ceiling > share.Limit && share.LoweredAt > c.learned.Generation {
			c.endRound(now, "a limit was lowered", 0)
			return
		}
	}
}

func (c *Core) orderRefused(now time.Time, refused OrderRefused) {
	c.highest = max(c.highest, refused.Fence)
	delay := time.Duration(0)
	if refused.Fence > c.fence {
		delay = c.options.Settings.YieldDelay
	}
	c.endRound(now, "order refused by "+string(refused.Engine), delay)
}

// endRound ends the round and delays the start of the next one.
func (c *Core) endRound(now time.Time, reason string, delay time.Duration) {
	if c.phase == phaseIdle {
		return
	}
	c.adjustInterval(now)
	c.stopRound(reason)
	if next := c.startedAt.Add(c.interval); next.After(c.notBefore) {
		c.notBefore = next
	}
	if next := now.Add(delay); next.After(c.notBefore) {
		c.notBefore = next
	}
}

// adjustInterval increases the interval after rounds that ended soon, for
// example because an engine answers reads but no claims. The wait for a record
// does not count.
func (c *Core) adjustInterval(now time.Time) {
	settings := c.options.Settings
	if now.Sub(c.startedAt) >= settings.MaxRoundInterval || c.phase == phaseLearning {
		c.interval = settings.MinRoundInterval
		return
	}
	c.interval = min(max(2*c.interval, settings.MinRoundInterval), settings.MaxRoundInterval)
}

func (c *Core) stopRound(reason string) {
	if c.phase == phaseLeading {
		c.emit(RoundEnded{Reason: reason})
	}
	c.phase = phaseIdle
	c.engines = nil
}

// countedEngines returns the engines that the zone may use and must count:
// those in the record except those that are gone. An engine that answered in
// this round is not gone, whatever the machine list says.
func (c *Core) countedEngines(record allotment.Record) []fleet.BackendName {
	var names []fleet.BackendName
	for _, name := range record.Engines(c.options.Zone) {
		engine := c.engines[name]
		if !c.gone[name] || (engine != nil && engine.read) {
			names = append(names, name)
		}
	}
	return names
}

func (c *Core) sortedEngines() []fleet.BackendName {
	return slices.Sorted(maps.Keys(c.engines))
}

// NextRequestID returns the next request sequence number, for requests sent
// outside of the round.
func (c *Core) NextRequestID() uint64 { return c.nextID() }

// LastRequestID returns the sequence number of the newest request.
func (c *Core) LastRequestID() uint64 { return c.sequence }

// RoundRecord returns the record that the round was started with.
func (c *Core) RoundRecord() allotment.Record { return c.learned }
