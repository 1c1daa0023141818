package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// goneState holds the engines that the machine list calls gone. The list is
// delayed and contains names only, so it may still call an engine gone that was
// restarted under the same name. An engine therefore counts as gone only once
// it has also left this node's own requests unanswered for GoneTimeout; if
// nobody sent it requests, the absence of answers proves nothing.
type goneState struct {
	// since is when the list first called the engine gone, or when the engine
	// last answered after that.
	since map[fleet.BackendName]time.Time
	// unanswered are the requests of this node that have no answer.
	unanswered map[fleet.BackendName]requestSpan
	confirmed  map[fleet.BackendName]bool
}

// requestSpan gives the times of the first and the last of an engine's
// unanswered requests.
type requestSpan struct {
	first time.Time
	last  time.Time
}

func newGoneState() goneState {
	return goneState{
		unanswered: make(map[fleet.BackendName]requestSpan),
		since:      make(map[fleet.BackendName]time.Time),
		confirmed:  make(map[fleet.BackendName]bool),
	}
}

// setMachines applies a newer machine list.
func (c *Core) setMachines(list objectstore.MachineList) {
	if list.AsOfUnixMilli < c.machines.AsOfUnixMilli {
		return
	}
	c.machines = list
	for _, machine := range list.Machines {
		name := fleet.BackendName(machine.Name)
		if machine.Role != roleEngine || machine.Zone != c.options.Zone {
			continue
		}
		if machine.State != objectstore.MachineGone {
			delete(c.gone.since, name)
		} else if _, known := c.gone.since[name]; !known {
			c.gone.since[name] = c.now
		}
	}
	c.updateGone()
	c.listEngines()
	c.announceLeavingMachines()
}

// noteEngineAnswer records that an engine is not gone, whatever the list says.
func (c *Core) noteEngineAnswer(name fleet.BackendName) {
	delete(c.gone.unanswered, name)
	if _, listed := c.gone.since[name]; listed {
		c.gone.since[name] = c.now
		c.updateGone()
	}
}

// noteReadmitted discards the evidence that engines are gone if the record has
// admitted engines of the zone since: a leader has heard from them. This node
// sends no requests to an engine that counts as gone, so it would not notice
// that one of this name is back and, as a leader, would remove it from the
// record while it holds replicas.
func (c *Core) noteReadmitted(before, after allotment.ZoneEntry) {
	if after.JoinedAt <= before.JoinedAt {
		return
	}
	for _, name := range slices.Concat(after.Engines, after.Joining) {
		c.noteEngineAnswer(name)
	}
}

// noteEngineRequest records that a request was sent to an engine.
func (c *Core) noteEngineRequest(name fleet.BackendName) {
	span, ok := c.gone.unanswered[name]
	if !ok || c.now.Sub(span.last) > c.settings().GoneTimeout {
		span.first = c.now
	}
	span.last = c.now
	c.gone.unanswered[name] = span
}

// clearUnanswered discards the unanswered requests: they are evidence only
// while this node keeps sending requests.
func (c *Core) clearUnanswered() {
	if len(c.gone.unanswered) > 0 {
		clear(c.gone.unanswered)
		c.updateGone()
	}
}

// isUnresponsive reports whether an engine that the list has called gone since the
// given time has been unresponsive for long enough.
func (c *Core) isUnresponsive(name fleet.BackendName, since time.Time) bool {
	span, ok := c.gone.unanswered[name]
	timeout := c.settings().GoneTimeout
	if !ok {
		return false
	}
	if c.gone.confirmed[name] {
		return true
	}
	if span.first.After(since) {
		since = span.first
	}
	return c.now.Sub(span.last) <= timeout && c.now.Sub(since) >= timeout
}

// updateGone recomputes which engines count as gone.
func (c *Core) updateGone() {
	confirmed := make(map[fleet.BackendName]bool)
	for name, since := range c.gone.since {
		if c.isUnresponsive(name, since) {
			confirmed[name] = true
		}
	}
	if maps.Equal(confirmed, c.gone.confirmed) {
		return
	}
	before := c.gone.confirmed
	c.gone.confirmed = confirmed
	c.listEngines()
	c.restartRoundIfReturned(before)
	c.stepPlacement(placement.EnginesGone{Engines: slices.Sorted(maps.Keys(confirmed))})
	c.removeEngines(confirmed)
}

// restartRoundIfReturned starts a new round if an engine that counted as gone
// no longer does: the current round has dropped the engine, so the models it
// holds would not be counted.
func (c *Core) restartRoundIfReturned(before map[fleet.BackendName]bool) {
	for name := range before {
		if !c.gone.confirmed[name] {
			c.stepLeader(leadership.RestartRound{})
			return
		}
	}
}

// listEngines passes the engines of the zone to the leadership core.
func (c *Core) listEngines() {
	addresses := make(map[fleet.BackendName]string, len(c.machineIndex.addresses))
	for _, machine := range c.machines.Machines {
		if machine.Role == roleEngine && machine.Zone == c.options.Zone {
			addresses[fleet.BackendName(machine.Name)] = machine.Address
		}
	}
	c.machineIndex.addresses = addresses
	c.stepLeader(leadership.EnginesListed{Addresses: addresses, Gone: maps.Clone(c.gone.confirmed)})
}
