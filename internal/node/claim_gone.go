package node

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// listedGoneAge is how long the machine list must show a machine as gone,
// while its seat is silent, until the seat counts as ended.
const listedGoneAge = 30 * time.Second

// goneMachines are the nodes that the machine list shows as gone. The list lags
// and knows names only: a process that was started anew under the name may be
// called gone for the end of the one before it. So the list counts only for the
// peer address that it shows, and only once it has shown that for long.
type goneMachines struct {
	mutex    sync.Mutex
	machines map[fleet.NodeName]goneMachine
}

type goneMachine struct {
	address string
	// since is when the list first showed it, or when its seat last answered.
	since time.Time
}

// note takes a newer list.
func (g *goneMachines) note(list objectstore.MachineList, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.machines
	g.machines = make(map[fleet.NodeName]goneMachine)
	for _, machine := range list.Machines {
		if machine.Role != "node" || machine.State != objectstore.MachineGone {
			continue
		}
		name := fleet.NodeName(machine.Name)
		shown := goneMachine{address: machine.Node.Peer, since: now}
		if known, found := before[name]; found && known.address == shown.address {
			shown.since = known.since
		}
		g.machines[name] = shown
	}
}

// answered notes that the seat's process runs, whatever the list says.
func (g *goneMachines) answered(seat claim.Seat, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if shown, found := g.machines[seat.Name]; found {
		shown.since = now
		g.machines[seat.Name] = shown
	}
}

// has reports whether the seat's machine is gone.
func (g *goneMachines) has(seat claim.Seat, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	shown, found := g.machines[seat.Name]
	isSeats := found && (shown.address == "" || shown.address == seat.Address)
	return isSeats && now.Sub(shown.since) >= listedGoneAge
}
