package control

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// remoteLoading counts the engines' loads that read from the weight store.
func remoteLoading(engines map[fleet.BackendName]fleet.EngineState) int {
	loading := 0
	for _, state := range engines {
		for _, loaded := range state.Models {
			tier, known := state.Tiers[loaded.Model]
			if loaded.State == fleet.LoadLoading && (!known || tier == fleet.TierRemote) {
				loading++
			}
		}
	}
	return loading
}

// updateStoreUse tells placement what the other zones take of the weight store
// by their tables.
func (c *Core) updateStoreUse() {
	if !c.leader.Leading() {
		return
	}
	used := placement.StoreUsed{}
	for zone := range c.record.Record.Zones {
		if zone == c.options.Zone {
			continue
		}
		known := c.tables.zones[zone]
		if known == nil || c.now.Sub(known.heard) > silentBeats*c.settings().FarHeartbeat {
			used.Silent++
			continue
		}
		used.Loading += known.loading
		used.Waiting += known.waitingLoads
	}
	if used != c.tables.storeUsed {
		c.tables.storeUsed = used
		c.stepPlacement(used)
	}
}
