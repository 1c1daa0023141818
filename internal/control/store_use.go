package control

import (
	"maps"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// countLoads notes the engines' loads that read from the weight store, and the
// models that they hold ready or load.
func (z *zoneTable) countLoads() {
	z.loading = 0
	z.held = make(map[fleet.ModelVersion]bool)
	for _, state := range z.engines {
		for _, loaded := range state.Models {
			if loaded.State != fleet.LoadUnloading && !state.Leaving {
				z.held[loaded.Model] = true
			}
			tier, known := state.Tiers[loaded.Model]
			if loaded.State == fleet.LoadLoading && (!known || tier == fleet.TierRemote) {
				z.loading++
			}
		}
	}
}

// updateElsewhere tells placement what the other zones in service hold, and what
// all others take of the weight store, by their tables.
func (c *Core) updateElsewhere() {
	if !c.leader.Leading() {
		return
	}
	used := placement.StoreUsage{}
	held := make(map[fleet.ModelVersion]bool)
	for zone := range c.record.Record.Zones {
		if zone == c.options.Zone {
			continue
		}
		known := c.tables.zones[zone]
		if known == nil || c.now.Sub(known.heard) > silentBeats*c.settings().RemoteHeartbeatInterval {
			used.UnknownZones++
			continue
		}
		used.Loading += known.loading
		used.Waiting += known.waitingLoads
		if !c.isEvacuated(zone) {
			maps.Copy(held, known.held)
		}
	}
	if used != c.tables.storeUsed {
		c.tables.storeUsed = used
		c.stepPlacement(used)
	}
	if !maps.Equal(held, c.tables.heldElsewhere) {
		c.tables.heldElsewhere = held
		c.stepPlacement(placement.ReplicasElsewhere{Models: held})
	}
}
