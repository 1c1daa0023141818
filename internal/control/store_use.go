package control

import (
	"maps"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// countLoads recomputes the number of the zone's loads that read from the
// weight store, and the models that its engines hold ready or are loading.
func (z *zoneTable) countLoads() {
	z.storeLoads = 0
	z.heldModels = make(map[fleet.ModelVersion]bool)
	for _, state := range z.engines {
		for _, loaded := range state.Models {
			if loaded.State != fleet.LoadUnloading && !state.Leaving {
				z.heldModels[loaded.Model] = true
			}
			tier, known := state.Tiers[loaded.Model]
			if loaded.State == fleet.LoadLoading && (!known || tier == fleet.TierRemote) {
				z.storeLoads++
			}
		}
	}
}

// updateOtherZones tells placement, by the other zones' tables, which models
// the zones in service hold and how much of the weight store's capacity all
// other zones use.
func (c *Core) updateOtherZones() {
	if !c.leader.Leading() {
		return
	}
	usage := placement.StoreUsage{}
	held := make(map[fleet.ModelVersion]bool)
	for zone := range c.record.Record.Zones {
		if zone == c.options.Zone {
			continue
		}
		table := c.tables.zones[zone]
		if table == nil || c.now.Sub(table.updatedAt) > maxMissedHeartbeats*c.settings().RemoteHeartbeatInterval {
			usage.UnknownZones++
			continue
		}
		usage.Loading += table.storeLoads
		usage.Waiting += table.waitingLoads
		if !c.isEvacuated(zone) {
			maps.Copy(held, table.heldModels)
		}
	}
	if usage != c.tables.storeUsage {
		c.tables.storeUsage = usage
		c.stepPlacement(usage)
	}
	if !maps.Equal(held, c.tables.replicasElsewhere) {
		c.tables.replicasElsewhere = held
		c.stepPlacement(placement.ReplicasElsewhere{Models: held})
	}
}
