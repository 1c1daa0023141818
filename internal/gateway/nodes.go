package gateway

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// roleNode is the role of nodes in the machine list.
const roleNode = "node"

// usableNodes estimates the number of nodes that share the limits of a route. The
// known members may be those of one zone only and the machine list lags behind,
// so the larger count is used.
func (g *Gateway) usableNodes() int {
	members, _ := g.options.Views.Members.Get()
	usable := 0
	for _, member := range members {
		if member.Usable() {
			usable++
		}
	}
	listed := 0
	machines, _ := g.options.Views.Machines.Get()
	for _, machine := range machines.Machines {
		if machine.Role == roleNode && machine.State == objectstore.MachineLive {
			listed++
		}
	}
	return max(1, usable, listed)
}

// leavingBackends returns the back ends that the machine list shows as leaving
// or gone.
func leavingBackends(machines objectstore.MachineList) []fleet.BackendName {
	var leaving []fleet.BackendName
	for _, machine := range machines.Machines {
		if machine.Role != roleNode && machine.State != objectstore.MachineLive {
			leaving = append(leaving, fleet.BackendName(machine.Name))
		}
	}
	return leaving
}
