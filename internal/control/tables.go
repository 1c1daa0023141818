package control

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// zoneTable is the newest table of a zone.
type zoneTable struct {
	sequence uint64
	fence    fleet.Fence
	leader   fleet.NodeName
	engines  map[fleet.BackendName]fleet.EngineState
	services []fleet.Backend
	// heard is when the newest update came.
	heard time.Time
}

// tableState holds the tables of all zones, and what the leader has not yet
// published of its own.
type tableState struct {
	zones map[fleet.Zone]*zoneTable

	fresh     bool
	changed   map[fleet.BackendName]bool
	removed   map[fleet.BackendName]bool
	published time.Time
	pulled    time.Time
	// viewChanged is set where the node's own view must be given out anew.
	viewChanged bool
}

func newTableState() tableState {
	return tableState{
		zones:   make(map[fleet.Zone]*zoneTable),
		changed: make(map[fleet.BackendName]bool),
		removed: make(map[fleet.BackendName]bool),
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
	}
	for _, name := range slices.Sorted(maps.Keys(z.engines)) {
		table.Engines = append(table.Engines, z.engines[name])
	}
	return table
}

// beginTable starts the table of an established round.
func (c *Core) beginTable(round leadership.Established) {
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
	c.tables.fresh = true
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
	if found && sameState(known, state) {
		return
	}
	table.engines[state.Name] = state
	c.tables.changed[state.Name] = true
	delete(c.tables.removed, state.Name)
}

// sameState compares without the time of the report, which alone changes on
// an idle engine.
func sameState(a, b fleet.EngineState) bool {
	a.Report.AsOf, b.Report.AsOf = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

func (c *Core) dropEngines(gone map[fleet.BackendName]bool) {
	table := c.ownTable()
	if table == nil {
		return
	}
	for name := range gone {
		if _, found := table.engines[name]; found {
			delete(table.engines, name)
			delete(c.tables.changed, name)
			c.tables.removed[name] = true
		}
	}
}

const roleService = "service"

// services are the zone's service back ends by the machine list.
func (c *Core) services() []fleet.Backend {
	return c.servicesOf(c.options.Zone)
}

func (c *Core) servicesOf(zone fleet.Zone) []fleet.Backend {
	var services []fleet.Backend
	for _, machine := range c.machines.Machines {
		if machine.Role != roleService || machine.Zone != zone || machine.State == machineGone {
			continue
		}
		name := fleet.BackendName(machine.Name)
		services = append(services, fleet.Backend{
			Name:    name,
			Kind:    fleet.KindService,
			Zone:    machine.Zone,
			Rack:    machine.Rack,
			Address: machine.Address,
			Service: machine.Service,
			Leaving: machine.State == machineLeaving || c.leaving.has(name),
		})
	}
	slices.SortFunc(services, func(a, b fleet.Backend) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return services
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

func (c *Core) publishOwn(table *zoneTable) {
	services := c.services()
	servicesChanged := !slices.Equal(services, table.services)
	table.services = services
	urgent := c.tables.fresh || servicesChanged || len(c.tables.changed)+len(c.tables.removed) > 0
	if !urgent && c.now.Sub(c.tables.published) < c.settings().Heartbeat {
		return
	}
	update := TableUpdate{Table: table.export(c.options.Zone), Since: table.sequence}
	table.sequence++
	table.heard = c.now
	update.Table.Sequence = table.sequence
	if c.tables.fresh {
		update.Since = 0
	} else {
		update.Table.Engines = slices.DeleteFunc(update.Table.Engines, func(state fleet.EngineState) bool {
			return !c.tables.changed[state.Name]
		})
		update.Removed = slices.Sorted(maps.Keys(c.tables.removed))
	}
	c.tables.fresh = false
	clear(c.tables.changed)
	clear(c.tables.removed)
	c.tables.published = c.now
	c.tables.viewChanged = c.tables.viewChanged || urgent
	c.emit(PublishTable{To: c.audience(), Update: update})
}

// audience are the zone's other members and the known delegates of other
// zones.
func (c *Core) audience() []fleet.Member {
	audience := c.peersOfZone(c.options.Zone)
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		if member := c.members[name]; member.Zone != c.options.Zone && member.Usable() {
			audience = append(audience, member)
		}
	}
	return audience
}

// view is what the node routes by: the tables, with what it has itself heard
// of leaving, and services by the machine list where no table names them.
func (c *Core) view() map[fleet.Zone]fleet.RouteTable {
	tables := c.tables.whole()
	for _, machine := range c.machines.Machines {
		if _, found := tables[machine.Zone]; !found && machine.Role == roleService {
			tables[machine.Zone] = fleet.RouteTable{Zone: machine.Zone, Services: c.servicesOf(machine.Zone)}
		}
	}
	for zone, table := range tables {
		for index := range table.Engines {
			table.Engines[index] = c.leaving.mark(table.Engines[index])
		}
		table.Services = slices.Clone(table.Services)
		for index := range table.Services {
			table.Services[index].Leaving = table.Services[index].Leaving || c.leaving.has(table.Services[index].Name)
		}
		tables[zone] = table
	}
	return tables
}
