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
	// loading and waitingLoads are the zone's use of the weight store.
	loading, waitingLoads int
	// held are the models that its engines hold ready or load.
	held map[fleet.ModelVersion]bool
	// heard is when the newest update came.
	heard time.Time
	// shown is what was given out of the table last; nil once it changed.
	shown *fleet.RouteTable
}

// tableState holds the tables of all zones, and what the leader has not yet
// published of its own.
type tableState struct {
	zones  map[fleet.Zone]*zoneTable
	near   stream
	far    stream
	pulled time.Time
	// viewChanged is set where the node's own view must be given out anew.
	viewChanged bool
	// storeUsed and heldElsewhere are what placement was told of other zones.
	// refused goes to the zone's members with the next update.
	refused       []fleet.LoadRefusal
	storeUsed     placement.StoreUsage
	heldElsewhere map[fleet.ModelVersion]bool
}

func newTableState() tableState {
	return tableState{
		zones: make(map[fleet.Zone]*zoneTable),
		near:  newStream(),
		far:   newStream(),
	}
}

// leader is the leader of the zone by its newest table, and when it was heard.
func (t *tableState) leader(zone fleet.Zone) (fleet.NodeName, time.Time) {
	known := t.zones[zone]
	if known == nil {
		return "", time.Time{}
	}
	return known.leader, known.heard
}

// stamps name the tables held, by zone.
func (t *tableState) stamps() []TableStamp {
	stamps := make([]TableStamp, 0, len(t.zones))
	for _, zone := range slices.Sorted(maps.Keys(t.zones)) {
		known := t.zones[zone]
		stamps = append(stamps, TableStamp{Zone: zone, Fence: known.fence, Sequence: known.sequence})
	}
	return stamps
}

// newerThan returns the whole tables of the zones of which the stamps name an
// older state or none.
func (t *tableState) newerThan(held []TableStamp) map[fleet.Zone]fleet.RouteTable {
	tables := make(map[fleet.Zone]fleet.RouteTable)
	for zone, known := range t.zones {
		current := slices.ContainsFunc(held, func(stamp TableStamp) bool {
			table := fleet.RouteTable{Fence: stamp.Fence, Sequence: stamp.Sequence}
			return stamp.Zone == zone && !(fleet.RouteTable{Fence: known.fence, Sequence: known.sequence}).Newer(table)
		})
		if !current {
			tables[zone] = known.export(zone)
		}
	}
	return tables
}

func (t *tableState) whole() map[fleet.Zone]fleet.RouteTable {
	tables := make(map[fleet.Zone]fleet.RouteTable, len(t.zones))
	for zone, known := range t.zones {
		tables[zone] = known.export(zone)
	}
	return tables
}

func (z *zoneTable) export(zone fleet.Zone) fleet.RouteTable {
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

// beginTable starts the table of an established round.
func (c *Core) beginTable(round leadership.RoundEstablished) {
	table := &zoneTable{
		fence:    round.Fence,
		leader:   c.options.Self,
		engines:  make(map[fleet.BackendName]fleet.EngineState, len(round.Held)),
		services: c.services(),
		heard:    c.now,
	}
	for name, state := range round.Held {
		table.engines[name] = c.leaving.mark(state)
	}
	c.tables.zones[c.options.Zone] = table
	c.tables.near.fresh, c.tables.far.fresh = true, true
	c.tables.viewChanged = true
}

// ownTable is the zone's table while this node leads it.
func (c *Core) ownTable() *zoneTable {
	if !c.leader.Leading() {
		return nil
	}
	return c.tables.zones[c.options.Zone]
}

// showEngine puts an engine's newer state into the table.
func (c *Core) showEngine(state fleet.EngineState) {
	table := c.ownTable()
	if table == nil {
		return
	}
	state = c.leaving.mark(state)
	known, found := table.engines[state.Name]
	table.engines[state.Name] = state
	table.shown = nil
	if !found {
		known = fleet.EngineState{}
	}
	c.tables.near.changed(known, state)
	c.tables.far.changed(known, state)
}

func (c *Core) dropEngines(gone map[fleet.BackendName]bool) {
	table := c.ownTable()
	if table == nil {
		return
	}
	for name := range gone {
		if _, found := table.engines[name]; found {
			delete(table.engines, name)
			table.shown = nil
			c.tables.near.dropped(name)
			c.tables.far.dropped(name)
		}
	}
}

// publish hands the leader's changes to the members of the zone and to the
// delegates of others, and the node's view to its own readers.
func (c *Core) publish() {
	if table := c.ownTable(); table != nil {
		c.publishOwn(table)
	}
	if c.tables.viewChanged {
		c.tables.viewChanged = false
		c.emit(TablesChanged{Tables: c.view()})
	}
}

// view is what the node routes by: the tables, with what it has itself heard
// of leaving, and services by the machine list where no table names them.
func (c *Core) view() map[fleet.Zone]fleet.RouteTable {
	tables := make(map[fleet.Zone]fleet.RouteTable, len(c.tables.zones))
	for zone, known := range c.tables.zones {
		if known.shown == nil {
			known.shown = c.show(zone, known)
		}
		tables[zone] = *known.shown
	}
	for zone, services := range c.machineIndex.services {
		if _, found := tables[zone]; !found {
			tables[zone] = fleet.RouteTable{Zone: zone, Services: services}
		}
	}
	return tables
}

// show is a zone's table with the leaving marks that this node has heard.
func (c *Core) show(zone fleet.Zone, known *zoneTable) *fleet.RouteTable {
	table := known.export(zone)
	for index := range table.Engines {
		table.Engines[index] = c.leaving.mark(table.Engines[index])
	}
	table.Services = slices.Clone(table.Services)
	for index, service := range table.Services {
		table.Services[index].Leaving = service.Leaving || c.leaving.has(service.Name)
	}
	return &table
}

// leavingChanged lets all tables be shown anew.
func (c *Core) leavingChanged() {
	for _, known := range c.tables.zones {
		known.shown = nil
	}
	c.indexServices()
	c.tables.viewChanged = true
}
