package control

import (
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// silentAfter is the number of failed reads after which an engine counts as
// silent.
const silentAfter = 2

// pollTimeout is when a read without answer is put again.
const pollTimeout = 2 * time.Second

// afterOrder is how long an engine is read often after an order: a state does
// not show that an adapter loads, only that it is there.
const afterOrder = 3 * time.Second

// pollState is what the leader knows of its reads of engines.
type pollState struct {
	engines map[fleet.BackendName]*enginePoll
	// shown are the newest states, for the planted defect only.
	shown map[fleet.BackendName]fleet.EngineState
}

type enginePoll struct {
	asked   uint64
	askedAt time.Time
	due     time.Time
	// failures counts the reads without an answer since the last one.
	failures int
	// told is what placement was told last of the engine's silence.
	told silence
	// orderedAt is the point in the sequence of questions of the last order:
	// states asked for before do not show it.
	orderedAt uint64
	// orderedUntil is how long the engine is read often after its last order.
	orderedUntil time.Time
}

// silence is what placement was told of an engine.
type silence int

const (
	untold silence = iota
	answering
	silent
)

func newPollState() pollState {
	return pollState{
		engines: make(map[fleet.BackendName]*enginePoll),
		shown:   make(map[fleet.BackendName]fleet.EngineState),
	}
}

func (p *pollState) clear() { clear(p.engines) }

func (p *pollState) of(name fleet.BackendName) *enginePoll {
	known := p.engines[name]
	if known == nil {
		known = &enginePoll{}
		p.engines[name] = known
	}
	return known
}

func (p *pollState) ordered(now time.Time, name fleet.BackendName, id uint64) {
	known := p.of(name)
	known.orderedAt = id
	known.due = time.Time{}
	known.orderedUntil = now.Add(afterOrder)
}

func (p *pollState) beforeOrder(read leadership.StateRead) bool {
	return read.ID < p.of(read.Engine).orderedAt
}

// answered notes the answer and reports whether the engine counts as silent, and
// whether that is news.
func (p *pollState) answered(read leadership.StateRead) (isSilent, news bool) {
	known := p.of(read.Engine)
	if known.asked == read.ID {
		known.asked = 0
	}
	known.failures++
	if !read.Failed {
		known.failures = 0
	}
	now := answering
	if known.failures >= silentAfter {
		now = silent
	}
	news = now != known.told
	known.told = now
	return now == silent, news
}

// sentInRound reports whether the order was sent under the fence.
func (p *pollState) sentInRound(orderID string, fence fleet.Fence) bool {
	return strings.HasPrefix(orderID, fence.String()+"-")
}

// poll reads the engines of the round that are due. Engines that the round
// does not hold are read too, so that it is noticed when they can be claimed.
func (c *Core) poll() {
	if !c.leader.Leading() && !(c.options.Defects.NoFence && c.leader.Fence() != 0) {
		return
	}
	for _, name := range c.leader.RoundRecord().Engines(c.options.Zone) {
		address := c.engineAddress(name)
		known := c.polls.of(name)
		if address == "" || c.now.Before(known.due) {
			continue
		}
		if known.asked != 0 && c.now.Sub(known.askedAt) < pollTimeout {
			continue
		}
		known.asked, known.askedAt = c.leader.NextRequestID(), c.now
		known.due = c.now.Add(c.pollInterval(name, known, c.ownTable()))
		c.engineAsked(name)
		c.emit(ReadEngine{leadership.ReadEngine{ID: known.asked, Engine: name, Address: address}})
	}
}

// pollInterval is short for engines at which something is under way, and for
// all of them while something waits in the zone: what waits is served sooner
// where any engine's change is seen sooner.
func (c *Core) pollInterval(name fleet.BackendName, known *enginePoll, table *zoneTable) time.Duration {
	if c.placement.Busy() || c.now.Before(known.orderedUntil) {
		return c.settings().BusyPollInterval
	}
	if table != nil {
		for _, loaded := range table.engines[name].Models {
			if loaded.State != fleet.LoadReady {
				return c.settings().BusyPollInterval
			}
		}
	}
	return c.settings().IdlePollInterval
}
