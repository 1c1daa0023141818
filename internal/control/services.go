package control

import (
	"slices"
	"strings"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

const roleService = "service"

// machineIndex indexes the machine list for the core's lookups.
type machineIndex struct {
	services  map[fleet.Zone][]fleet.Backend
	addresses map[fleet.BackendName]string
}

// services returns the zone's service back ends by the machine list.
func (c *Core) services() []fleet.Backend { return c.machineIndex.services[c.options.Zone] }

// engineAddress returns the address of an engine of the zone.
func (c *Core) engineAddress(name fleet.BackendName) string { return c.machineIndex.addresses[name] }

// indexServices rebuilds the index of services from the machine list. It does
// not modify slices that were returned earlier.
func (c *Core) indexServices() {
	services := make(map[fleet.Zone][]fleet.Backend)
	for _, machine := range c.machines.Machines {
		if machine.Role != roleService || machine.State == machineGone {
			continue
		}
		name := fleet.BackendName(machine.Name)
		services[machine.Zone] = append(services[machine.Zone], fleet.Backend{
			Name:    name,
			Kind:    fleet.KindService,
			Zone:    machine.Zone,
			Rack:    machine.Rack,
			Address: machine.Address,
			Service: machine.Service,
			Leaving: machine.State == machineLeaving || c.leaving.has(name),
		})
	}
	for _, listed := range services {
		slices.SortFunc(listed, func(a, b fleet.Backend) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	c.machineIndex.services = services
}
