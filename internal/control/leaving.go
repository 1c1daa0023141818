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

// leavingState holds the back ends that were reported to be shutting down. A
// back end that comes back has another incarnation or another name.
type leavingState struct {
	// incarnations maps a back end to the incarnation that is shutting down; 0
	// if that is not known.
	incarnations map[fleet.BackendName]uint64
	// listed are the back ends that the machine list has shown as leaving. If
	// the list shows one of them as live afterwards, it has come back; before
	// that, a list that still shows it as live may just be outdated.
	listed map[fleet.BackendName]bool
}

func newLeavingState() leavingState {
	return leavingState{
		incarnations: make(map[fleet.BackendName]uint64),
		listed:       make(map[fleet.BackendName]bool),
	}
}

func (l *leavingState) has(name fleet.BackendName) bool {
	_, found := l.incarnations[name]
	return found
}

// updateListed applies the state that the machine list shows and reports
// whether it is leaving.
func (l *leavingState) updateListed(name fleet.BackendName, state objectstore.MachineState) bool {
	isLeaving := state == objectstore.MachineLeaving
	if state == objectstore.MachineGone || state == objectstore.MachineLive && l.listed[name] {
		delete(l.incarnations, name)
	}
	if !isLeaving {
		delete(l.listed, name)
		return false
	}
	l.listed[name] = true
	return true
}

// mark sets the leaving flag of a state that does not show it yet.
func (l *leavingState) mark(state fleet.EngineState) fleet.EngineState {
	incarnation, found := l.incarnations[state.Name]
	if found && (incarnation == 0 || incarnation == state.Incarnation) {
		state.Leaving = true
	}
	return state
}

// announceIfLeaving broadcasts that an engine is leaving if its own state is
// the first sign of it.
func (c *Core) announceIfLeaving(state fleet.EngineState) {
	if !state.Leaving || c.leaving.has(state.Name) {
		return
	}
	c.leaving.incarnations[state.Name] = state.Incarnation
	c.broadcastLeaving([]fleet.BackendName{state.Name})
}

// announceLeavingMachines broadcasts the back ends of which the machine list is
// the first to show that they are leaving.
func (c *Core) announceLeavingMachines() {
	var announced []fleet.BackendName
	for _, machine := range c.machines.Machines {
		name := fleet.BackendName(machine.Name)
		if machine.Role != roleEngine && machine.Role != roleService {
			continue
		}
		if c.leaving.updateListed(name, machine.State) && machine.Zone == c.options.Zone && !c.leaving.has(name) {
			c.leaving.incarnations[name] = 0
			announced = append(announced, name)
		}
	}
	c.invalidateViews()
	if len(announced) > 0 {
		c.broadcastLeaving(announced)
	}
}

// leavingNoticeReceived handles a notice from a peer. Only the node that
// learned of it first broadcasts it: a notice without a sender is broadcast, a
// peer's is not.
func (c *Core) leavingNoticeReceived(notice LeavingNoticeReceived) {
	var announced []fleet.BackendName
	for _, name := range notice.Backends {
		if !c.leaving.has(name) {
			c.leaving.incarnations[name] = c.incarnationOf(name)
			announced = append(announced, name)
		}
	}
	if len(announced) == 0 {
		return
	}
	if notice.From == "" {
		c.broadcastLeaving(announced)
		return
	}
	c.applyLeaving(announced)
}

func (c *Core) incarnationOf(name fleet.BackendName) uint64 {
	for _, table := range c.tables.zones {
		if state, found := table.engines[name]; found {
			return state.Incarnation
		}
	}
	return 0
}

func (c *Core) broadcastLeaving(backends []fleet.BackendName) {
	slices.Sort(backends)
	c.emit(BroadcastLeaving{To: c.broadcastTargets(), Backends: backends})
	c.applyLeaving(backends)
}

func (c *Core) applyLeaving(backends []fleet.BackendName) {
	c.invalidateViews()
	c.stepPlacement(placement.EnginesLeaving{Engines: backends})
	table := c.ownTable()
	if table == nil {
		return
	}
	for _, name := range backends {
		if state, found := table.engines[name]; found {
			c.updateEngine(state)
		}
	}
}
