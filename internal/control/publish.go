package control

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// pendingUpdate collects the changes of the leader's table that one group of
// recipients has not been sent yet. The members of the zone are sent every
// change that affects routing. Other zones are sent changes of an engine's
// contents at once, and load reports at longer intervals.
type pendingUpdate struct {
	// sendWhole is set if the complete table has to be sent.
	sendWhole bool
	// With urgent set, the update is sent at once. changedEngines are the
	// engines whose complete state has to be sent.
	urgent         bool
	changedEngines map[fleet.BackendName]bool
	// changedReports are the engines of which the load report changed.
	changedReports map[fleet.BackendName]bool
	removedEngines map[fleet.BackendName]bool
	// sentReports are the load reports last sent.
	sentReports map[fleet.BackendName]fleet.LoadReport
	// lastSequence is the sequence of the last update.
	lastSequence uint64
	lastSent     time.Time
}

func newPendingUpdate() pendingUpdate {
	return pendingUpdate{
		changedEngines: make(map[fleet.BackendName]bool),
		changedReports: make(map[fleet.BackendName]bool),
		removedEngines: make(map[fleet.BackendName]bool),
		sentReports:    make(map[fleet.BackendName]fleet.LoadReport),
	}
}

// noteChange records an engine's newer state.
func (s *pendingUpdate) noteChange(before, after fleet.EngineState) {
	delete(s.removedEngines, after.Name)
	if !equalExceptReport(before, after) {
		s.urgent = true
		s.changedEngines[after.Name] = true
	}
	if !similarReports(s.sentReports[after.Name], after.Report) {
		s.changedReports[after.Name] = true
	}
}

func (s *pendingUpdate) noteRemoval(name fleet.BackendName) {
	delete(s.changedEngines, name)
	delete(s.changedReports, name)
	delete(s.sentReports, name)
	s.removedEngines[name] = true
	s.urgent = true
}

// equalExceptReport compares two states without their load reports.
func equalExceptReport(a, b fleet.EngineState) bool {
	a.Report, b.Report = fleet.LoadReport{}, fleet.LoadReport{}
	return reflect.DeepEqual(a, b)
}

// reportTolerance is the relative change of a report that is too small to be
// sent.
const reportTolerance = 0.25

func similarReports(a, b fleet.LoadReport) bool {
	return similar(float64(a.Running), float64(b.Running)) &&
		similar(float64(a.Waiting), float64(b.Waiting)) &&
		similar(float64(a.QueuedTokens), float64(b.QueuedTokens)) &&
		similar(a.TokensPerSecond, b.TokensPerSecond) &&
		similar(float64(a.KVUsedBytes), float64(b.KVUsedBytes))
}

func similar(a, b float64) bool {
	return math.Abs(a-b) <= reportTolerance*max(math.Abs(a), math.Abs(b))
}

// due reports whether an update has to be sent now.
func (s *pendingUpdate) due(now time.Time, reportInterval, heartbeatInterval time.Duration) bool {
	elapsed := now.Sub(s.lastSent)
	return s.sendWhole || s.urgent || (len(s.changedReports) > 0 && elapsed >= reportInterval) || elapsed >= heartbeatInterval
}

// publishOwnTable sends the leader's table to its own zone and to the others.
func (c *Core) publishOwnTable(table *zoneTable) {
	if services := c.services(); !slices.Equal(services, table.services) {
		table.services = services
		c.tables.local.urgent, c.tables.remote.urgent = true, true
	}
	if waiting := c.placement.WaitingLoads(); waiting != table.waitingLoads {
		table.waitingLoads = waiting
		c.tables.remote.urgent = true
	}
	settings := c.settings()
	sendLocal := c.tables.local.due(c.now, settings.ReportInterval, settings.HeartbeatInterval)
	sendRemote := c.tables.remote.due(c.now, settings.RemoteReportInterval, settings.RemoteHeartbeatInterval)
	if !sendLocal && !sendRemote {
		return
	}
	table.sequence++
	table.updatedAt = c.now
	if sendLocal {
		c.tables.viewChanged = true
		update := c.tableUpdate(table, &c.tables.local)
		update.Table.Refusals, c.tables.pendingRefusals = c.tables.pendingRefusals, nil
		c.emit(PublishTable{To: c.peersInZone(c.options.Zone), Update: update})
	}
	if sendRemote {
		c.emit(PublishTable{To: c.relays(), Update: c.tableUpdate(table, &c.tables.remote)})
	}
}

// tableUpdate returns the changes that the recipients lack and marks them as
// sent.
func (c *Core) tableUpdate(table *zoneTable, pendingUpdate *pendingUpdate) TableUpdate {
	tableUpdate := TableUpdate{Table: fleet.RouteTable{
		Zone:     c.options.Zone,
		Leader:   table.leader,
		Fence:    table.fence,
		Sequence: table.sequence,
		Services: table.services,

		WaitingLoads: table.waitingLoads,
	}}
	if pendingUpdate.sendWhole {
		tableUpdate.Table.Engines = table.routeTable(c.options.Zone).Engines
	} else {
		tableUpdate.BaseSequence = pendingUpdate.lastSequence
		for _, name := range slices.Sorted(maps.Keys(pendingUpdate.changedEngines)) {
			tableUpdate.Table.Engines = append(tableUpdate.Table.Engines, table.engines[name])
		}
		for _, name := range slices.Sorted(maps.Keys(pendingUpdate.changedReports)) {
			if !pendingUpdate.changedEngines[name] {
				report := table.engines[name].Report
				tableUpdate.Reports = append(tableUpdate.Reports, EngineReport{Engine: name, Report: report})
				pendingUpdate.sentReports[name] = report
			}
		}
		tableUpdate.Removed = slices.Sorted(maps.Keys(pendingUpdate.removedEngines))
	}
	for _, state := range tableUpdate.Table.Engines {
		pendingUpdate.sentReports[state.Name] = state.Report
	}
	pendingUpdate.sendWhole, pendingUpdate.urgent = false, false
	clear(pendingUpdate.changedEngines)
	clear(pendingUpdate.changedReports)
	clear(pendingUpdate.removedEngines)
	pendingUpdate.lastSequence, pendingUpdate.lastSent = table.sequence, c.now
	return tableUpdate
}

// relaysPerZone is the number of nodes in another zone that the leader sends
// its table to. Each of them relays it within its zone; with two, one may fail.
const relaysPerZone = 2

// relays returns the first relaysPerZone usable members by rank of every other
// zone.
func (c *Core) relays() []fleet.Member {
	byZone := make(map[fleet.Zone][]fleet.Member)
	for _, member := range c.otherZoneMembers() {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	var relays []fleet.Member
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		members := byZone[zone]
		slices.SortFunc(members, func(a, b fleet.Member) int { return byRank(zone, a, b) })
		relays = append(relays, members[:min(relaysPerZone, len(members))]...)
	}
	return relays
}

// otherZoneMembers returns the known usable nodes of other zones by name.
func (c *Core) otherZoneMembers() []fleet.Member {
	var otherZoneMembers []fleet.Member
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		if member := c.members[name]; member.Zone != c.options.Zone && member.Usable() {
			otherZoneMembers = append(otherZoneMembers, member)
		}
	}
	return otherZoneMembers
}

// broadcastTargets returns all nodes that are notified at once of back ends
// that are shutting down.
func (c *Core) broadcastTargets() []fleet.Member {
	return append(c.peersInZone(c.options.Zone), c.otherZoneMembers()...)
}
