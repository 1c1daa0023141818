package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// goneState holds the engines that the machine list calls gone. The list lags
// and knows names only: an engine that was started anew under its name may
// still be called gone. So an engine counts as gone only once it has also left
// this node's own questions without an answer for GoneSilence: the silence of an
// engine that nobody asked says nothing.
type goneState struct {
	// since is when the list first called the engine gone, or when it last
	// answered after that.
	since map[fleet.BackendName]time.Time
	// asked are the questions of this node that have no answer.
	asked     map[fleet.BackendName]questions
	effective map[fleet.BackendName]bool
}

// questions are one engine's unanswered questions, the first and the last.
type questions struct {
	first time.Time
	last  time.Time
}

func newGoneState() goneState {
	return goneState{
		asked:     make(map[fleet.BackendName]questions),
		since:     make(map[fleet.BackendName]time.Time),
		effective: make(map[fleet.BackendName]bool),
	}
}

// setMachines takes a newer machine list.
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
	c.machinesLeaving()
}

// engineAnswered notes that an engine is not gone, whatever the list says.
func (c *Core) engineAnswered(name fleet.BackendName) {
	delete(c.gone.asked, name)
	if _, listed := c.gone.since[name]; listed {
		c.gone.since[name] = c.now
		c.updateGone()
	}
}

// engineAsked notes a question to an engine.
func (c *Core) engineAsked(name fleet.BackendName) {
	asked, ok := c.gone.asked[name]
	if !ok || c.now.Sub(asked.last) > c.settings().GoneTimeout {
		asked.first = c.now
	}
	asked.last = c.now
	c.gone.asked[name] = asked
}

// forgetAsked ends this node's questions: what it learned of silence holds only
// while it goes on asking.
func (c *Core) forgetAsked() {
	if len(c.gone.asked) > 0 {
		clear(c.gone.asked)
		c.updateGone()
	}
}

// isSilent reports whether an engine that the list calls gone since then has
// been silent for long enough.
func (c *Core) isSilent(name fleet.BackendName, since time.Time) bool {
	asked, ok := c.gone.asked[name]
	silence := c.settings().GoneTimeout
	if !ok {
		return false
	}
	if c.gone.effective[name] {
		return true
	}
	if asked.first.After(since) {
		since = asked.first
	}
	return c.now.Sub(asked.last) <= silence && c.now.Sub(since) >= silence
}

// updateGone moves engines in and out of those that count as gone.
func (c *Core) updateGone() {
	effective := make(map[fleet.BackendName]bool)
	for name, since := range c.gone.since {
		if c.isSilent(name, since) {
			effective[name] = true
		}
	}
	if maps.Equal(effective, c.gone.effective) {
		return
	}
	before := c.gone.effective
	c.gone.effective = effective
	c.listEngines()
	c.countAgain(before)
	c.stepPlacement(placement.EnginesGone{Engines: slices.Sorted(maps.Keys(effective))})
	c.dropEngines(effective)
}

// countAgain begins a new round where an engine that counted as gone does so no
// more: the present round has dropped it, and what it holds would count as
// nothing.
func (c *Core) countAgain(before map[fleet.BackendName]bool) {
	for name := range before {
		if !c.gone.effective[name] {
			c.stepLeader(leadership.RestartRound{})
			return
		}
	}
}

// listEngines tells the leadership core which engines there are.
func (c *Core) listEngines() {
	addresses := make(map[fleet.BackendName]string, len(c.machineIndex.addresses))
	for _, machine := range c.machines.Machines {
		if machine.Role == roleEngine && machine.Zone == c.options.Zone {
			addresses[fleet.BackendName(machine.Name)] = machine.Address
		}
	}
	c.machineIndex.addresses = addresses
	c.stepLeader(leadership.EnginesListed{Addresses: addresses, Gone: maps.Clone(c.gone.effective)})
}
