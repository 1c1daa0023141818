package control

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

const (
	machineGone    = objectstore.MachineGone
	machineLeaving = objectstore.MachineLeaving
)

// leavingState holds the back ends that were heard to go away. A back end that
// comes back does so with another incarnation, or another name.
type leavingState struct {
	// names maps a back end to the incarnation that leaves; 0 where it is not
	// known.
	names map[fleet.BackendName]uint64
	// listed are those that the machine list has shown as leaving: one that it
	// shows live after that has come back. Before that the list may only lag.
	listed map[fleet.BackendName]bool
}

func newLeavingState() leavingState {
	return leavingState{
		names:  make(map[fleet.BackendName]uint64),
		listed: make(map[fleet.BackendName]bool),
	}
}

func (l *leavingState) has(name fleet.BackendName) bool {
	_, found := l.names[name]
	return found
}

// list takes the state that the machine list shows and reports whether it is
// leaving.
func (l *leavingState) list(name fleet.BackendName, state objectstore.MachineState) bool {
	isLeaving := state == objectstore.MachineLeaving
	if state == objectstore.MachineGone || state == objectstore.MachineLive && l.listed[name] {
		delete(l.names, name)
	}
	if !isLeaving {
		delete(l.listed, name)
		return false
	}
	l.listed[name] = true
	return true
}

// mark sets the leaving flag of a state where the news is ahead of it.
func (l *leavingState) mark(state fleet.EngineState) fleet.EngineState {
	incarnation, found := l.names[state.Name]
	if found && (incarnation == 0 || incarnation == state.Incarnation) {
		state.Leaving = true
	}
	return state
}

// noticeLeaving spreads the news where a state shows it first.
func (c *Core) noticeLeaving(state fleet.EngineState) {
	if !state.Leaving || c.leaving.has(state.Name) {
		return
	}
	c.leaving.names[state.Name] = state.Incarnation
	c.spreadLeaving([]fleet.BackendName{state.Name})
}

// machinesLeaving spreads what the machine list shows first.
func (c *Core) machinesLeaving() {
	var news []fleet.BackendName
	for _, machine := range c.machines.Machines {
		name := fleet.BackendName(machine.Name)
		if machine.Role != roleEngine && machine.Role != roleService {
			continue
		}
		if c.leaving.list(name, machine.State) && machine.Zone == c.options.Zone && !c.leaving.has(name) {
			c.leaving.names[name] = 0
			news = append(news, name)
		}
	}
	c.leavingChanged()
	if len(news) > 0 {
		c.spreadLeaving(news)
	}
}

// leavingHeard takes the news from a peer; it is passed on by whoever heard it
// first only.
func (c *Core) leavingHeard(heard LeavingNoticeReceived) {
	var news []fleet.BackendName
	for _, name := range heard.Backends {
		if !c.leaving.has(name) {
			c.leaving.names[name] = c.incarnationOf(name)
			news = append(news, name)
		}
	}
	if len(news) == 0 {
		return
	}
	if heard.From == "" {
		c.spreadLeaving(news)
		return
	}
	c.applyLeaving(news)
}

func (c *Core) incarnationOf(name fleet.BackendName) uint64 {
	for _, table := range c.tables.zones {
		if state, found := table.engines[name]; found {
			return state.Incarnation
		}
	}
	return 0
}

func (c *Core) spreadLeaving(news []fleet.BackendName) {
	slices.Sort(news)
	c.emit(BroadcastLeaving{To: c.audience(), Backends: news})
	c.applyLeaving(news)
}

func (c *Core) applyLeaving(news []fleet.BackendName) {
	c.leavingChanged()
	c.stepPlacement(placement.EnginesLeaving{Engines: news})
	table := c.ownTable()
	if table == nil {
		return
	}
	for _, name := range news {
		if state, found := table.engines[name]; found {
			c.showEngine(state)
		}
	}
}
