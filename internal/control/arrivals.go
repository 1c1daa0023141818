package control

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// countArrivals counts the requests for a model of which this zone has no
// allotment.
func (c *Core) countArrivals(want fleet.Want) {
	if want.Arrivals > 0 && c.record.Record.Limit(want.Model, c.options.Zone) == 0 {
		c.wants.arrivalCounts[want.Model] += want.Arrivals
	}
}

// reportArrivals reports these requests to the zones that have allotment of the
// models, whose leaders keep a model loaded as long as requests arrive.
func (c *Core) reportArrivals() {
	if len(c.wants.arrivalCounts) == 0 || c.now.Sub(c.wants.arrivalsReportedAt) < arrivalsReportInterval {
		return
	}
	c.wants.arrivalsReportedAt = c.now
	byZone := make(map[fleet.Zone][]fleet.Want)
	for _, model := range slices.SortedFunc(maps.Keys(c.wants.arrivalCounts), fleet.ModelVersion.Compare) {
		for zone, share := range c.record.Record.Models[model].Zones {
			if share.Limit > 0 {
				byZone[zone] = append(byZone[zone], fleet.Want{
					Model: model, Node: c.options.Self, Zone: c.options.Zone, Arrivals: c.wants.arrivalCounts[model],
				})
			}
		}
	}
	clear(c.wants.arrivalCounts)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if member, known := c.zoneContact(zone); known {
			c.emit(ForwardWants{To: member, Wants: byZone[zone], Forwarded: true})
		}
	}
}
