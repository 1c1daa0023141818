package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// zoneTable is the newest table of a zone.
type zoneTable struct {
	sequence uint64
	fence    fleet.Fence
	leader   fleet.NodeName
	engines  map[fleet.BackendName]fleet.EngineState
	services []fleet.Backend
	// storeLoads and waitingLoads describe the zone's use of the weight store:
	// loads in progress and loads waiting to start.
	storeLoads, waitingLoads int
	// heldModels are the models that its engines hold ready or are loading.
	heldModels map[fleet.ModelVersion]bool
	// updatedAt is when the newest update was received.
	updatedAt time.Time
	// cachedView is the routing view of the table; nil once the table has
	// changed.
	cachedView *fleet.RouteTable
}

// tableState holds the tables of all zones and the unpublished changes of this
// leader's own table.
type tableState struct {
	zones    map[fleet.Zone]*zoneTable
	local    pendingUpdate
	remote   pendingUpdate
	lastPull time.Time
	// viewChanged is set if the node's routing view has to be published again.
	viewChanged bool
	// pendingRefusals are sent to the zone's members with the next update;
	// storeUsage and replicasElsewhere are what placement was last told about
	// other zones.
	pendingRefusals   []fleet.LoadRefusal
	storeUsage        placement.StoreUsage
	replicasElsewhere map[fleet.ModelVersion]bool
}

func newTableState() tableState {
	return tableState{
		zones:  make(map[fleet.Zone]*zoneTable),
		local:  newPendingUpdate(),
		remote: newPendingUpdate(),
	}
}

// leader returns the leader of the zone by its newest table, and when that
// table was updated.
func (t *tableState) leader(zone fleet.Zone) (fleet.NodeName, time.Time) {
	table := t.zones[zone]
	if table == nil {
		return "", time.Time{}
	}
	return table.leader, table.updatedAt
}

// stamps identifies the tables held, sorted by zone.
func (t *tableState) stamps() []TableStamp {
	stamps := make([]TableStamp, 0, len(t.zones))
	for _, zone := range slices.Sorted(maps.Keys(t.zones)) {
		table := t.zones[zone]
		stamps = append(stamps, TableStamp{Zone: zone, Fence: table.fence, Sequence: table.sequence})
	}
	return stamps
}

// newerThan returns the complete tables of the zones for which held has no
// stamp or the stamp of an older state.
func (t *tableState) newerThan(held []TableStamp) map[fleet.Zone]fleet.RouteTable {
	tables := make(map[fleet.Zone]fleet.RouteTable)
	for zone, known := range t.zones {
		current := slices.ContainsFunc(held, func(stamp TableStamp) bool {
			table := fleet.RouteTable{Fence: stamp.Fence, Sequence: stamp.Sequence}
			return stamp.Zone == zone && !(fleet.RouteTable{Fence: known.fence, Sequence: known.sequence}).Newer(table)
		})
		if !current {
			tables[zone] = known.routeTable(zone)
		}
	}
	return tables
}

func (t *tableState) all() map[fleet.Zone]fleet.RouteTable {
	tables := make(map[fleet.Zone]fleet.RouteTable, len(t.zones))
	for zone, known := range t.zones {
		tables[zone] = known.routeTable(zone)
	}
	return tables
}

func (z *zoneTable) routeTable(zone fleet.Zone) fleet.RouteTable {
	table := fleet.RouteTable{
		Zone:     zone,
		Leader:   z.leader,
		Fence:    z.fence,
		Sequence: z.sequence,
		Services: z.services,

		WaitingLoads: z.waitingLoads,
	}
	for _, name := range slices.Sorted(maps.Keys(z.engines)) {
		table.Engines = append(table.Engines, z.engines[name])
	}
	return table
}

// beginTable creates the zone's table for an established round.
func (c *Core) beginTable(round leadership.RoundEstablished) {
	table := &zoneTable{
		fence:     round.Fence,
		leader:    c.options.Self,
		engines:   make(map[fleet.BackendName]fleet.EngineState, len(round.Held)),
		services:  c.services(),
		updatedAt: c.now,
	}
	for name, state := range round.Held {
		table.engines[name] = c.leaving.mark(state)
	}
	c.tables.zones[c.options.Zone] = table
	c.tables.local.sendWhole, c.tables.remote.sendWhole = true, true
	c.tables.viewChanged = true
}

// ownTable returns the zone's table while this node leads the zone, otherwise
// nil.
func (c *Core) ownTable() *zoneTable {
	if !c.leader.Leading() {
		return nil
	}
	return c.tables.zones[c.options.Zone]
}

// updateEngine stores an engine's newer state in the table.
func (c *Core) updateEngine(state fleet.EngineState) {
	table := c.ownTable()
	if table == nil {
		return
	}
	state = c.leaving.mark(state)
	previous, found := table.engines[state.Name]
	table.engines[state.Name] = state
	table.cachedView = nil
	if !found {
		previous = fleet.EngineState{}
	}
	c.tables.local.noteChange(previous, state)
	c.tables.remote.noteChange(previous, state)
}

func (c *Core) removeEngines(gone map[fleet.BackendName]bool) {
	table := c.ownTable()
	if table == nil {
		return
	}
	for name := range gone {
		if _, found := table.engines[name]; found {
			delete(table.engines, name)
			table.cachedView = nil
			c.tables.local.noteRemoval(name)
			c.tables.remote.noteRemoval(name)
		}
	}
}

// publish sends the leader's changes to the members of the zone and to the
// relays of other zones, and updates this node's own routing view.
func (c *Core) publish() {
	if table := c.ownTable(); table != nil {
		c.publishOwnTable(table)
	}
	if c.tables.viewChanged {
		c.tables.viewChanged = false
		c.emit(TablesChanged{Tables: c.view()})
	}
}

// view returns the tables that this node routes by. They include the leaving
// marks that it knows of, and for zones without a table the services of the
// machine list.
func (c *Core) view() map[fleet.Zone]fleet.RouteTable {
	tables := make(map[fleet.Zone]fleet.RouteTable, len(c.tables.zones))
	for zone, known := range c.tables.zones {
		if known.cachedView == nil {
			known.cachedView = c.buildView(zone, known)
		}
		tables[zone] = *known.cachedView
	}
	for zone, services := range c.machineIndex.services {
		if _, found := tables[zone]; !found {
			tables[zone] = fleet.RouteTable{Zone: zone, Services: services}
		}
	}
	return tables
}

// buildView returns a zone's table with the leaving marks that this node knows
// of.
func (c *Core) buildView(zone fleet.Zone, known *zoneTable) *fleet.RouteTable {
	table := known.routeTable(zone)
	for index := range table.Engines {
		table.Engines[index] = c.leaving.mark(table.Engines[index])
	}
	table.Services = slices.Clone(table.Services)
	for index, service := range table.Services {
		table.Services[index].Leaving = service.Leaving || c.leaving.has(service.Name)
	}
	return &table
}

// invalidateViews discards all cached views.
func (c *Core) invalidateViews() {
	for _, known := range c.tables.zones {
		known.cachedView = nil
	}
	c.indexServices()
	c.tables.viewChanged = true
}
