package control

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// countArrivals adds up the requests for a model that this zone has no
// allotment of.
func (c *Core) countArrivals(want fleet.Want) {
	if want.Arrivals > 0 && c.record.Record.Limit(want.Model, c.options.Zone) == 0 {
		c.wants.arrivals[want.Model] += want.Arrivals
	}
}

// reportArrivals tells the zones that hold these models that they are in use:
// their leaders keep models alive by arrivals.
func (c *Core) reportArrivals() {
	if len(c.wants.arrivals) == 0 || c.now.Sub(c.wants.arrivalsAt) < arrivalsInterval {
		return
	}
	c.wants.arrivalsAt = c.now
	byZone := make(map[fleet.Zone][]fleet.Want)
	for _, model := range slices.SortedFunc(maps.Keys(c.wants.arrivals), fleet.ModelVersion.Compare) {
		for zone, share := range c.record.Record.Models[model].Zones {
			if share.Limit > 0 {
				byZone[zone] = append(byZone[zone], fleet.Want{
					Model: model, Node: c.options.Self, Zone: c.options.Zone, Arrivals: c.wants.arrivals[model],
				})
			}
		}
	}
	clear(c.wants.arrivals)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if member, known := c.contact(zone); known {
			c.emit(ForwardWants{To: member, Wants: byZone[zone], Forwarded: true})
		}
	}
}
