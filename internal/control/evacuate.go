package control

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// evacuationState tracks the zones that are out of service.
type evacuationState struct {
	table *evacuation.Table
	// displaced are the models that an evacuated zone held and that no zone in
	// service has held since: requests for them would have to wait for a load.
	displaced map[fleet.ModelVersion]bool
	// assigned are the displaced models that placement was told to load.
	assigned map[fleet.ModelVersion]bool
}

func newEvacuationState() evacuationState {
	return evacuationState{table: evacuation.New(), displaced: make(map[fleet.ModelVersion]bool)}
}

func (c *Core) applyEvacuations(snapshot evacuation.Snapshot) {
	for _, change := range c.evacuation.table.ApplyPeerSnapshot(c.now, snapshot) {
		c.emit(EvacuationChanged{change})
	}
}

func (c *Core) isEvacuated(zone fleet.Zone) bool {
	return c.evacuation.table.IsEvacuated(string(zone))
}

func (c *Core) evacuatedZones() map[fleet.Zone]bool {
	zones := make(map[fleet.Zone]bool)
	for _, zone := range c.evacuation.table.Zones() {
		zones[fleet.Zone(zone)] = true
	}
	return zones
}

// updateDisplaced tracks the models that only evacuated zones held and has
// those assigned to this zone loaded before they are requested again. Every
// node tracks them, not only the leader: the tables no longer show what a zone
// has unloaded, and a leader may take over after that.
func (c *Core) updateDisplaced() {
	state := &c.evacuation
	evacuated := c.evacuatedZones()
	if len(evacuated) == 0 && len(state.displaced) == 0 && len(state.assigned) == 0 {
		return
	}
	if len(evacuated) == 0 {
		clear(state.displaced)
	}
	for zone := range evacuated {
		if table := c.tables.zones[zone]; table != nil {
			maps.Copy(state.displaced, table.heldModels)
		}
	}
	for zone, table := range c.tables.zones {
		if !evacuated[zone] {
			maps.DeleteFunc(state.displaced, func(model fleet.ModelVersion, _ bool) bool { return table.heldModels[model] })
		}
	}
	c.assignDisplaced()
}

// assignDisplaced tells placement which of the displaced models this zone
// loads.
func (c *Core) assignDisplaced() {
	if !c.leader.Leading() {
		c.evacuation.assigned = nil
		return
	}
	own := make(map[fleet.ModelVersion]bool)
	for model := range c.evacuation.displaced {
		if c.replacementZone(model) == c.options.Zone {
			own[model] = true
		}
	}
	if !maps.Equal(own, c.evacuation.assigned) {
		c.evacuation.assigned = own
		c.stepPlacement(placement.ModelsDisplaced{Models: own})
	}
}

// replacementZone returns the zone in service with the largest allotment of the
// model, the first by name if several have the same, so that exactly one zone
// loads it.
func (c *Core) replacementZone(model fleet.ModelVersion) fleet.Zone {
	var replacementZone fleet.Zone
	maxLimit := 0
	shares := c.record.Record.Models[model].Zones
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if limit := shares[zone].Limit; limit > maxLimit && !c.isEvacuated(zone) {
			replacementZone, maxLimit = zone, limit
		}
	}
	return replacementZone
}
