package control

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// tableReceived applies an update that is newer than the table held.
func (c *Core) tableReceived(received TableReceived) {
	update := received.Update
	zone := update.Table.Zone
	known := c.tables.zones[zone]
	c.deliverLeaderRefusals(update.Table)
	if known != nil && !isNewer(update.Table, known) {
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

func isNewer(table fleet.RouteTable, known *zoneTable) bool {
	if table.Fence != known.fence {
		return table.Fence > known.fence
	}
	return table.Sequence > known.sequence
}

func (c *Core) replaceTable(table fleet.RouteTable) {
	replaced := &zoneTable{
		sequence:  table.Sequence,
		fence:     table.Fence,
		leader:    table.Leader,
		engines:   make(map[fleet.BackendName]fleet.EngineState, len(table.Engines)),
		services:  table.Services,
		updatedAt: c.now,

		waitingLoads: table.WaitingLoads,
	}
	for _, state := range table.Engines {
		replaced.engines[state.Name] = state
	}
	replaced.countLoads()
	before := c.tables.zones[table.Zone]
	c.tables.zones[table.Zone] = replaced
	if table.Zone == c.options.Zone && before != nil && before.leader != table.Leader {
		c.resendReport(table.Leader)
	}
	c.tables.viewChanged = true
}

func (c *Core) changeTable(known *zoneTable, update TableUpdate) {
	known.sequence = update.Table.Sequence
	known.leader = update.Table.Leader
	known.updatedAt = c.now
	known.services = update.Table.Services
	known.cachedView = nil
	for _, state := range update.Table.Engines {
		known.engines[state.Name] = state
	}
	for _, report := range update.Reports {
		if state, found := known.engines[report.Engine]; found {
			state.Report = report.Report
			known.engines[report.Engine] = state
		}
	}
	for _, name := range update.Removed {
		delete(known.engines, name)
	}
	known.countLoads()
	known.waitingLoads = update.Table.WaitingLoads
	c.tables.viewChanged = true
}

// relay forwards an update from another zone to the members of this one.
func (c *Core) relay(received TableReceived) {
	sender, known := c.members[received.From]
	if !known || sender.Zone == c.options.Zone || received.Update.Table.Zone == c.options.Zone {
		return
	}
	c.emit(PublishTable{To: c.peersInZone(c.options.Zone), Update: received.Update})
}

// tablesPulled applies the tables pulled from a peer.
func (c *Core) tablesPulled(pulled TablesPulled) {
	for _, table := range pulled.Tables {
		if known := c.tables.zones[table.Zone]; known == nil || isNewer(table, known) {
			c.replaceTable(table)
		}
	}
}

// pullStaleTables pulls from one peer while a zone's table is missing or stale.
// It does not have to handle a lost update: the next update names the sequence
// that it applies to, which reveals the gap.
func (c *Core) pullStaleTables() {
	if c.now.Sub(c.tables.lastPull) < c.settings().PullInterval || !c.hasStaleTable() {
		return
	}
	peers := c.peersInZone(c.options.Zone)
	if len(peers) == 0 {
		peers = c.broadcastTargets()
	}
	if len(peers) == 0 {
		return
	}
	c.tables.lastPull = c.now
	c.emit(PullTables{From: peers[c.random.IntN(len(peers))], Held: c.tables.stamps()})
}

// maxMissedHeartbeats is the number of heartbeats without an update after which
// a table is stale.
const maxMissedHeartbeats = 3

// hasStaleTable reports whether the table of a zone with usable members is
// missing or stale.
func (c *Core) hasStaleTable() bool {
	for _, member := range c.members {
		if !member.Usable() {
			continue
		}
		heartbeat := c.settings().RemoteHeartbeatInterval
		if member.Zone == c.options.Zone {
			heartbeat = c.settings().HeartbeatInterval
		}
		known := c.tables.zones[member.Zone]
		if known == nil || c.now.Sub(known.updatedAt) > maxMissedHeartbeats*heartbeat {
			return true
		}
	}
	return false
}
