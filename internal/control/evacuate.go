package control

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// evacuationState is what the node knows of zones out of service.
type evacuationState struct {
	table *evacuation.Table
	// displaced are the models that an evacuated zone held and that no zone in
	// service has held since then: requests for them would wait for a load.
	displaced map[fleet.ModelVersion]bool
	// told are those that placement was told to load.
	told map[fleet.ModelVersion]bool
}

func newEvacuationState() evacuationState {
	return evacuationState{table: evacuation.New(), displaced: make(map[fleet.ModelVersion]bool)}
}

func (c *Core) takeEvacuations(word evacuation.Snapshot) {
	for _, change := range c.evacuees.table.ApplyPeerSnapshot(c.now, word) {
		c.emit(EvacuationChanged{change})
	}
}

func (c *Core) isEvacuated(zone fleet.Zone) bool {
	return c.evacuees.table.IsEvacuated(string(zone))
}

func (c *Core) evacuatedZones() map[fleet.Zone]bool {
	zones := make(map[fleet.Zone]bool)
	for _, zone := range c.evacuees.table.Zones() {
		zones[fleet.Zone(zone)] = true
	}
	return zones
}

// updateDisplaced follows what stood in evacuated zones only, and has the models
// that fall to this zone loaded ahead of their next request. All nodes follow it:
// the tables forget what a zone has unloaded, and a leader may begin after that.
func (c *Core) updateDisplaced() {
	state := &c.evacuees
	evacuated := c.evacuatedZones()
	if len(evacuated) == 0 && len(state.displaced) == 0 && len(state.told) == 0 {
		return
	}
	if len(evacuated) == 0 {
		clear(state.displaced)
	}
	for zone := range evacuated {
		if known := c.tables.zones[zone]; known != nil {
			maps.Copy(state.displaced, known.held)
		}
	}
	for zone, known := range c.tables.zones {
		if !evacuated[zone] {
			maps.DeleteFunc(state.displaced, func(model fleet.ModelVersion, _ bool) bool { return known.held[model] })
		}
	}
	c.tellDisplaced()
}

// tellDisplaced tells placement which of the displaced models this zone loads.
func (c *Core) tellDisplaced() {
	if !c.leader.Leading() {
		c.evacuees.told = nil
		return
	}
	mine := make(map[fleet.ModelVersion]bool)
	for model := range c.evacuees.displaced {
		if c.heir(model) == c.options.Zone {
			mine[model] = true
		}
	}
	if !maps.Equal(mine, c.evacuees.told) {
		c.evacuees.told = mine
		c.stepPlacement(placement.ModelsDisplaced{Models: mine})
	}
}

// heir is the zone in service with the most allotment of the model, by name among
// equals, so that one zone loads it and not all.
func (c *Core) heir(model fleet.ModelVersion) fleet.Zone {
	var heir fleet.Zone
	most := 0
	shares := c.record.Record.Models[model].Zones
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if limit := shares[zone].Limit; limit > most && !c.isEvacuated(zone) {
			heir, most = zone, limit
		}
	}
	return heir
}
