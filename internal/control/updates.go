package control

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// tableReceived takes an update where it is newer than what is held.
func (c *Core) tableReceived(received TableReceived) {
	update := received.Update
	zone := update.Table.Zone
	known := c.tables.zones[zone]
	c.hearRefusals(update.Table)
	if known != nil && !newer(update.Table, known) {
		return
	}
	if update.BaseSequence == 0 {
		c.replaceTable(update.Table)
	} else if known == nil || known.fence != update.Table.Fence || known.sequence < update.BaseSequence {
		if member, found := c.members[received.From]; found {
			c.emit(PullTables{From: member, Held: c.tables.stamps()})
		}
		return
	} else {
		c.changeTable(known, update)
	}
	c.relay(received)
}

func newer(table fleet.RouteTable, known *zoneTable) bool {
	if table.Fence != known.fence {
		return table.Fence > known.fence
	}
	return table.Sequence > known.sequence
}

func (c *Core) replaceTable(table fleet.RouteTable) {
	replaced := &zoneTable{
		sequence: table.Sequence,
		fence:    table.Fence,
		leader:   table.Leader,
		engines:  make(map[fleet.BackendName]fleet.EngineState, len(table.Engines)),
		services: table.Services,
		heard:    c.now,

		waitingLoads: table.WaitingLoads,
	}
	for _, state := range table.Engines {
		replaced.engines[state.Name] = state
	}
	replaced.countLoads()
	before := c.tables.zones[table.Zone]
	c.tables.zones[table.Zone] = replaced
	if table.Zone == c.options.Zone && before != nil && before.leader != table.Leader {
		c.reportAgain(table.Leader)
	}
	c.tables.viewChanged = true
}

func (c *Core) changeTable(known *zoneTable, update TableUpdate) {
	known.sequence = update.Table.Sequence
	known.leader = update.Table.Leader
	known.heard = c.now
	known.services = update.Table.Services
	known.shown = nil
	for _, state := range update.Table.Engines {
		known.engines[state.Name] = state
	}
	for _, news := range update.Reports {
		if state, found := known.engines[news.Engine]; found {
			state.Report = news.Report
			known.engines[news.Engine] = state
		}
	}
	for _, name := range update.Removed {
		delete(known.engines, name)
	}
	known.countLoads()
	known.waitingLoads = update.Table.WaitingLoads
	c.tables.viewChanged = true
}

// relay passes an update that came from another zone to the members of this
// one.
func (c *Core) relay(received TableReceived) {
	sender, known := c.members[received.From]
	if !known || sender.Zone == c.options.Zone || received.Update.Table.Zone == c.options.Zone {
		return
	}
	c.emit(PublishTable{To: c.peersOfZone(c.options.Zone), Update: received.Update})
}

// tablesPulled takes the tables that a peer holds.
func (c *Core) tablesPulled(pulled TablesPulled) {
	for _, table := range pulled.Tables {
		if known := c.tables.zones[table.Zone]; known == nil || newer(table, known) {
			c.replaceTable(table)
		}
	}
}

// repair pulls from one peer while a zone's table is missing or silent. A lost
// update needs no more: the next one names the sequence that it builds on.
func (c *Core) repair() {
	if c.now.Sub(c.tables.pulled) < c.settings().PullInterval || !c.lacksTable() {
		return
	}
	peers := c.peersOfZone(c.options.Zone)
	if len(peers) == 0 {
		peers = c.audience()
	}
	if len(peers) == 0 {
		return
	}
	c.tables.pulled = c.now
	c.emit(PullTables{From: peers[c.random.IntN(len(peers))], Held: c.tables.stamps()})
}

// silentBeats is how many heartbeats may pass without news of a table.
const silentBeats = 3

// lacksTable reports whether a zone that has members has no table here, or one
// that was not heard of for long.
func (c *Core) lacksTable() bool {
	for _, member := range c.members {
		if !member.Usable() {
			continue
		}
		heartbeat := c.settings().RemoteHeartbeatInterval
		if member.Zone == c.options.Zone {
			heartbeat = c.settings().HeartbeatInterval
		}
		known := c.tables.zones[member.Zone]
		if known == nil || c.now.Sub(known.heard) > silentBeats*heartbeat {
			return true
		}
	}
	return false
}
