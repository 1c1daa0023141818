package leadership

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// advance moves the round on as far as what is known allows.
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
		return (expired || c.settled()) && c.startLearning(now)
	case phaseLearning:
		if expired {
			c.end(now, "record not learned", 0)
		}
		return false
	case phaseClaiming:
		return (expired || c.settled()) && c.startVerifying(now)
	case phaseVerifying:
		return (expired || c.settled()) && c.establish()
	case phaseLeading:
		c.followRecord(now)
		return false
	}
	return false
}

// settled reports whether no answer is awaited.
func (c *Core) settled() bool {
	for _, engine := range c.engines {
		if engine.asked != 0 {
			return false
		}
	}
	return true
}

// startReading is step 1: the incarnations are read before the record is
// learned, so that a claim cannot name an incarnation younger than the record.
func (c *Core) startReading(now time.Time) bool {
	c.phase = phaseReading
	c.began = now
	c.notBefore = now.Add(c.options.Settings.MinRoundInterval)
	c.deadline = now.Add(c.options.Settings.AnswerTimeout)
	c.engines = make(map[fleet.BackendName]*engineProgress)
	for _, name := range c.record.Engines(c.options.Zone) {
		c.engines[name] = &engineProgress{}
		c.ask(name)
	}
	return true
}

func (c *Core) ask(name fleet.BackendName) {
	address, found := c.addresses[name]
	if !found {
		return
	}
	id := c.nextID()
	c.engines[name].asked = id
	c.emit(ReadEngine{ID: id, Engine: name, Address: address})
}

// startLearning is step 2.
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

func (c *Core) learn(now time.Time, learned RecordLearned) {
	if !learned.Failed {
		c.hear(learned.Record)
	}
	if c.phase != phaseLearning || learned.ID != c.learnID {
		return
	}
	if learned.Failed || learned.Record.Generation == 0 {
		c.end(now, "record not learned", 0)
		return
	}
	c.startClaiming(now, c.record)
	if !learned.FromStore {
		c.countJoining()
	}
}

// countJoining counts the engines that join as full: a record learned from a
// majority may miss that they were admitted. One learned from the store does
// not: whoever admits them later holds no engine that this round can claim.
func (c *Core) countJoining() {
	for _, name := range c.record.Zones[c.options.Zone].Joining {
		if c.phase == phaseClaiming && !c.gone[name] && c.engines[name] == nil {
			c.engines[name] = &engineProgress{}
		}
	}
}

// startClaiming is step 3. Engines that the learned record names and that were
// not read before count as full; one that shows a later record than the one
// learned ends the round.
func (c *Core) startClaiming(now time.Time, record allotment.Record) bool {
	if c.highest.AllotmentVersion() > record.Generation {
		c.end(now, "an engine knows a later record", c.options.Settings.YieldDelay)
		return false
	}
	c.phase = phaseClaiming
	c.learned = record
	c.followed = record.Generation
	c.deadline = now.Add(c.options.Settings.AnswerTimeout)
	c.fence = c.nextFence(record.Generation)
	c.highest = c.fence
	inRecord := make(map[fleet.BackendName]bool)
	for _, name := range c.counted(record) {
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

// nextFence is above every fence seen.
func (c *Core) nextFence(generation uint64) fleet.Fence {
	term := uint64(1)
	if c.highest.AllotmentVersion() == generation {
		term = c.highest.Term() + 1
	}
	return fleet.NewFence(generation, term, c.options.Holder)
}

// startVerifying reads the granted engines again. Those that still hold the
// fence held it all together at one moment: after the last grant and before
// the first of these reads. Without this an engine that restarted after its
// grant would be counted by an inventory that is no longer its own.
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
		c.ask(name)
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
