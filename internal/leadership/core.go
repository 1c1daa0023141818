package leadership

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Settings are the times of the core; none of them bears on safety.
type Settings struct {
	// AnswerTimeout bounds the wait for engines in each step of a round.
	AnswerTimeout time.Duration
	// YieldDelay is how long a node waits after a greater fence was met.
	YieldDelay time.Duration
	// MinRoundInterval is the least time between the starts of two rounds. It
	// doubles, up to LongestInterval, for each round that did not last so long.
	MinRoundInterval time.Duration
	MaxRoundInterval time.Duration
}

// DefaultSettings returns the times used outside tests.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout:    time.Second,
		YieldDelay:       2 * time.Second,
		MinRoundInterval: 250 * time.Millisecond,
		MaxRoundInterval: 4 * time.Second,
	}
}

// Defects are planted faults. Only tests and the simulator set them.
type Defects struct {
	// NoVerify establishes a round without reading the engines again.
	NoVerify bool
	// NoConservativeCount counts engines that the round does not hold as empty.
	NoConservativeCount bool
	// StaleAllotment claims under the record heard last without learning it.
	StaleAllotment bool
}

// Options make a core.
type Options struct {
	Self     fleet.NodeName
	Zone     fleet.Zone
	Settings Settings
	// Holder marks the fences of this process; a hash of name and boot.
	Holder  uint16
	Defects Defects
}

// phase is the step of the round.
type phase int

const (
	phaseIdle phase = iota
	phaseReading
	phaseLearning
	phaseClaiming
	phaseVerifying
	phaseLeading
)

// engineProgress is one engine's way through the round.
type engineProgress struct {
	// asked is the ID of the question whose answer is awaited; 0 for none.
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
	// interval is the present least time between rounds, began when the round
	// did.
	interval time.Duration
	began    time.Time
	sequence uint64
	learnID  uint64
	learned  allotment.Record
	// followed is the generation up to which the record asks for no new round.
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

// Fence is the fence of the round.
func (c *Core) Fence() fleet.Fence { return c.fence }

// NextWake returns when Step(now, Tick{}) is wanted; zero for none.
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

// Step takes a message and returns what is to be done.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	switch message := message.(type) {
	case Tick:
	case LeadershipDesired:
		c.setDesired(message.Lead)
	case EnginesListed:
		c.setEngines(message)
	case RecordReceived:
		c.hear(message.Record)
	case RecordLearned:
		c.learn(now, message)
	case StateRead:
		c.takeState(now, message)
	case ClaimAnswered:
		c.takeClaim(now, message)
	case OrderRefused:
		c.orderRefused(now, message)
	case RestartRound:
		c.end(now, "renewed", 0)
	}
	c.advance(now)
	return c.effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) nextID() uint64 {
	c.sequence++
	return c.sequence
}

func (c *Core) setDesired(lead bool) {
	c.desired = lead
	if !lead {
		c.stop("not wanted")
	}
}

func (c *Core) setEngines(listed EnginesListed) {
	c.addresses = listed.Addresses
	c.gone = listed.Gone
}

func (c *Core) hear(record allotment.Record) {
	if record.Generation > c.record.Generation {
		c.record = record
	}
}

// followRecord ends the round where the newer record asks for one that carries
// it: an engine was added, or a limit of the zone was lowered.
func (c *Core) followRecord(now time.Time) {
	if c.record.Generation <= c.followed {
		return
	}
	c.followed = c.record.Generation
	for _, name := range c.counted(c.record) {
		if c.engines[name] == nil {
			c.end(now, "an engine was added", 0)
			return
		}
	}
	for _, decision := range c.record.Models {
		share := decision.Zones[c.options.Zone]
		if share.Ceiling > share.Limit && share.LoweredAt > c.learned.Generation {
			c.end(now, "a limit was lowered", 0)
			return
		}
	}
}

func (c *Core) orderRefused(now time.Time, refused OrderRefused) {
	c.highest = max(c.highest, refused.Fence)
	pause := time.Duration(0)
	if refused.Fence > c.fence {
		pause = c.options.Settings.YieldDelay
	}
	c.end(now, "order refused by "+string(refused.Engine), pause)
}

// end ends the round and allows the next after the pause.
func (c *Core) end(now time.Time, reason string, pause time.Duration) {
	if c.phase == phaseIdle {
		return
	}
	c.adjustInterval(now)
	c.stop(reason)
	if next := c.began.Add(c.interval); next.After(c.notBefore) {
		c.notBefore = next
	}
	if next := now.Add(pause); next.After(c.notBefore) {
		c.notBefore = next
	}
}

// adjustInterval slows rounds down that end soon, such as those over an engine
// that answers reads but no claims. Waiting for a record does not count.
func (c *Core) adjustInterval(now time.Time) {
	settings := c.options.Settings
	if now.Sub(c.began) >= settings.MaxRoundInterval || c.phase == phaseLearning {
		c.interval = settings.MinRoundInterval
		return
	}
	c.interval = min(max(2*c.interval, settings.MinRoundInterval), settings.MaxRoundInterval)
}

func (c *Core) stop(reason string) {
	if c.phase == phaseLeading {
		c.emit(RoundEnded{Reason: reason})
	}
	c.phase = phaseIdle
	c.engines = nil
}

// counted are the engines that the zone may use and must count: those recorded,
// but for those gone. One that answered in this round is not gone, whatever the
// machine list says.
func (c *Core) counted(record allotment.Record) []fleet.BackendName {
	var names []fleet.BackendName
	for _, name := range record.Engines(c.options.Zone) {
		progress := c.engines[name]
		if !c.gone[name] || (progress != nil && progress.read) {
			names = append(names, name)
		}
	}
	return names
}

func (c *Core) sortedEngines() []fleet.BackendName {
	return slices.Sorted(maps.Keys(c.engines))
}

// NextRequestID returns the next number of the sequence of questions, for questions
// that are put beside the round's own.
func (c *Core) NextRequestID() uint64 { return c.nextID() }

// LastRequestID returns the number of the newest question.
func (c *Core) LastRequestID() uint64 { return c.sequence }

// RoundRecord is the record that the round carries.
func (c *Core) RoundRecord() allotment.Record { return c.learned }
