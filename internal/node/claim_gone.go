package node

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// goneConfirmationPeriod is how long the machine list must show a machine as gone, with no
// answer from its seat, until the seat counts as ended.
const goneConfirmationPeriod = 30 * time.Second

// goneMachines tracks the nodes that the machine list shows as gone. The list lags and
// identifies machines by name only, so a process restarted under the same name can be listed
// as gone because its predecessor ended. An entry therefore applies only to the peer address
// that it shows, and only after it has been listed for goneConfirmationPeriod.
type goneMachines struct {
	mutex    sync.Mutex
	machines map[fleet.NodeName]goneMachine
}

type goneMachine struct {
	address string
	// since is the later of when the machine was first listed as gone and when its seat last
	// answered.
	since time.Time
}

// update replaces the entries by those of a newer machine list. An entry that is unchanged
// keeps its time.
func (g *goneMachines) update(list objectstore.MachineList, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	previous := g.machines
	g.machines = make(map[fleet.NodeName]goneMachine)
	for _, machine := range list.Machines {
		if machine.Role != "node" || machine.State != objectstore.MachineGone {
			continue
		}
		name := fleet.NodeName(machine.Name)
		entry := goneMachine{address: machine.Node.Peer, since: now}
		if known, found := previous[name]; found && known.address == entry.address {
			entry.since = known.since
		}
		g.machines[name] = entry
	}
}

// recordAnswer restarts the waiting period of a seat that has answered: its process runs,
// whatever the list says.
func (g *goneMachines) recordAnswer(seat claim.Seat, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if entry, found := g.machines[seat.Name]; found {
		entry.since = now
		g.machines[seat.Name] = entry
	}
}

// isGone reports whether the machine of the seat counts as gone.
func (g *goneMachines) isGone(seat claim.Seat, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	entry, found := g.machines[seat.Name]
	matchesSeat := found && (entry.address == "" || entry.address == seat.Address)
	return matchesSeat && now.Sub(entry.since) >= goneConfirmationPeriod
}
