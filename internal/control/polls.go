package control

import (
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// unresponsiveThreshold is the number of consecutive failed reads after which an
// engine counts as unresponsive.
const unresponsiveThreshold = 2

// pollTimeout is when an unanswered read is sent again.
const pollTimeout = 2 * time.Second

// busyAfterOrder is how long an engine is polled at the short interval after an
// order. The engine's state alone is not enough to tell: it does not show that
// an adapter is loading, only that it is loaded.
const busyAfterOrder = 3 * time.Second

// pollState tracks the leader's reads of engines.
type pollState struct {
	engines map[fleet.BackendName]*enginePoll
	// answeredAt is when an engine last answered, or when the round began.
	answeredAt time.Time
	// lastStates are the newest states; only the NoFence defect uses them.
	lastStates map[fleet.BackendName]fleet.EngineState
}

type enginePoll struct {
	pendingID uint64
	sentAt    time.Time
	nextAt    time.Time
	// failures counts the failed reads since the last successful one.
	failures int
	// reported is the responsiveness last reported to placement.
	reported responsiveness
	// orderSequence is the request sequence number at the engine's last order:
	// states requested earlier do not show the order's effect.
	orderSequence uint64
	// busyUntil is when polling at the short interval after the last order ends.
	busyUntil time.Time
}

// responsiveness is what was reported to placement about an engine.
type responsiveness int

const (
	responsivenessUnknown responsiveness = iota
	responding
	unresponsive
)

func newPollState() pollState {
	return pollState{
		engines:    make(map[fleet.BackendName]*enginePoll),
		lastStates: make(map[fleet.BackendName]fleet.EngineState),
	}
}

// begin forgets the engines of earlier rounds.
func (p *pollState) begin(now time.Time) {
	clear(p.engines)
	p.answeredAt = now
}

func (p *pollState) engine(name fleet.BackendName) *enginePoll {
	poll := p.engines[name]
	if poll == nil {
		poll = &enginePoll{}
		p.engines[name] = poll
	}
	return poll
}

func (p *pollState) noteOrder(now time.Time, name fleet.BackendName, id uint64) {
	poll := p.engine(name)
	poll.orderSequence = id
	poll.nextAt = time.Time{}
	poll.busyUntil = now.Add(busyAfterOrder)
}

func (p *pollState) predatesOrder(read leadership.StateRead) bool {
	return read.ID < p.engine(read.Engine).orderSequence
}

// noteAnswer records the answer. It returns whether the engine counts as
// unresponsive and whether that has changed.
func (p *pollState) noteAnswer(now time.Time, read leadership.StateRead) (isUnresponsive, changed bool) {
	poll := p.engine(read.Engine)
	if poll.pendingID == read.ID {
		poll.pendingID = 0
	}
	poll.failures++
	if !read.Failed {
		poll.failures = 0
		p.answeredAt = now
	}
	status := responding
	if poll.failures >= unresponsiveThreshold {
		status = unresponsive
	}
	changed = status != poll.reported
	poll.reported = status
	return status == unresponsive, changed
}

// sentInRound reports whether the order was sent under the fence.
func (p *pollState) sentInRound(orderID string, fence fleet.Fence) bool {
	return strings.HasPrefix(orderID, fence.String()+"-")
}

// pollEngines reads the engines of the zone that are due. It also reads engines
// that the round has not claimed, to notice when they can be claimed.
func (c *Core) pollEngines() {
	if !c.leader.Leading() && !(c.options.Defects.NoFence && c.leader.Fence() != 0) {
		return
	}
	for _, name := range c.leader.RoundRecord().Engines(c.options.Zone) {
		address := c.engineAddress(name)
		poll := c.polls.engine(name)
		if address == "" || c.now.Before(poll.nextAt) {
			continue
		}
		if poll.pendingID != 0 && c.now.Sub(poll.sentAt) < pollTimeout {
			continue
		}
		poll.pendingID, poll.sentAt = c.leader.NextRequestID(), c.now
		poll.nextAt = c.now.Add(c.pollInterval(name, poll, c.ownTable()))
		c.noteEngineRequest(name)
		c.emit(ReadEngine{leadership.ReadEngine{ID: poll.pendingID, Engine: name, Address: address}})
	}
}

// isCutOff reports whether the zone has engines and none of them responds.
func (c *Core) isCutOff() bool {
	polled := 0
	for _, name := range c.leader.RoundRecord().Engines(c.options.Zone) {
		if c.engineAddress(name) == "" {
			continue
		}
		if c.polls.engine(name).reported != unresponsive {
			return false
		}
		polled++
	}
	return polled > 0
}

// pollInterval returns the short interval for engines on which something is in
// progress, and for all engines while requests wait in the zone: the sooner a
// change of any engine is seen, the sooner a waiting request is served.
func (c *Core) pollInterval(name fleet.BackendName, poll *enginePoll, table *zoneTable) time.Duration {
	if c.placement.Busy() || c.now.Before(poll.busyUntil) {
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
