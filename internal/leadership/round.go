package leadership

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// advance takes as many steps of the round as possible.
func (c *Core) advance(now time.Time) {
	for c.advanceOnce(now) {
	}
}

func (c *Core) advanceOnce(now time.Time) bool {
	expired := !now.Before(c.deadline)
	switch c.phase {
	case phaseIdle:
		return c.desired && !now.Before(c.notBefore) && c.startReading(now)
	case phaseReading:
		return (expired || c.allAnswered()) && c.startLearning(now)
	case phaseLearning:
		if expired {
			c.endRound(now, "record could not be read", 0)
		}
		return false
	case phaseClaiming:
		return (expired || c.allAnswered()) && c.startVerifying(now)
	case phaseVerifying:
		return (expired || c.allAnswered()) && c.establish()
	case phaseLeading:
		c.followRecord(now)
		return false
	}
	return false
}

// allAnswered reports whether no answer is awaited.
func (c *Core) allAnswered() bool {
	for _, engine := range c.engines {
		if engine.asked != 0 {
			return false
		}
	}
	return true
}

// startReading is step 1. The incarnations are read before the record, so that
// a claim cannot name an incarnation that is newer than the record.
func (c *Core) startReading(now time.Time) bool {
	c.phase = phaseReading
	c.startedAt = now
	c.notBefore = now.Add(c.options.Settings.MinRoundInterval)
	c.deadline = now.Add(c.options.Settings.AnswerTimeout)
	c.engines = make(map[fleet.BackendName]*engineProgress)
	for _, name := range c.record.Engines(c.options.Zone) {
		c.engines[name] = &engineProgress{}
		c.readEngine(name)
	}
	return true
}

func (c *Core) readEngine(name fleet.BackendName) {
	address, found := c.addresses[name]
	if !found {
		return
	}
	id := c.nextID()
	c.engines[name].asked = id
	c.emit(ReadEngine{ID: id, Engine: name, Address: address})
}

// startLearning is step 2: it reads the current record.
func (c *Core) startLearning(now time.Time) bool {
	c.phase = phaseLearning
	if c.options.Defects.StaleAllotment {
		return c.startClaiming(now, c.record)
	}
	c.deadline = now.Add(2 * c.options.Settings.AnswerTimeout)
	c.learnID = c.nextID()
	c.emit(LearnRecord{ID: c.learnID})
	return false
}

func (c *Core) recordLearned(now time.Time, learned RecordLearned) {
	if !learned.Failed {
		c.adoptRecord(learned.Record)
	}
	if c.phase != phaseLearning || learned.ID != c.learnID {
		return
	}
	if learned.Failed || learned.Record.Generation == 0 {
		c.endRound(now, "record could not be read", 0)
		return
	}
	c.startClaiming(now, c.record)
	if !learned.FromStore {
		c.assumeJoiningFull()
	}
}

// assumeJoiningFull adds the joining engines as full, since a record learned
// from a majority may not show yet that they were admitted. A record learned
// from the store needs no such addition: whoever admits them later holds no
// engine that this round can claim.
func (c *Core) assumeJoiningFull() {
	for _, name := range c.record.Zones[c.options.Zone].Joining {
		if c.phase == phaseClaiming && !c.gone[name] && c.engines[name] == nil {
			c.engines[name] = &engineProgress{}
		}
	}
}

// startClaiming is step 3. Engines in the record that were not read before
// count as full. If an engine shows a newer record than the one learned, the
// round ends.
func (c *Core) startClaiming(now time.Time, record allotment.Record) bool {
	if c.highest.AllotmentVersion() > record.Generation {
		c.endRound(now, "an engine holds the fence of a newer record", c.options.Settings.YieldDelay)
		return false
	}
	c.phase = phaseClaiming
	c.learned = record
	c.followed = record.Generation
	c.deadline = now.Add(c.options.Settings.AnswerTimeout)
	c.fence = c.nextFence(record.Generation)
	c.highest = c.fence
	inRecord := make(map[fleet.BackendName]bool)
	for _, name := range c.countedEngines(record) {
		inRecord[name] = true
		if c.engines[name] == nil {
			c.engines[name] = &engineProgress{}
		}
	}
	for _, name := range c.sortedEngines() {
		engine := c.engines[name]
		if !inRecord[name] {
			delete(c.engines, name)
			continue
		}
		engine.asked = 0
		if engine.read {
			c.claim(name, engine)
		}
	}
	return true
}

func (c *Core) claim(name fleet.BackendName, engine *engineProgress) {
	engine.asked = c.nextID()
	c.emit(SendClaim{
		ID:          engine.asked,
		Engine:      name,
		Address:     c.addresses[name],
		Fence:       c.fence,
		Incarnation: engine.incarnation,
	})
}

// nextFence returns a fence above every fence seen.
func (c *Core) nextFence(generation uint64) fleet.Fence {
	term := uint64(1)
	if c.highest.AllotmentVersion() == generation {
		term = c.highest.Term() + 1
	}
	return fleet.NewFence(generation, term, c.options.Holder)
}

// startVerifying reads the granted engines again. All engines that still hold
// the fence held it at the same moment: after the last grant and before the
// first of these reads. Without this step, an engine that restarted after its
// grant would be counted with an outdated inventory.
func (c *Core) startVerifying(now time.Time) bool {
	c.phase = phaseVerifying
	c.deadline = now.Add(c.options.Settings.AnswerTimeout)
	for _, name := range c.sortedEngines() {
		engine := c.engines[name]
		engine.asked = 0
		if !engine.granted {
			continue
		}
		if c.options.Defects.NoVerify {
			engine.verified = true
			continue
		}
		c.readEngine(name)
	}
	return true
}

func (c *Core) establish() bool {
	c.phase = phaseLeading
	held := make(map[fleet.BackendName]fleet.EngineState)
	var full []fleet.BackendName
	for _, name := range c.sortedEngines() {
		engine := c.engines[name]
		engine.asked = 0
		if engine.verified {
			held[name] = engine.state
			continue
		}
		full = append(full, name)
	}
	if c.options.Defects.NoConservativeCount {
		full = nil
	}
	c.emit(RoundEstablished{Fence: c.fence, Record: c.learned, Held: held, AssumedFull: full})
	return true
}
